package org.fuchsiaford.entry.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.workspace.WorkspaceId;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramReservoir;

/**
 * The metrics of a host, by workspace. Registry names have the form {@code metric{workspace="w"}}.
 *
 * <p>Thread-safe.
 */
public final class EntryMetrics {
    private final MetricRegistry mRegistry = new MetricRegistry();
    private final Set<WorkspaceId> mWorkspaces = ConcurrentHashMap.newKeySet();

    /** The durations that are measured; each constant is part of a metric name. */
    public enum Timing {
        FIRST_TOKEN,
        BETWEEN_TOKENS,
        QUEUE_WAIT,
        PREFILL,
        TRANSFER,
        SERVICE_CALL
    }

    /** The events and tokens that are counted; each constant is part of a metric name. */
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

    /** Returns the registry that holds the metrics. */
    public MetricRegistry registry() {
        return mRegistry;
    }

    /**
     * Records a duration in a histogram in microseconds.
     *
     * @param elapsedNanos the duration in nanoseconds
     */
    public void record(Timing timing, WorkspaceId workspace, long elapsedNanos) {
        histogram(mRegistry, name(timing, workspace))
                .update(TimeUnit.NANOSECONDS.toMicros(elapsedNanos));
    }

    /** Adds an amount to a counter. */
    public void count(Count count, WorkspaceId workspace, long amount) {
        mWorkspaces.add(workspace);
        counter(name(count, workspace)).inc(amount);
    }

    /** Counts a refused request by reason. */
    public void countRefusal(RefusalReason reason, WorkspaceId workspace) {
        mWorkspaces.add(workspace);
        counter(name(reason, workspace)).inc();
    }

    /** Returns a summary of each workspace that has any count, in order of name. */
    public List<WorkspaceSummary> summaries() {
        return mWorkspaces.stream().sorted().map(this::summary).toList();
    }

    private WorkspaceSummary summary(WorkspaceId workspace) {
        return new WorkspaceSummary(
                workspace,
                counterValue(Count.REQUESTS, workspace),
                refusals(workspace),
                counterValue(Count.PROMPT_TOKENS, workspace),
                counterValue(Count.CACHED_TOKENS, workspace),
                counterValue(Count.OUTPUT_TOKENS, workspace),
                percentile(Timing.FIRST_TOKEN, workspace),
                percentile(Timing.BETWEEN_TOKENS, workspace),
                percentile(Timing.QUEUE_WAIT, workspace),
                percentile(Timing.TRANSFER, workspace));
    }

    private long counterValue(Count count, WorkspaceId workspace) {
        return counter(name(count, workspace)).getCount();
    }

    private long refusals(WorkspaceId workspace) {
        return Arrays.stream(RefusalReason.values())
                .map(reason -> mRegistry.getCounters().get(name(reason, workspace)))
                .filter(Objects::nonNull)
                .mapToLong(Counter::getCount)
                .sum();
    }

    private long percentile(Timing timing, WorkspaceId workspace) {
        Histogram histogram = mRegistry.getHistograms().get(name(timing, workspace));
        return histogram == null ? 0 : (long) histogram.getSnapshot().get95thPercentile();
    }

    /** Registers a number of the whole host that is read whenever metrics are. */
    public void registerGauge(String name, IntSupplier value) {
        mRegistry.register("fuchsiaford_" + name, (Gauge<Integer>) value::getAsInt);
    }

    static Histogram histogram(MetricRegistry registry, String name) {
        return registry.histogram(name, () -> new Histogram(new HdrHistogramReservoir()));
    }

    private Counter counter(String name) {
        return mRegistry.counter(name);
    }

    private static String name(Enum<?> metric, WorkspaceId workspace) {
        return metricName(metric) + "{workspace=\"" + workspace + "\"}";
    }

    private static String name(RefusalReason reason, WorkspaceId workspace) {
        String labels = "{workspace=\"" + workspace + "\",reason=\"" + reason.wireName() + "\"}";
        return metricName(Count.REFUSALS) + labels;
    }

    private static String metricName(Enum<?> metric) {
        return "fuchsiaford_" + metric.name().toLowerCase(Locale.ROOT);
    }
}
