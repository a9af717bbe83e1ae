package org.fuchsiaford.routing;

import java.util.List;
import java.util.OptionalInt;
import org.fuchsiaford.registry.AllowedRegions;
import org.fuchsiaford.workspace.KeyHash;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * A workspace with its keys and its rate limit. Immutable.
 *
 * @param id the ID of the workspace
 * @param keys the hashes of the API keys
 * @param priority the priority of requests; overrides the priority of the route
 * @param quota the rate limit
 * @param allowedRegions the regions whose servers may serve requests
 */
public record WorkspaceDeclaration(
        WorkspaceId id,
        List<KeyHash> keys,
        OptionalInt priority,
        TokenQuota quota,
        AllowedRegions allowedRegions) {
    /** Creates a workspace whose requests servers in all regions may serve. */
    public WorkspaceDeclaration(
            WorkspaceId id, List<KeyHash> keys, OptionalInt priority, TokenQuota quota) {
        this(id, keys, priority, quota, AllowedRegions.ALL);
    }
}
