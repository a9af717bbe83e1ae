package org.fuchsiaford.standin.engine;

import java.util.concurrent.TimeUnit;

/**
 * How a model engine behaves in time and memory. The process stand-in and the placement bench share
 * it. Immutable.
 *
 * @param prefillTokensPerSecond how fast prompts are computed, one after another
 * @param stepBaseNanos the time of a decode step without requests
 * @param stepPerRequestNanos what each running request adds to a decode step
 * @param batchSlots requests decoded at once
 * @param blocks blocks of memory
 * @param blockTokens tokens in a block
 * @param kvBytesPerToken bytes of KV cache for a token
 * @param linkBytesPerSecond rate of the transfer link
 * @param resultTtlNanos how long the result of a prefill is kept
 */
public record EngineProfile(
        long prefillTokensPerSecond,
        long stepBaseNanos,
        long stepPerRequestNanos,
        int batchSlots,
        int blocks,
        int blockTokens,
        int kvBytesPerToken,
        long linkBytesPerSecond,
        long resultTtlNanos) {

    /** An engine as the users run them today. */
    public static final EngineProfile STANDARD =
            new EngineProfile(
                    40_000,
                    TimeUnit.MICROSECONDS.toNanos(9_000),
                    TimeUnit.MICROSECONDS.toNanos(800),
                    20,
                    64,
                    2_000,
                    100_000,
                    10_000_000_000L,
                    TimeUnit.MILLISECONDS.toNanos(800));

    /** Returns the time to compute tokens of a prompt. */
    public long prefillNanos(int tokens) {
        return tokens * TimeUnit.SECONDS.toNanos(1) / prefillTokensPerSecond;
    }

    /** Returns the time of a decode step. */
    public long stepNanos(int running) {
        return stepBaseNanos + running * stepPerRequestNanos;
    }

    /** Returns the time to move the KV cache of some tokens over an idle link. */
    public long transferNanos(int tokens) {
        double seconds = (double) tokens * kvBytesPerToken / linkBytesPerSecond;
        return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
    }

    /** Returns how many blocks some tokens take. */
    public int blocks(int tokens) {
        return (tokens + blockTokens - 1) / blockTokens;
    }
}
