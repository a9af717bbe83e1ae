package org.fuchsiaford.selection;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.request.RequestId;

/**
 * The requests of this host that hold engines granted by coordinators. Thread-safe.
 *
 * <p>Invariant: a request is contained from the arrival of the grant until its release.
 */
public final class HeldEngines {
    private final Map<HostId, Set<RequestId>> mRequests = new HashMap<>();

    /** Adds a request. */
    public synchronized void add(HostId coordinator, RequestId request) {
        mRequests.computeIfAbsent(coordinator, id -> new HashSet<>()).add(request);
    }

    /** Removes a request. Returns whether it was contained. */
    public synchronized boolean remove(HostId coordinator, RequestId request) {
        Set<RequestId> requests = mRequests.get(coordinator);
        boolean removed = requests != null && requests.remove(request);
        if (removed && requests.isEmpty()) {
            mRequests.remove(coordinator);
        }
        return removed;
    }

    /** Returns the requests that hold engines granted by a coordinator. */
    public synchronized List<RequestId> grantedBy(HostId coordinator) {
        return List.copyOf(mRequests.getOrDefault(coordinator, Set.of()));
    }
}
