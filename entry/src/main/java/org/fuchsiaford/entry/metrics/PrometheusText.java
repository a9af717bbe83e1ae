package org.fuchsiaford.entry.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Formats a metric registry in the Prometheus text format, with durations in microseconds.
 * Stateless, hence thread-safe.
 */
public final class PrometheusText {
    private static final double[] QUANTILES = {0.5, 0.95, 0.99};

    private PrometheusText() {}

    /** Returns the metrics of a registry, one sample per line. */
    public static String write(MetricRegistry registry) {
        Stream<String> counters = registry.getCounters().entrySet().stream().map(e -> counter(e));
        Stream<String> histograms =
                registry.getHistograms().entrySet().stream().flatMap(PrometheusText::histogram);
        Stream<String> gauges =
                registry.getMetrics().entrySet().stream().flatMap(PrometheusText::gauge);
        return Stream.of(counters, gauges, histograms)
                .flatMap(samples -> samples)
                .collect(Collectors.joining("\n", "", "\n"));
    }

    private static String counter(Map.Entry<String, Counter> entry) {
        String name = entry.getKey();
        int labels = name.indexOf('{');
        String sample = name.substring(0, labels) + "_total" + name.substring(labels);
        return sample + " " + entry.getValue().getCount();
    }

    private static Stream<String> gauge(Map.Entry<String, Metric> entry) {
        return entry.getValue() instanceof Gauge<?> gauge
                ? Stream.of(entry.getKey() + " " + gauge.getValue())
                : Stream.empty();
    }

    private static Stream<String> histogram(Map.Entry<String, Histogram> entry) {
        String name = entry.getKey();
        int labels = name.indexOf('{');
        String base = name.substring(0, labels) + "_micros";
        String labelPairs = name.substring(labels + 1, name.length() - 1);
        Snapshot snapshot = entry.getValue().getSnapshot();
        Stream<String> quantiles =
                java.util.Arrays.stream(QUANTILES)
                        .mapToObj(
                                q ->
                                        String.format(
                                                "%s{%s,quantile=\"%s\"} %.0f",
                                                base, labelPairs, q, snapshot.getValue(q)));
        String count =
                String.format("%s_count{%s} %d", base, labelPairs, entry.getValue().getCount());
        return Stream.concat(quantiles, Stream.of(count));
    }
}
