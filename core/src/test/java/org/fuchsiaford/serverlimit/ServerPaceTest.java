package org.fuchsiaford.serverlimit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.fuchsiaford.TestServers;
import org.fuchsiaford.registry.LiveServer;

/**
 * Replays of a server that returns while its peers serve, with outcomes that are known half a
 * second late: with its pace, and with the fixed pause of 0.7 s before. Guards against a server
 * that is flooded when it returns, and against one that is left idle.
 */
class ServerPaceTest {
    private static final int PEERS = 3;
    private static final int SLOTS = 6;
    private static final int MAX_QUEUED = 24;

    /**
     * The load at which hosts take a server for full, and the error of the loads that they know.
     */
    private static final int MAX_LOAD = 3 * SLOTS;

    private static final int NOISE = 4;
    private static final int SERVICE_MILLIS = 86;
    private static final int TARGET_MILLIS = 390;
    private static final int REPORT_MILLIS = 500;
    private static final int RETURN_MILLIS = 5_000;
    private static final int PAUSE_MILLIS = 700;
    private static final int END_MILLIS = 15_000;

    /** The requests per second that the peers serve. */
    private static final double PEERS_CAPACITY = PEERS * SLOTS * 1_000.0 / SERVICE_MILLIS;

    /** Loads as multiples of what the peers serve. */
    private static final double[] LOADS = {0.1, 0.8, 1.1, 1.25};

    /** What the returning server does in its first time. */
    enum Start {
        FAST,
        SLOW,
        FAILING;

        /** Until then it is slow or fails. */
        static final int TO_MILLIS = RETURN_MILLIS + 2_500;
    }

    /** How requests to the returning server are limited. */
    enum Way {
        PACE,
        FIXED_PAUSE
    }

    /** What became of the requests that arrived after the return. */
    private record Outcome(
            int requests, int good, int failed, int servedByReturned, int endMillis) {
        double goodShare() {
            return (double) good / requests;
        }
    }

    private record Job(int arrivedMillis) {}

    private static final class Server {
        private final LiveServer mServer;
        private final Deque<Job> mQueue = new ArrayDeque<>();
        private final List<int[]> mRunning = new ArrayList<>();
        private int mAnswers;
        private int mFailures;
        private long mLatencyMillis;

        Server(int index) {
            mServer = TestServers.plain("s" + index, "d");
        }

        int load() {
            return mQueue.size() + mRunning.size();
        }
    }

    private final ServerPace mPace = new ServerPace();
    private final ServerRateLimiter mLimiter =
            new ServerRateLimiter(new ServerLimits(), List.of(mPace), () -> 1, () -> 0);
    private final List<Server> mServers =
            IntStream.rangeClosed(0, PEERS).mapToObj(Server::new).toList();
    private final Server mReturned = mServers.get(0);
    private final Random mRandom = new Random(51);
    private int mGood;
    private int mFailed;
    private int mRequests;
    private int mServedByReturned;
    private int mPaceEndMillis;

