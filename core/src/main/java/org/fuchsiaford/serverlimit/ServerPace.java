package org.fuchsiaford.serverlimit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.ServerRun;

/**
 * Finds the pace at which a server that has just started or recovered can be sent requests, from
 * how it answers them.
 *
 * <p>Load pattern: a server returns while its peers are busy. After a fixed pause it would get its
 * full share at once, and either fail under it or have been left idle for longer than needed.
 *
 * <p>Invariant: a pace starts low, rises with each answer that is complete and about as quick as
 * those of the peers, and falls by half at failures and while answers are slow, but never below
 * {@link #MIN_PER_SECOND}. It ends once it exceeds what the peers get, or after {@link
 * #MAX_PACE_NANOS} without a failure. A server is limited only while it has peers that answer and
 * that are not limited, so that a fleet that starts as a whole is not. Thread-safe.
 */
public final class ServerPace implements ServerRateSource {
    /** Lowest pace: a server that fails is still tried. */
    static final double MIN_PER_SECOND = 0.5;

    /** Lowest pace as a part of what a peer gets; a server that is sound again is seen soon. */
    private static final double MIN_FRACTION = 0.05;

    /** Pace at first, if a part of what the peers get is not more. */
    static final double START_PER_SECOND = 2;

    /** Pace at first, as a part of what a peer gets. */
    static final double START_FRACTION = 0.25;

    /** By how much an answer raises the pace: threefold in a heartbeat of 0.5 s if it is used. */
    private static final double RISE_PER_ANSWER = 4;

    private static final double FALL_FACTOR = 0.5;

    /** Answers to requests that were sent before a fall are not held against the pace again. */
    private static final long FALL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Answers that take so many times as long as those of the peers are slow. */
    private static final double SLOW_RATIO = 3;

    /** Pace at which it ends, as a multiple of what a peer gets. */
    private static final double END_FACTOR = 1;

    /** A pace that has not ended for so long without a failure does not protect the server. */
    static final long MAX_PACE_NANOS = TimeUnit.SECONDS.toNanos(20);

