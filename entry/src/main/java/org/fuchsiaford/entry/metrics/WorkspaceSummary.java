package org.fuchsiaford.entry.metrics;

import org.fuchsiaford.workspace.WorkspaceId;

/**
 * The metrics of one workspace on one host, as shown on the status page. Immutable.
 *
 * @param workspace the workspace
 * @param requests the number of requests received
 * @param refusals the number of requests refused, for any reason
 * @param promptTokens the number of prompt tokens prefilled
 * @param cachedTokens how many of them were in the engines' prefix caches
 * @param outputTokens the number of tokens delivered to clients
 * @param firstTokenMicros the 95th percentile of the time to the first token, in microseconds
 * @param betweenTokensMicros the 95th percentile of the time between tokens, in microseconds
 * @param queueWaitMicros the 95th percentile of the wait for a placement, in microseconds
 * @param transferMicros the 95th percentile of the KV transfer time including the first decode
 *     step, in microseconds
 */
public record WorkspaceSummary(
        WorkspaceId workspace,
        long requests,
        long refusals,
        long promptTokens,
        long cachedTokens,
        long outputTokens,
        long firstTokenMicros,
        long betweenTokensMicros,
        long queueWaitMicros,
        long transferMicros) {}
