package org.fuchsiaford.selection;

import org.fuchsiaford.fairness.FairAccounts;

/** The answer to a request for engines. All are immutable. */
public sealed interface EngineAnswer {
    /**
     * Engines are reserved for the request until it is released.
     *
     * @param grantedNanos when the capacity was granted, on the monotonic clock
     */
    record Granted(EngineRequest request, EnginePlan plan, long grantedNanos)
            implements EngineAnswer {}

    /**
     * The request waits for capacity.
     *
     * @param queuedTokens the tokens queued for its service that can still meet their target
     * @param rank its place among the requests of its kind
     * @param waitMillis the estimated wait, in milliseconds
     */
    record Waiting(long queuedTokens, FairAccounts.Rank rank, long waitMillis)
            implements EngineAnswer {}

    /**
     * The request cannot be served in time.
     *
     * @param retryMillis the delay before a retry, in milliseconds
     */
    record Refused(EngineRequest request, long retryMillis, String reason)
            implements EngineAnswer {}
}
