package org.fuchsiaford.selection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.registry.LiveServer;

/**
 * Decides for which plain services a host asks a coordinator for seats: those whose servers are
 * near full, by the loads that the host knows or because a server rejected a request.
 *
 * <p>Load pattern: calm for most of the time, in which a call for each request would only add
 * delay, and bursts in which the hosts together ask for more than the seats.
 *
 * <p>Thread-safe.
 */
public final class SeatDemand {
    /** Part of the seats in use from which a service is near full. */
    private static final double NEAR_FULL_FRACTION = 0.7;

    /** Time for which a service counts as near full; loads of other hosts are up to half as old. */
    private static final long HOLD_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final LoadTracker mLoads;
    private final Map<ServiceId, Long> mNearFullNanos = new HashMap<>();

    /** Creates the demand of a host for which no service is near full. */
    public SeatDemand(LoadTracker loads) {
        mLoads = loads;
    }

    /** Returns whether the servers of a service are near full, or were shortly before. */
    public synchronized boolean isNearFull(
            ServiceId service, List<LiveServer> servers, long nowNanos) {
        long seats = servers.stream().mapToLong(LiveServer::maxConcurrentRequests).sum();
        long used = servers.stream().mapToLong(s -> mLoads.total(s.id()).requests()).sum();
        if (seats > 0 && used >= seats * NEAR_FULL_FRACTION) {
            mNearFullNanos.put(service, nowNanos);
        }
        Long last = mNearFullNanos.get(service);
        return last != null && nowNanos - last <= HOLD_NANOS;
    }

    /** Records that a server of a service rejected a request, or that one waits for a seat. */
    public synchronized void recordFull(ServiceId service, long nowNanos) {
        mNearFullNanos.put(service, nowNanos);
    }
}
