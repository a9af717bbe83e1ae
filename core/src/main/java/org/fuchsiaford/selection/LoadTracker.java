package org.fuchsiaford.selection;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.fleet.ServerLoad;
import org.fuchsiaford.host.HostId;

/**
 * Tracks the load in progress on each backend server over all hosts.
 *
 * <p>The load of this host is exact. That of the others is the sum of their reports and of what
 * this host has granted them if it receives reports, otherwise it is taken from the summary of a
 * coordinator.
 *
 * <p>Invariant: every load that is added is removed later, possibly in parts, so no load is
 * negative. Thread-safe.
 */
public final class LoadTracker implements LoadSink {
    private final Map<BackendServerId, ServerLoad> mLocal = new HashMap<>();
    private final Map<HostId, Map<BackendServerId, ServerLoad>> mByGrantor = new HashMap<>();
    private final Map<BackendServerId, ServerLoad> mGranted = new HashMap<>();
    private final Map<HostId, List<ServerLoad>> mReports = new HashMap<>();
    private final Map<BackendServerId, ServerLoad> mReported = new HashMap<>();
    private Map<BackendServerId, ServerLoad> mRemote = Map.of();

    /** Adds the load of a request of this host. */
    @Override
    public synchronized void add(ServerLoad load) {
        add(mLocal, load);
    }

    /** Removes all or part of the load of a request of this host. */
    @Override
    public synchronized void remove(ServerLoad load) {
        remove(mLocal, load);
    }

    /** Returns where to count the load of this host's requests that a coordinator has granted. */
    public LoadSink grantedBy(HostId coordinator) {
        return new LoadSink() {
            @Override
            public void add(ServerLoad load) {
                synchronized (LoadTracker.this) {
                    LoadTracker.add(mLocal, load);
                    LoadTracker.add(
                            mByGrantor.computeIfAbsent(coordinator, id -> new HashMap<>()), load);
                }
            }

            @Override
            public void remove(ServerLoad load) {
                synchronized (LoadTracker.this) {
                    LoadTracker.remove(mLocal, load);
                    Map<BackendServerId, ServerLoad> granted = mByGrantor.get(coordinator);
                    LoadTracker.remove(granted, load);
                    if (granted.isEmpty()) {
                        mByGrantor.remove(coordinator);
                    }
                }
            }
        };
    }

    /** Returns where to count the load that this host has granted to requests of other hosts. */
    public LoadSink grantedToOthers() {
        return new LoadSink() {
            @Override
            public void add(ServerLoad load) {
                synchronized (LoadTracker.this) {
                    LoadTracker.add(mGranted, load);
                }
            }

            @Override
            public void remove(ServerLoad load) {
                synchronized (LoadTracker.this) {
                    LoadTracker.remove(mGranted, load);
                }
            }
        };
    }

    private static void add(Map<BackendServerId, ServerLoad> sums, ServerLoad load) {
        sums.merge(load.server(), load, ServerLoad::plus);
    }

    private static void remove(Map<BackendServerId, ServerLoad> sums, ServerLoad load) {
        ServerLoad remaining = sums.merge(load.server(), load.negated(), ServerLoad::plus);
        if (remaining.requests() <= 0 && remaining.tokens() <= 0) {
            sums.remove(load.server());
        }
    }

    /** Replaces the loads that another host has reported to this one. */
    public synchronized void replaceReport(HostId host, List<ServerLoad> loads) {
        removeReport(host);
        mReports.put(host, loads);
        loads.forEach(load -> add(mReported, load));
    }

    /** Drops the loads that another host has reported. */
    public synchronized void removeReport(HostId host) {
        List<ServerLoad> last = mReports.remove(host);
        if (last != null) {
            last.forEach(load -> remove(mReported, load));
        }
    }

    /** Replaces the loads of all other hosts, as known from a summary. */
    public synchronized void replaceRemoteLoads(Collection<ServerLoad> loads) {
        Map<BackendServerId, ServerLoad> remote = new HashMap<>();
        loads.forEach(load -> add(remote, load));
        mRemote = remote;
    }

    /**
     * Replaces the loads of all other hosts by those of all hosts less what this host had reported
     * when they were summed up.
     */
    public synchronized void replaceFleetLoads(
            List<ServerLoad> fleetLoads, List<ServerLoad> ownLoads) {
        replaceRemoteLoads(
                Stream.concat(fleetLoads.stream(), ownLoads.stream().map(ServerLoad::negated))
                        .toList());
    }

    /** Returns the loads of this host. */
    public synchronized List<ServerLoad> localLoads() {
        return List.copyOf(mLocal.values());
    }

    /** Returns the loads of this host without those that the given coordinator has granted. */
    public synchronized List<ServerLoad> localLoadsExcept(HostId coordinator) {
        Map<BackendServerId, ServerLoad> loads = new HashMap<>(mLocal);
        mByGrantor.getOrDefault(coordinator, Map.of()).values().forEach(l -> remove(loads, l));
        return List.copyOf(loads.values());
    }

    /** Returns the load of all hosts on each server. */
    public synchronized List<ServerLoad> totals() {
        return Stream.of(mLocal, others(), mGranted)
                .flatMap(loads -> loads.keySet().stream())
                .collect(Collectors.toSet())
                .stream()
                .map(this::total)
                .toList();
    }

    /** Returns the load of all hosts on a server. */
    public synchronized ServerLoad total(BackendServerId server) {
        ServerLoad none = new ServerLoad(server, 0, 0, 0);
        ServerLoad granted = mGranted.get(server);
        ServerLoad sum =
                mLocal.getOrDefault(server, none).plus(others().getOrDefault(server, none));
        return granted == null ? sum : sum.plus(granted);
    }

    private Map<BackendServerId, ServerLoad> others() {
        return mReports.isEmpty() ? mRemote : mReported;
    }

    /** Returns the hosts that report their loads to this one. */
    public synchronized Set<HostId> reportingHosts() {
        return Set.copyOf(mReports.keySet());
    }
}
