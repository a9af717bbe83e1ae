package org.fuchsiaford.entry.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.registry.EngineStage;

/** Tests the metrics of attempts by service. */
class ServiceMetricsTest {
    private final MetricRegistry mRegistry = new MetricRegistry();
    private final ServiceMetrics mMetrics = new ServiceMetrics(mRegistry);

    @Example
    void attemptsAreCountedByServiceAndOutcome() {
        ServiceId service = new ServiceId("app");
        mMetrics.count(service, AttemptOutcome.ANSWERED);
        mMetrics.count(service, AttemptOutcome.ANSWERED);
        mMetrics.count(service, AttemptOutcome.NOT_RUN);
        mMetrics.record(service, TimeUnit.MILLISECONDS.toNanos(3));
        mMetrics.countLongGap(service);
        mMetrics.countStageOrder(service, EngineStage.PREFILL);

        assertThat(PrometheusText.write(mRegistry))
                .contains("fuchsiaford_attempts_total{service=\"app\",outcome=\"answered\"} 2")
                .contains("fuchsiaford_attempts_total{service=\"app\",outcome=\"not_run\"} 1")
                .contains("fuchsiaford_stage_orders_total{service=\"app\",stage=\"prefill\"} 1")
                .contains("fuchsiaford_stream_gaps_over_target_total{service=\"app\"} 1")
                .contains("fuchsiaford_attempt_micros_count{service=\"app\"} 1");
    }

    @Example
    void servicesWithLabelsOfTheirOwnAreBounded() {
        for (int i = 0; i < 3 * ServiceMetrics.MAX_SERVICES; i++) {
            mMetrics.record(new ServiceId("s" + i), 1);
        }
        assertThat(mRegistry.getHistograms()).hasSize(ServiceMetrics.MAX_SERVICES + 1);
        assertThat(PrometheusText.write(mRegistry)).contains("{service=\"others\"}");
    }
}
