package org.fuchsiaford.routing;

import java.util.List;
import java.util.OptionalInt;
import org.fuchsiaford.workspace.KeyHash;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * A workspace with its keys and its limit. Immutable.
 *
 * @param id the workspace
 * @param keys the hashes of its keys
 * @param priority the rank of its requests, which goes before that of the route
 * @param quota its limit
 */
public record WorkspaceDeclaration(
        WorkspaceId id, List<KeyHash> keys, OptionalInt priority, TokenQuota quota) {}
