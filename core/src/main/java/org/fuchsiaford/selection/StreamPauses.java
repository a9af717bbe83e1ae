package org.fuchsiaford.selection;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.EngineCapacity;

/**
 * Estimates the pause that a prompt read at a decode engine adds to the streams that run there, and
 * how many of them it makes late.
 *
 * <p>Load pattern: long prompts beside streams whose routes limit the time between events. A decode
 * engine reads a chunk of a prompt before each decode step, so while it reads, all its streams make
 * pauses. These are no longer than the reading takes altogether, and no longer than the chunks
 * before the steps of one event. The size of a chunk is not declared; the second bound is therefore
 * measured from streams during which a prompt was read that takes much longer than their longest
 * pause. Until it has been measured, only the first bound holds.
 *
 * <p>Invariant: every stream is known from its grant until its engines are released, and a stream
 * that has been made late once is not counted again. Thread-safe.
 */
public final class StreamPauses {
    /** Time of a decode step until one is observed, as of an engine with many streams. */
    private static final double INITIAL_STEP_NANOS = 6_500_000;

    /** Weight of the newest sample in the moving averages. */
    private static final double SMOOTHING_FACTOR = 0.1;

    /**
     * A stream whose longest pause is shorter than this fraction of the time that a prompt takes to
     * read had at least one event all of whose steps waited for a chunk of the prompt.
     */
    private static final double LIMITED_PAUSE_FRACTION = 0.5;

    /** Mean deviations above the mean that cover most pauses. */
    private static final int PAUSE_DEVIATIONS = 2;

    private final Map<BackendServerId, Map<RequestId, RunningStream>> mStreams = new HashMap<>();
    private final Map<RequestId, BackendServerId> mEngines = new HashMap<>();
    private final Map<ServiceId, Pace> mPaces = new HashMap<>();

    private static final class RunningStream {
        private final ServiceId mService;
        private final long mPromptTokens;
        private final long mTargetNanos;
        private final long mGrantedNanos;
        private boolean mReadAtDecode;
        private boolean mBegun;
        private boolean mLate;
        private long mBeganNanos;
        private long mReadTokens;
        private long mLargestReadTokens;

        RunningStream(EngineRequest request, boolean readAtDecode, long nowNanos) {
            mService = request.service();
            mPromptTokens = request.tokens().promptTokens();
            mTargetNanos = gapTargetNanos(request);
            mReadAtDecode = readAtDecode;
            mGrantedNanos = nowNanos;
        }

        /** Returns whether the prompt of another stream was read while this one ran. */
        boolean hasRunSinceGrantOf(RunningStream other) {
            return mBegun && mBeganNanos - other.mGrantedNanos <= 0;
        }

        boolean isMadeLateBy(double pauseNanos) {
            return !mLate && mTargetNanos > 0 && pauseNanos > mTargetNanos;
        }
    }

    /** What has been measured of the streams of a service. */
    private static final class Pace {
        private double mGapNanos;
        private double mPauseNanos;
        private double mPauseDeviationNanos;

        void observeGap(double gapNanos) {
            mGapNanos += (gapNanos - mGapNanos) * (mGapNanos == 0 ? 1 : SMOOTHING_FACTOR);
        }

        void observePause(double pauseNanos) {
            if (mPauseNanos == 0) {
                mPauseNanos = pauseNanos;
                mPauseDeviationNanos = pauseNanos / PAUSE_DEVIATIONS;
            }
            double deviation = Math.abs(pauseNanos - mPauseNanos);
            mPauseDeviationNanos += (deviation - mPauseDeviationNanos) * SMOOTHING_FACTOR;
            mPauseNanos += (pauseNanos - mPauseNanos) * SMOOTHING_FACTOR;
        }

        double limitNanos() {
            return mPauseNanos == 0
                    ? Double.POSITIVE_INFINITY
                    : mPauseNanos + PAUSE_DEVIATIONS * mPauseDeviationNanos;
        }
    }

    private static long gapTargetNanos(EngineRequest request) {
        return TimeUnit.MILLISECONDS.toNanos(request.attributes().targetGapMillis());
    }

    /** Returns whether the pauses of the stream of a request matter and can be estimated. */
    static boolean areLimited(EngineRequest request, EngineCapacity capacity) {
        return capacity.eventTokens() > 0 && request.attributes().targetGapMillis() > 0;
    }

    /** Returns the longest time between events while prompts are read at a decode engine. */
    synchronized double pauseNanos(ServiceId service, EngineCapacity capacity, double readNanos) {
        Pace pace = mPaces.getOrDefault(service, new Pace());
        double gapNanos =
                pace.mGapNanos > 0 ? pace.mGapNanos : capacity.eventTokens() * INITIAL_STEP_NANOS;
        return gapNanos + Math.min(readNanos, pace.limitNanos());
    }

