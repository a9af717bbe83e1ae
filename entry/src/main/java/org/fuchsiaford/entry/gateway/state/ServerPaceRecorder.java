package org.fuchsiaford.entry.gateway.state;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.fleet.ServerOutcomes;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.ServerRegistry;
import org.fuchsiaford.registry.ServerRun;
import org.fuchsiaford.serverlimit.ServerPace;
import org.fuchsiaford.time.Ticker;

/**
 * Records what the pace of servers follows from, if the settings ask for it, and logs when a pace
 * begins and ends.
 *
 * <p>Only a coordinator learns the outcomes of all hosts. The others know which servers may have a
 * pace, and ask it for a permit. Thread-safe.
 */
public final class ServerPaceRecorder {
    private static final String STARTED = "started";
    private static final String ENDED = "ended";

    /** Time after its start, or after it was not reached, in which a server may have a pace. */
    private static final long MAY_BE_PACED_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final ServerPace mPace = new ServerPace();
    private final Map<ServerRun, Long> mMayBePacedUntilNanos = new HashMap<>();
    private final ServerRegistry mRegistry;
    private final DecisionLog mLog;
    private final Ticker mTicker;
    private volatile Consumer<ServiceId> mOnPaced = service -> {};
    private volatile boolean mEnabled;

    ServerPaceRecorder(ServerRegistry registry, DecisionLog log, Ticker ticker) {
        mRegistry = registry;
        mLog = log;
        mTicker = ticker;
    }

    /**
     * Switches the pace on.
     *
     * @param onPaced called with the service of each server whose pace begins; must not block
     */
    public void enable(Consumer<ServiceId> onPaced) {
        mOnPaced = onPaced;
        mEnabled = true;
    }

    /** Returns whether the pace of servers is found. */
    public boolean isEnabled() {
        return mEnabled;
    }

    /** Returns the paces. */
    public ServerPace pace() {
        return mPace;
    }

    /** Returns whether a coordinator may have a pace for a server. */
    public synchronized boolean mayBePaced(ServerRun server) {
        Long untilNanos = mMayBePacedUntilNanos.get(server);
        return mEnabled && untilNanos != null && mTicker.nowNanos() - untilNanos < 0;
    }

    private synchronized void markMayBePaced(ServerRun server) {
        mMayBePacedUntilNanos.put(server, mTicker.nowNanos() + MAY_BE_PACED_NANOS);
    }

    /** Records a new run of a server. */
    void recordStart(LiveServer server) {
        if (mEnabled) {
            markMayBePaced(server.run());
            update(server, () -> mPace.recordStart(server, mTicker.nowNanos()));
        }
    }

    /** Records a failed call of any host. */
    public void recordFailure(BackendServerId id, AttemptOutcome outcome) {
        if (mEnabled) {
            mRegistry.find(id).ifPresent(server -> recordFailure(server, outcome));
        }
    }

    private void recordFailure(LiveServer server, AttemptOutcome outcome) {
        long nowNanos = mTicker.nowNanos();
        if (outcome == AttemptOutcome.NOT_SENT) {
            markMayBePaced(server.run());
            update(server, () -> mPace.recordUnreachable(server, nowNanos));
        }
        mPace.recordFailure(server, nowNanos);
    }

    /** Records what a host reports of the calls of servers. */
    public void recordOutcomes(List<ServerOutcomes> outcomes) {
        if (mEnabled) {
            outcomes.forEach(
                    outcome ->
                            mRegistry
                                    .find(outcome.server())
                                    .ifPresent(server -> recordOutcomes(server, outcome)));
        }
    }

    private void recordOutcomes(LiveServer server, ServerOutcomes outcome) {
        long nowNanos = mTicker.nowNanos();
        if (outcome.failures() > 0) {
            mPace.recordFailure(server, nowNanos);
        }
        long answers = outcome.calls() - outcome.failures();
        if (answers > 0) {
            long meanNanos = TimeUnit.MICROSECONDS.toNanos(outcome.meanAnswerMicros());
            update(server, () -> mPace.recordAnswers(server, answers, meanNanos, nowNanos));
        }
    }

    private void update(LiveServer server, Runnable change) {
        boolean wasPaced = mPace.isPaced(server.run());
        change.run();
        boolean isPaced = mPace.isPaced(server.run());
        if (wasPaced != isPaced) {
            mLog.write(
                    new Decision.ServerPaced(
                            server.id().value(),
                            server.service().value(),
                            isPaced ? STARTED : ENDED));
        }
        if (isPaced && !wasPaced) {
            mOnPaced.accept(server.service());
        }
    }

    /** Forgets the runs that have ended. */
    public synchronized void removeOld(Predicate<ServerRun> isRegistered) {
        mPace.removeOld(isRegistered, mTicker.nowNanos());
        mMayBePacedUntilNanos.keySet().removeIf(isRegistered.negate());
    }
}
