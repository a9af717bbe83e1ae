package org.fuchsiaford.entry.gateway.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.fleet.CoordinatorTracker;
import org.fuchsiaford.fleet.HostRecord;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.peer.PeerAddress;
import org.fuchsiaford.peer.PeerClient;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.selection.EngineEvent;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Mono;

/**
 * Calls the coordinators of the fleet on behalf of this host.
 *
 * <p>Invariant: a call without a response in time is recorded before the caller learns of it, so
 * that the caller's next choice is another coordinator or none. Thread-safe.
 */
public final class CoordinatorCalls {
    /** Delay that combines several events into one message. */
    private static final Duration REPORT_DELAY = Duration.ofMillis(10);

    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(600);

    private final HostRecord mSelf;
    private final CoordinatorTracker mTracker;
    private final PeerClient mPeerClient;
    private final DecisionLog mLog;
    private final Ticker mTicker;
    private final Map<HostId, List<EngineEvent>> mUnsentEvents = new HashMap<>();

    /** Creates the calls of one host. */
    public CoordinatorCalls(
            HostRecord self,
            CoordinatorTracker tracker,
            PeerClient peerClient,
            DecisionLog log,
            Ticker ticker) {
        mSelf = self;
        mTracker = tracker;
        mPeerClient = peerClient;
        mLog = log;
        mTicker = ticker;
    }

    /** Returns this host. */
    public HostRecord self() {
        return mSelf;
    }

    /** Returns whether this host is the coordinator that it asks itself. */
    public boolean isCoordinator() {
        return mTracker.isPrimary(mTicker.nowNanos());
    }

    /** Returns whether this host is one of those that others may ask. */
    public boolean isAmongCoordinators() {
        return mTracker.coordinators().stream().anyMatch(host -> host.id().equals(mSelf.id()));
    }

    /** Returns the coordinator to ask, or empty if this host decides by itself. */
    public Optional<HostRecord> remoteCoordinator() {
        return mTracker.primary(mTicker.nowNanos())
                .filter(coordinator -> !coordinator.id().equals(mSelf.id()));
    }

    /** Calls a coordinator; a call that fails counts against the coordinator. */
    public <T extends PeerMessage> Mono<T> call(
            HostRecord coordinator, PeerMessage request, Class<T> type, Duration timeout) {
        return mPeerClient
                .call(PeerAddress.parse(coordinator.peerAddress()), request, type, timeout)
                .timeout(timeout)
                .doOnError(e -> recordFailure(coordinator, e));
    }

    /**
     * Asks the coordinators in turn until one responds in time, or this host if none does.
     *
     * @param here decides as a coordinator would; must not block
     */
    public <T extends PeerMessage> Mono<T> ask(
            PeerMessage request, Class<T> type, Duration timeout, Supplier<T> here) {
        return Mono.defer(
                () -> {
                    Optional<HostRecord> coordinator = remoteCoordinator();
                    return coordinator.isEmpty()
                            ? Mono.fromSupplier(here)
                            : call(coordinator.get(), request, type, timeout)
                                    .onErrorResume(e -> ask(request, type, timeout, here));
                });
    }

    /** Records that a coordinator has not responded in time. */
    void recordFailure(HostRecord coordinator, Throwable cause) {
        if (mTracker.recordFailure(coordinator.id(), mTicker.nowNanos())) {
            mLog.write(
                    new Decision.PeerSeen(
                            coordinator.id().value(),
                            coordinator.peerAddress(),
                            "no response: " + cause.getMessage()));
        }
    }

    /** Reports an event to the coordinator that granted the engines. Never blocks. */
    public void report(HostRecord coordinator, EngineEvent event) {
        boolean first;
        synchronized (mUnsentEvents) {
            List<EngineEvent> events =
                    mUnsentEvents.computeIfAbsent(coordinator.id(), id -> new ArrayList<>());
            first = events.isEmpty();
            events.add(event);
        }
        if (first) {
            Mono.delay(REPORT_DELAY).subscribe(tick -> sendEvents(coordinator));
        }
    }

    private void sendEvents(HostRecord coordinator) {
        List<EngineEvent> events;
        synchronized (mUnsentEvents) {
            events = mUnsentEvents.remove(coordinator.id());
        }
        // The coordinator learns the outcome of lost events from the next heartbeat.
        call(
                        coordinator,
                        new PeerMessage.ReportEngineEvents(mSelf.id(), events),
                        PeerMessage.Success.class,
                        REPORT_TIMEOUT)
                .onErrorComplete()
                .subscribe();
    }
}