    /** Returns whether a prompt of this length makes streams like its own late where they run. */
    boolean makesLate(EngineRequest request, EngineCapacity capacity, double readNanos) {
        return areLimited(request, capacity)
                && pauseNanos(request.service(), capacity, readNanos) > gapTargetNanos(request);
    }

    /**
     * Returns how many streams of an engine a pause makes late.
     *
     * @param requests the requests at the engine; those that this host has not granted are taken
     *     for streams like that of the new request
     */
    synchronized int lateStreams(
            BackendServerId engine, int requests, EngineRequest request, double pauseNanos) {
        Collection<RunningStream> streams = mStreams.getOrDefault(engine, Map.of()).values();
        int late = (int) streams.stream().filter(s -> s.isMadeLateBy(pauseNanos)).count();
        long ownTargetNanos = gapTargetNanos(request);
        boolean likeOwn = ownTargetNanos > 0 && pauseNanos > ownTargetNanos;
        return late + (likeOwn ? Math.max(0, requests - streams.size()) : 0);
    }

    /**
     * Adds a stream that was granted engines.
     *
     * @param pauseNanos the pause that it adds to the other streams of its decode engine
     */
    synchronized void add(
            EngineRequest request, EnginePlan plan, double pauseNanos, long nowNanos) {
        BackendServerId engine = plan.decode().id();
        boolean readAtDecode = plan.prefill().isEmpty();
        Map<RequestId, RunningStream> streams =
                mStreams.computeIfAbsent(engine, id -> new LinkedHashMap<>());
        if (readAtDecode) {
            streams.values().stream()
                    .filter(stream -> stream.isMadeLateBy(pauseNanos))
                    .forEach(stream -> stream.mLate = true);
        }
        streams.put(request.request(), new RunningStream(request, readAtDecode, nowNanos));
        mEngines.put(request.request(), engine);
    }

    private RunningStream find(RequestId request) {
        BackendServerId engine = mEngines.get(request);
        return engine == null ? null : mStreams.get(engine).get(request);
    }

    /** Records that the decode engine of a stream has to read its prompt itself. */
    synchronized void leavePromptToDecode(RequestId request) {
        RunningStream stream = find(request);
        if (stream != null) {
            stream.mReadAtDecode = true;
        }
    }

    /** Records the first event of a stream, by which its prompt has been read. */
    synchronized void begin(RequestId request, long nowNanos) {
        RunningStream begun = find(request);
        if (begun == null || begun.mBegun) {
            return;
        }
        begun.mBegun = true;
        begun.mBeganNanos = nowNanos;
        if (begun.mReadAtDecode) {
            mStreams.get(mEngines.get(request)).values().stream()
                    .filter(stream -> stream != begun && stream.hasRunSinceGrantOf(begun))
                    .forEach(
                            stream -> {
                                stream.mReadTokens += begun.mPromptTokens;
                                stream.mLargestReadTokens =
                                        Math.max(stream.mLargestReadTokens, begun.mPromptTokens);
                            });
        }
    }

    /**
     * Records how the events of a complete stream followed each other.
     *
     * @param decodeTokensPerNano the speed at which its decode engine reads prompts
     */
    synchronized void observe(
            RequestId request, StreamPace pace, double decodeTokensPerNano, long nowNanos) {
        RunningStream stream = find(request);
        if (stream == null || !stream.mBegun || !pace.isKnown()) {
            return;
        }
        Pace measured = mPaces.computeIfAbsent(stream.mService, id -> new Pace());
        double runNanos = Math.max(1, nowNanos - stream.mBeganNanos);
        double readNanos = stream.mReadTokens / decodeTokensPerNano;
        double gapNanos = pace.gapNanos() * Math.max(0, 1 - readNanos / runNanos);
        if (gapNanos > 0) {
            measured.observeGap(gapNanos);
        }
        double pauseNanos = pace.longestGapNanos() - measured.mGapNanos;
        double largestNanos = stream.mLargestReadTokens / decodeTokensPerNano;
        if (pauseNanos > 0 && pace.longestGapNanos() < largestNanos * LIMITED_PAUSE_FRACTION) {
            measured.observePause(pauseNanos);
        }
    }

    /** Removes a stream whose engines are released. */
    synchronized void remove(RequestId request) {
        BackendServerId engine = mEngines.remove(request);
        if (engine != null) {
            Map<RequestId, RunningStream> streams = mStreams.get(engine);
            streams.remove(request);
            if (streams.isEmpty()) {
                mStreams.remove(engine);
            }
        }
    }
}
