package org.fuchsiaford.routing;

import java.util.List;
import java.util.OptionalInt;
import org.fuchsiaford.workspace.KeyHash;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * A workspace with its keys and its rate limit. Immutable.
 *
 * @param id the ID of the workspace
 * @param keys the hashes of the API keys
 * @param priority the priority of requests; overrides the priority of the route
 * @param quota the rate limit
 */
public record WorkspaceDeclaration(
        WorkspaceId id, List<KeyHash> keys, OptionalInt priority, TokenQuota quota) {}
