package org.fuchsiaford.placement;

import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * A model request that asks for engines. Immutable; the array is not copied and nobody changes it.
 *
 * @param request the request
 * @param workspace whom it runs for
 * @param weight the workspace's share relative to others, its rate in tokens a second
 * @param promptTokens the length of the prompt in tokens
 * @param maxOutputTokens the most tokens that it may generate
 * @param prefixHashes a hash for each piece of the prompt, each over the prompt up to the piece's
 *     end
 * @param firstTokenMillis the time left until its first token is due, in milliseconds
 */
public record PlacementRequest(
        RequestId request,
        WorkspaceId workspace,
        long weight,
        int promptTokens,
        int maxOutputTokens,
        long[] prefixHashes,
        long firstTokenMillis) {}
