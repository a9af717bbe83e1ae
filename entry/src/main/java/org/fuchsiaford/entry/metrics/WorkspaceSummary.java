package org.fuchsiaford.entry.metrics;

import org.fuchsiaford.workspace.WorkspaceId;

/**
 * The metrics of one workspace on one host, for operators' eyes. Immutable.
 *
 * @param workspace the workspace
 * @param requests requests received
 * @param refusals requests refused, for any reason
 * @param promptTokens prompt tokens prefilled
 * @param cachedTokens those of them that engines had cached
 * @param outputTokens tokens passed on to callers
 * @param firstTokenMicros 95 % of first tokens came within this time
 * @param betweenTokensMicros 95 % of later tokens came within this time of the one before
 * @param queueWaitMicros 95 % of requests waited no longer for their placement
 * @param transferMicros 95 % of transfers took no longer, first decode step included
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
