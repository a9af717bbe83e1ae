package org.fuchsiaford.entry.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.workspace.WorkspaceId;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramReservoir;

/**
 * The metrics of a host, by workspace. Names have the form {@code what{workspace="w"}}.
 *
 * <p>Thread-safe.
 */
public final class EntryMetrics {
    private final MetricRegistry mRegistry = new MetricRegistry();

    /** What is measured in time. */
    public enum Timing {
        FIRST_TOKEN,
        BETWEEN_TOKENS,
        QUEUE_WAIT,
        PREFILL,
        TRANSFER,
        SERVICE_CALL
    }

    /** What is counted. */
    public enum Count {
        REQUESTS,
        ANSWERS,
        REFUSALS,
        RESUMPTIONS,
        CANCELLATIONS,
        PROMPT_TOKENS,
        CACHED_TOKENS,
        OUTPUT_TOKENS
    }

    /** Returns the registry behind. */
    public MetricRegistry registry() {
        return mRegistry;
    }

    /** Records a time in nanoseconds; the histogram is in microseconds. */
    public void record(Timing timing, WorkspaceId workspace, long elapsedNanos) {
        histogram(name(timing, workspace)).update(TimeUnit.NANOSECONDS.toMicros(elapsedNanos));
    }

    /** Adds to a count. */
    public void count(Count count, WorkspaceId workspace, long amount) {
        counter(name(count, workspace)).inc(amount);
    }

    /** Counts a refusal. */
    public void refuse(RefusalReason reason, WorkspaceId workspace) {
        String labels = "{workspace=\"" + workspace + "\",reason=\"" + reason.wireName() + "\"}";
        counter(base(Count.REFUSALS) + labels).inc();
    }

    private Histogram histogram(String name) {
        return mRegistry.histogram(name, () -> new Histogram(new HdrHistogramReservoir()));
    }

    private Counter counter(String name) {
        return mRegistry.counter(name);
    }

    private static String name(Enum<?> metric, WorkspaceId workspace) {
        return base(metric) + "{workspace=\"" + workspace + "\"}";
    }

    private static String base(Enum<?> metric) {
        return "fuchsiaford_" + metric.name().toLowerCase(Locale.ROOT);
    }
}
