package org.fuchsiaford.standin.engine;

import java.util.concurrent.TimeUnit;

/**
 * The speed and memory of a model engine, for {@link EngineStandin} and the placement bench.
 * Immutable.
 *
 * @param prefillTokensPerSecond the prefill throughput; prompts are computed one at a time
 * @param stepBaseNanos the constant part of the duration of a decode step
 * @param stepPerRequestNanos the time that each running request adds to a decode step
 * @param batchSlots the number of requests that can be decoded concurrently
 * @param blocks the number of KV cache blocks
 * @param blockTokens the size of a KV cache block, in tokens
 * @param kvBytesPerToken the size of the KV cache entry of a token, in bytes
 * @param linkBytesPerSecond the bandwidth of the KV cache transfer link
 * @param resultTtlNanos the time after which an unclaimed prefill result is released
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

    /** The properties of the engines that users run. */
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

    /** Returns the time to compute a number of prompt tokens. */
    public long prefillNanos(int tokens) {
        return tokens * TimeUnit.SECONDS.toNanos(1) / prefillTokensPerSecond;
    }

    /** Returns the duration of a decode step with a number of running requests. */
    public long stepNanos(int running) {
        return stepBaseNanos + running * stepPerRequestNanos;
    }

    /** Returns the time to transfer the KV cache of a number of tokens over an idle link. */
    public long transferNanos(int tokens) {
        double seconds = (double) tokens * kvBytesPerToken / linkBytesPerSecond;
        return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
    }

    /** Returns the number of KV cache blocks needed for a number of tokens. */
    public int blocks(int tokens) {
        return (tokens + blockTokens - 1) / blockTokens;
    }
}
