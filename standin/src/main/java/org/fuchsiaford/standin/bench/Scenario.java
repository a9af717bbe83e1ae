package org.fuchsiaford.standin.bench;

/**
 * The load and the fault of a bench run. Immutable.
 *
 * @param name the name in tables and results
 * @param requestsPerSecond the total rate of requests that are within their workspace's rate
 * @param seconds the duration during which requests arrive
 * @param greedyWorkspace the workspace that exceeds its rate, or empty
 * @param greedyFactor the factor by which this workspace exceeds its rate
 * @param fault the fault that occurs half way through the run
 * @param prefillEngines the number of prefill engines
 * @param decodeEngines the number of decode engines
 */
record Scenario(
        String name,
        double requestsPerSecond,
        int seconds,
        String greedyWorkspace,
        double greedyFactor,
        Fault fault,
        int prefillEngines,
        int decodeEngines) {

    /** A fault that occurs half way through a run. */
    enum Fault {
        NONE,
        /** A prefill engine crashes and restarts with empty memory after five seconds. */
        PREFILL_DEATH,
        /** A decode engine crashes and restarts with empty memory after five seconds. */
        DECODE_DEATH,
        /** The transfer link of a decode engine stalls for five seconds. */
        LINK_STALL,
        /** A decode engine leaves permanently; the policy is notified one second later. */
        LEAVING
    }
}
