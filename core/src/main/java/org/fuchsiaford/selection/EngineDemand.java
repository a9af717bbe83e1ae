package org.fuchsiaford.selection;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.backend.ServiceId;

/**
 * Measures what the requests of each service ask of its engines, at the host that schedules them.
 *
 * <p>Load pattern: bursts of a few seconds within a minute of lower load. Arrivals are counted in
 * short intervals, since a mean over a minute hides the bursts. Invariant: only intervals that are
 * over count, from the first arrival on. Thread-safe.
 */
public final class EngineDemand {
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Intervals that are kept: a minute, several times the time that a stage order takes. */
    private static final int MAX_INTERVALS = 12;

    private static final double SMOOTHING_FACTOR = 0.05;

    private final Map<ServiceId, Measured> mServices = new HashMap<>();

    private static final class Interval {
        private final long mEndNanos;
        private int mRequests;
        private long mPromptTokens;
        private long mApartTokens;
        private long mKvTokens;
        private long mTargetMillis;
        private long mDecodeReadTokens;

        Interval(long endNanos) {
            mEndNanos = endNanos;
        }
    }

    private static final class Measured {
        private final Deque<Interval> mIntervals = new ArrayDeque<>();
        private double mRunNanos;

        Measured(long nowNanos) {
            mIntervals.add(new Interval(nowNanos + INTERVAL_NANOS));
        }

        Interval current(long nowNanos) {
            while (nowNanos - mIntervals.getLast().mEndNanos >= 0) {
                mIntervals.add(new Interval(mIntervals.getLast().mEndNanos + INTERVAL_NANOS));
                if (mIntervals.size() > MAX_INTERVALS + 1) {
                    mIntervals.removeFirst();
                }
            }
            return mIntervals.getLast();
        }

        Optional<EngineLoadSample> sample(long nowNanos) {
            Interval current = current(nowNanos);
            List<Interval> over = mIntervals.stream().filter(i -> i != current).toList();
            double requests = over.stream().mapToInt(i -> i.mRequests).sum();
            if (requests == 0 || mRunNanos == 0) {
                return Optional.empty();
            }
            double seconds = (double) INTERVAL_NANOS / TimeUnit.SECONDS.toNanos(1);
            double promptTokens = over.stream().mapToLong(i -> i.mPromptTokens).sum();
            double apartTokens = over.stream().mapToLong(i -> i.mApartTokens).sum();
            double kvTokens = over.stream().mapToLong(i -> i.mKvTokens).sum();
            double targetMillis = over.stream().mapToLong(i -> i.mTargetMillis).sum();
            double decodeReadTokens = over.stream().mapToLong(i -> i.mDecodeReadTokens).sum();
            return Optional.of(
                    new EngineLoadSample(
                            over.size() * INTERVAL_NANOS,
                            over.stream().map(i -> i.mRequests / seconds).toList(),
                            promptTokens / requests,
                            apartTokens / Math.max(1, promptTokens),
                            kvTokens / requests,
                            targetMillis / requests,
                            decodeReadTokens / (over.size() * seconds),
                            mRunNanos));
        }
    }

    private Measured of(ServiceId service, long nowNanos) {
        return mServices.computeIfAbsent(service, id -> new Measured(nowNanos));
    }

    /**
     * Records the arrival of a request.
     *
     * @param apart whether its prompt has to be read apart from running streams
     */
    public synchronized void recordArrival(EngineRequest request, boolean apart, long nowNanos) {
        Interval interval = of(request.service(), nowNanos).current(nowNanos);
        long promptTokens = request.tokens().promptTokens();
        interval.mRequests++;
        interval.mPromptTokens += promptTokens;
        interval.mApartTokens += apart ? promptTokens : 0;
        interval.mKvTokens += request.tokens().plannedKvTokens();
        interval.mTargetMillis += request.targetMillis();
    }

    /** Records that a decode engine has read a prompt itself. */
    public synchronized void recordDecodeRead(ServiceId service, long tokens, long nowNanos) {
        of(service, nowNanos).current(nowNanos).mDecodeReadTokens += tokens;
    }

    /** Records the time from the first event to the end of a complete stream. */
    public synchronized void recordRun(ServiceId service, long durationNanos, long nowNanos) {
        Measured measured = of(service, nowNanos);
        double weight = measured.mRunNanos == 0 ? 1 : SMOOTHING_FACTOR;
        measured.mRunNanos += (durationNanos - measured.mRunNanos) * weight;
    }

    /** Returns what was measured of a service; empty until requests arrived and streams ended. */
    public synchronized Optional<EngineLoadSample> sample(ServiceId service, long nowNanos) {
        return Optional.ofNullable(mServices.get(service)).flatMap(m -> m.sample(nowNanos));
    }

    /** Forgets everything, since this host does not schedule the requests of the fleet. */
    public synchronized void reset() {
        mServices.clear();
    }
}
