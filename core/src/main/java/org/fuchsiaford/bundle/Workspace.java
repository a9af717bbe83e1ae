package org.fuchsiaford.bundle;

import java.util.List;
import org.fuchsiaford.backend.ModelId;
import org.fuchsiaford.workspace.KeyHash;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * A workspace with its keys, its rate limit and its permissions. Immutable.
 *
 * @param id the ID of the workspace
 * @param ratePerSecond the rate limit over all hosts together, in tokens per second
 * @param burstTokens the burst size over all hosts together, in tokens
 * @param homes the number of home slots that accrue tokens for the workspace
 * @param models the models that the workspace may use
 * @param routes the paths of the routes that the workspace may use
 * @param keys the hashes of the API keys
 */
public record Workspace(
        WorkspaceId id,
        long ratePerSecond,
        long burstTokens,
        int homes,
        List<ModelId> models,
        List<String> routes,
        List<KeyHash> keys) {}
