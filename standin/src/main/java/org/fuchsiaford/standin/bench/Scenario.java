package org.fuchsiaford.standin.bench;

/**
 * What a run puts the engines through. Immutable.
 *
 * @param name a short name
 * @param requestsPerSecond requests inside all rates
 * @param seconds length of the run
 * @param greedyWorkspace the workspace that sends more than its rate, or empty
 * @param greedyFactor how many times its rate it sends
 * @param fault what fails half way
 * @param prefillEngines engines that prefill
 * @param decodeEngines engines that decode
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

    /** What fails half way through a run. */
    enum Fault {
        NONE,
        /** A prefill engine dies and comes back empty after five seconds. */
        PREFILL_DEATH,
        /** A decode engine dies and comes back empty after five seconds. */
        DECODE_DEATH,
        /** The transfer link of a decode engine stalls for five seconds. */
        LINK_STALL,
        /** A decode engine leaves for good; the policy hears of it a second later. */
        LEAVING
    }
}
