package org.fuchsiaford.bundle;

import java.util.List;
import org.fuchsiaford.backend.ModelId;
import org.fuchsiaford.workspace.KeyHash;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * A workspace: its keys, its limit and what it may use. Immutable.
 *
 * @param id the workspace
 * @param ratePerSecond its rate over the whole fleet, in tokens a second
 * @param burstTokens its burst over the whole fleet, in tokens
 * @param homes how many slots accrue its tokens
 * @param models the models it may use
 * @param routes the paths of the routes it may use
 * @param keys the hashes of its keys
 */
public record Workspace(
        WorkspaceId id,
        long ratePerSecond,
        long burstTokens,
        int homes,
        List<ModelId> models,
        List<String> routes,
        List<KeyHash> keys) {}