    private static long nanos(int millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static Outcome replay(Start start, Way way, double load) {
        return new ServerPaceTest().run(start, way, load);
    }

    private Outcome run(Start start, Way way, double load) {
        double perMillis = load * PEERS_CAPACITY / 1_000;
        for (int now = 0; now < END_MILLIS; now++) {
            if (now == RETURN_MILLIS) {
                mPace.recordStart(mReturned.mServer, nanos(now));
            }
            for (Server server : mServers) {
                finish(server, start, now);
            }
            if (now % REPORT_MILLIS == 0) {
                report(now);
            }
            for (double left = perMillis; mRandom.nextDouble() < left; left--) {
                send(way, start, now);
            }
            if (now > RETURN_MILLIS && mPace.isPaced(mReturned.mServer.run())) {
                mPaceEndMillis = now - RETURN_MILLIS;
            }
        }
        return new Outcome(mRequests, mGood, mFailed, mServedByReturned, mPaceEndMillis);
    }

    private void send(Way way, Start start, int now) {
        mRequests += now >= RETURN_MILLIS ? 1 : 0;
        Server server =
                mServers.stream()
                        .filter(s -> s != mReturned || mayUseReturned(way, now))
                        .filter(s -> s.load() < MAX_LOAD)
                        .min(Comparator.comparingDouble(s -> s.load() + mRandom.nextInt(NOISE)))
                        .orElse(null);
        if (server == null) {
            return;
        }
        if (server == mReturned && way == Way.PACE) {
            mLimiter.acquire(server.mServer.run(), nanos(now));
        }
        boolean fails = server == mReturned && start == Start.FAILING && now < Start.TO_MILLIS;
        if (fails || server.load() >= SLOTS + MAX_QUEUED) {
            server.mFailures++;
            mFailed += now >= RETURN_MILLIS ? 1 : 0;
        } else {
            server.mQueue.add(new Job(now));
        }
    }

    private boolean mayUseReturned(Way way, int now) {
        return way == Way.PACE
                ? now >= RETURN_MILLIS
                        && mLimiter.waitNanos(mReturned.mServer.run(), nanos(now)) == 0
                : now >= RETURN_MILLIS + PAUSE_MILLIS;
    }

    private void finish(Server server, Start start, int now) {
        server.mRunning.removeIf(
                job -> {
                    boolean ends = job[1] <= now;
                    if (ends) {
                        recordAnswer(server, now - job[0], now);
                    }
                    return ends;
                });
        boolean isSlow = server == mReturned && start == Start.SLOW && now < Start.TO_MILLIS;
        while (server.mRunning.size() < SLOTS && !server.mQueue.isEmpty()) {
            int arrived = server.mQueue.remove().arrivedMillis();
            server.mRunning.add(new int[] {arrived, now + SERVICE_MILLIS * (isSlow ? 6 : 1)});
        }
    }

    private void recordAnswer(Server server, int latencyMillis, int now) {
        server.mAnswers++;
        server.mLatencyMillis += latencyMillis;
        if (now - latencyMillis >= RETURN_MILLIS) {
            mGood += latencyMillis <= TARGET_MILLIS ? 1 : 0;
            mServedByReturned += server == mReturned ? 1 : 0;
        }
    }

    /** Reports reach the coordinator as one heartbeat. */
    private void report(int now) {
        for (Server server : mServers) {
            if (server.mFailures > 0) {
                mPace.recordFailure(server.mServer, nanos(now));
            }
            if (server.mAnswers > 0) {
                long latencyNanos = nanos((int) (server.mLatencyMillis / server.mAnswers));
                mPace.recordAnswers(server.mServer, server.mAnswers, latencyNanos, nanos(now));
            }
            server.mAnswers = 0;
            server.mFailures = 0;
            server.mLatencyMillis = 0;
        }
    }

    @Example
    void aFastServerIsUsedAsSoonAsAfterAFixedPause() {
        for (double load : LOADS) {
            Outcome pace = replay(Start.FAST, Way.PACE, load);
            Outcome pause = replay(Start.FAST, Way.FIXED_PAUSE, load);
            assertThat(pace.endMillis()).isLessThan(2_000);
            assertThat(pace.goodShare()).isGreaterThan(pause.goodShare() - 0.01);
            assertThat((double) pace.servedByReturned())
                    .isGreaterThan(0.9 * pause.servedByReturned());
        }
    }

    @Example
    void aServerThatIsSlowAtFirstIsUsedAsWellAsAfterAFixedPause() {
        for (double load : LOADS) {
            Outcome pace = replay(Start.SLOW, Way.PACE, load);
            Outcome pause = replay(Start.SLOW, Way.FIXED_PAUSE, load);
            assertThat(pace.goodShare()).isGreaterThan(pause.goodShare() - 0.01);
            assertThat(pace.servedByReturned()).isGreaterThan(pace.requests() / 10);
        }
    }

    @Example
    void aServerThatFailsAtFirstGetsFewRequestsAndItsShareLater() {
        for (double load : LOADS) {
            Outcome pace = replay(Start.FAILING, Way.PACE, load);
            Outcome pause = replay(Start.FAILING, Way.FIXED_PAUSE, load);
            assertThat(pace.failed()).isLessThan(pause.failed() / 5);
            assertThat(pace.goodShare()).isGreaterThan(pause.goodShare() + 0.05);
            assertThat((double) pace.servedByReturned())
                    .isGreaterThan(0.75 * pause.servedByReturned());
        }
    }

    @Example
    void thePaceEndsWithTheFirstAnswersUnderLightLoad() {
        Outcome pace = replay(Start.FAST, Way.PACE, 0.02);
        assertThat(pace.endMillis()).isLessThan(2_500);
        assertThat(pace.goodShare()).isGreaterThan(0.99);
    }

    @Example
    void aFleetThatStartsAsAWholeIsNotSlowedDown() {
        mServers.forEach(server -> mPace.recordStart(server.mServer, 0));
        assertThat(mPace.isEmpty()).isTrue();
    }

    @Example
    void aServerIsLimitedOnlyWhileAPeerIsNot() {
        LiveServer first = mServers.get(1).mServer;
        LiveServer next = mReturned.mServer;
        mPace.recordAnswers(first, 100, 0, 0);
        mPace.recordStart(next, 0);
        assertThat(mPace.rate(next.run(), 0).isLimited()).isTrue();
        mPace.recordUnreachable(first, nanos(5_000));
        assertThat(mPace.rate(next.run(), nanos(5_000)).isLimited()).isFalse();
    }

    @Example
    void aServerThatFailsIsStillTriedAndNotLimitedForGood() {
        LiveServer next = mReturned.mServer;
        mPace.recordAnswers(mServers.get(1).mServer, 100, 0, 0);
        mPace.recordStart(next, 0);
        for (int millis = 0; millis < 10_000; millis += 100) {
            mPace.recordFailure(next, nanos(millis));
        }
        assertThat(mPace.rate(next.run(), nanos(10_000)).requestsPerSecond())
                .isEqualTo(ServerPace.MIN_PER_SECOND);
        long endNanos = nanos(10_000) + ServerPace.MAX_PACE_NANOS;
        mPace.recordAnswers(mServers.get(1).mServer, 1, 0, endNanos);
        assertThat(mPace.rate(next.run(), endNanos).isLimited()).isFalse();
    }
}
