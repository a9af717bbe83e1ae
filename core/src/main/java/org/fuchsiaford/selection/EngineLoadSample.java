package org.fuchsiaford.selection;

import java.util.List;

/**
 * What the requests of a service were measured to ask of its engines. Immutable.
 *
 * @param measuredNanos for how long it was measured
 * @param arrivalsPerSecond the requests a second in each interval of the measured time
 * @param promptTokens the mean length of a prompt, in tokens
 * @param apartFraction the fraction of the prompt tokens that must not be read beside running
 *     streams
 * @param kvTokens the mean KV cache planned for a request, in tokens
 * @param targetMillis the mean target for the time to the first event, in milliseconds
 * @param decodeReadTokensPerSecond the prompt tokens that decode engines read
 * @param runNanos the mean time from the first event of a stream to its end, in nanoseconds
 */
public record EngineLoadSample(
        long measuredNanos,
        List<Double> arrivalsPerSecond,
        double promptTokens,
        double apartFraction,
        double kvTokens,
        double targetMillis,
        double decodeReadTokensPerSecond,
        double runNanos) {
    /** Creates a sample. */
    public EngineLoadSample {
        arrivalsPerSecond = List.copyOf(arrivalsPerSecond);
    }

    /** Returns the mean requests a second. */
    public double meanArrivalsPerSecond() {
        return arrivalsPerSecond.stream().mapToDouble(rate -> rate).average().orElse(0);
    }
}
