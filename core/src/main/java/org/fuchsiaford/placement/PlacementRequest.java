package org.fuchsiaford.placement;

import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * A model request to be placed on engines. Immutable; the array is not copied and must not be
 * modified.
 *
 * @param request the ID of the request
 * @param workspace the workspace that the request belongs to
 * @param weight the weight of the workspace relative to others, its rate in tokens per second
 * @param promptTokens the length of the prompt in tokens
 * @param maxOutputTokens the maximum number of tokens to generate
 * @param prefixHashes a hash for each full block of the prompt, computed over the prompt up to the
 *     end of that block
 * @param firstTokenMillis the time left until the first token is due, in milliseconds
 */
public record PlacementRequest(
        RequestId request,
        WorkspaceId workspace,
        long weight,
        int promptTokens,
        int maxOutputTokens,
        long[] prefixHashes,
        long firstTokenMillis) {}