    /** A server that answered so lately has not been away; heartbeats report answers. */
    private static final long ANSWER_MEMORY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_250);

    /** Time in which what is known of a peer loses its weight. */
    private static final double MEMORY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final double SMOOTHING_FACTOR = 0.3;
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final Map<BackendServerId, Server> mServers = new HashMap<>();

    private record Group(ServiceId service, Optional<EngineStage> stage) {}

    private static final class Server {
        private Group mGroup;
        private ServerRun mRun;
        private double mRecentAnswers;
        private double mLatencyNanos;
        private long mUpdatedNanos;
        private long mAnsweredNanos;
        private boolean mAnswered;
        private boolean mPaced;
        private double mPerSecond;
        private long mPacedSinceNanos;
        private long mFallenNanos;

        double answersPerSecond(long nowNanos) {
            double decay = Math.exp(-(nowNanos - mUpdatedNanos) / MEMORY_NANOS);
            return mRecentAnswers * decay * NANOS_PER_SECOND / MEMORY_NANOS;
        }

        boolean hasAnsweredSince(long agoNanos, long nowNanos) {
            return mAnswered && nowNanos - mAnsweredNanos <= agoNanos;
        }
    }

    /** What the peers of a server get and how quick they are. */
    private record Peers(int servers, double meanPerSecond, double meanLatencyNanos) {}

    /** Begins the pace of a run of a server that has started, unless its peers have as well. */
    public synchronized void recordStart(LiveServer server, long nowNanos) {
        Server state = find(server);
        state.mAnswered = false;
        state.mRecentAnswers = 0;
        state.mLatencyNanos = 0;
        begin(state, nowNanos);
    }

    /**
     * Records that a connection to a server has failed. A server that has just answered another
     * host has not been away.
     */
    public synchronized void recordUnreachable(LiveServer server, long nowNanos) {
        Server state = find(server);
        if (!state.hasAnsweredSince(ANSWER_MEMORY_NANOS, nowNanos)) {
            if (!state.mPaced) {
                begin(state, nowNanos);
            }
            state.mPacedSinceNanos = nowNanos;
            // It is no measure for others either.
            state.mAnswered = false;
        }
    }

    private void begin(Server server, long nowNanos) {
        Peers peers = peers(server, nowNanos);
        server.mPaced = peers.servers() > 0;
        server.mPerSecond = startPerSecond(peers);
        server.mPacedSinceNanos = nowNanos;
        server.mFallenNanos = nowNanos - FALL_INTERVAL_NANOS;
    }

    private static double startPerSecond(Peers peers) {
        return Math.max(START_PER_SECOND, START_FRACTION * peers.meanPerSecond());
    }

    /** Records that a server has failed a call, or has rejected it because it is full. */
    public synchronized void recordFailure(LiveServer server, long nowNanos) {
        Server state = find(server);
        if (state.mPaced) {
            state.mPacedSinceNanos = nowNanos;
            double peerPerSecond = peers(state, nowNanos).meanPerSecond();
            fall(state, Math.max(MIN_PER_SECOND, MIN_FRACTION * peerPerSecond), nowNanos);
        }
    }

    private static void fall(Server server, double leastPerSecond, long nowNanos) {
        if (nowNanos - server.mFallenNanos >= FALL_INTERVAL_NANOS) {
            server.mFallenNanos = nowNanos;
            server.mPerSecond = Math.max(leastPerSecond, server.mPerSecond * FALL_FACTOR);
        }
    }

    /**
     * Records complete answers of a server.
     *
     * @param meanLatencyNanos how long they took; zero if it is not known
     */
    public synchronized void recordAnswers(
            LiveServer server, long answers, long meanLatencyNanos, long nowNanos) {
        Server state = find(server);
        double decay = Math.exp(-(nowNanos - state.mUpdatedNanos) / MEMORY_NANOS);
        state.mRecentAnswers = (state.mAnswered ? state.mRecentAnswers * decay : 0) + answers;
        state.mUpdatedNanos = nowNanos;
        state.mAnsweredNanos = nowNanos;
        state.mAnswered = true;
        state.mLatencyNanos =
                state.mLatencyNanos == 0
                        ? meanLatencyNanos
                        : state.mLatencyNanos
                                + SMOOTHING_FACTOR * (meanLatencyNanos - state.mLatencyNanos);
        if (state.mPaced) {
            adapt(state, answers, nowNanos);
        }
    }

    private void adapt(Server server, long answers, long nowNanos) {
        Peers peers = peers(server, nowNanos);
        boolean isSlow =
                peers.meanLatencyNanos() > 0
                        && server.mLatencyNanos > SLOW_RATIO * peers.meanLatencyNanos();
        if (isSlow) {
            fall(server, startPerSecond(peers), nowNanos);
        } else {
            server.mPerSecond += RISE_PER_ANSWER * answers;
        }
        server.mPaced =
                peers.servers() > 0
                        && (isSlow || server.mPerSecond < END_FACTOR * peers.meanPerSecond())
                        && nowNanos - server.mPacedSinceNanos < MAX_PACE_NANOS;
    }

    private Server find(LiveServer server) {
        Server state = mServers.computeIfAbsent(server.id(), id -> new Server());
        state.mGroup = new Group(server.service(), server.stage());
        state.mRun = server.run();
        return state;
    }

    private Peers peers(Server server, long nowNanos) {
        int servers = 0;
        double perSecond = 0;
        double latencyNanos = 0;
        for (Server peer : mServers.values()) {
            boolean counts =
                    peer != server
                            && !peer.mPaced
                            && peer.mGroup.equals(server.mGroup)
                            && peer.hasAnsweredSince(MAX_PACE_NANOS, nowNanos);
            if (counts) {
                servers++;
                perSecond += peer.answersPerSecond(nowNanos);
                latencyNanos += peer.mLatencyNanos;
            }
        }
        int divisor = Math.max(1, servers);
        return new Peers(servers, perSecond / divisor, latencyNanos / divisor);
    }

    /** Returns whether the pace of a server is being found. */
    public synchronized boolean isPaced(ServerRun server) {
        Server state = mServers.get(server.id());
        return state != null && state.mPaced && state.mRun.equals(server);
    }

    @Override
    public synchronized ServerRate rate(ServerRun server, long nowNanos) {
        if (!isPaced(server)) {
            return ServerRate.UNLIMITED;
        }
        Server state = mServers.get(server.id());
        boolean ends =
                nowNanos - state.mPacedSinceNanos >= MAX_PACE_NANOS
                        || peers(state, nowNanos).servers() == 0;
        return ends
                ? ServerRate.UNLIMITED
                : new ServerRate(state.mPerSecond, FALL_INTERVAL_NANOS, false);
    }

    @Override
    public synchronized boolean isEmpty() {
        return mServers.values().stream().noneMatch(server -> server.mPaced);
    }

    /** Forgets the runs that have ended, and ends the paces that have lasted too long. */
    public synchronized void removeOld(Predicate<ServerRun> isRegistered, long nowNanos) {
        mServers.values().removeIf(server -> !isRegistered.test(server.mRun));
        mServers.values().stream()
                .filter(server -> nowNanos - server.mPacedSinceNanos >= MAX_PACE_NANOS)
                .forEach(server -> server.mPaced = false);
    }
}
