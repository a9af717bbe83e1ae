package org.fuchsiaford.registry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;

/**
 * The registered backend servers, as reported by the store.
 *
 * <p>Invariant: an entry never reverts to an older revision. Servers that are not draining and are
 * missing after a store outage are retained for {@link #RETENTION_NANOS}, since servers whose
 * leases expired during the outage register again within that time. A server whose entry is seen to
 * be removed in this time may as well be leaving, so it is retained for {@link
 * #REMOVED_RETENTION_NANOS} only. Otherwise servers are dropped immediately. A run of a server that
 * has said it is leaving is not used again, whatever its entry says. A run whose entry had been
 * removed and that a restored store lists again is not used until the entry changes, or for {@link
 * #SUSPENSION_NANOS}. Servers in an evacuated failure domain are not used. Thread-safe.
 */
public final class ServerRegistry {
    /** Servers register again within 2 s after an outage; the remainder is reaction time. */
    public static final long RETENTION_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);

    /**
     * A server that has ended does not renew its entry, which the store removes within this time.
     */
    public static final long SUSPENSION_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Shorter than the time in which a server that leaves still expects requests, at least 2 s. */
    public static final long REMOVED_RETENTION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_800);

    private final EvacuatedDomains mEvacuated;
    private final RegionMap mRegions;
    private final Map<BackendServerId, Entry> mEntries = new HashMap<>();
    private final Map<BackendServerId, Long> mSuspendedUntilNanos = new HashMap<>();
    private final Map<BackendServerId, Long> mLeavingRuns = new HashMap<>();
    private long mRetainUntilNanos;
    private boolean mRetaining;

    /**
     * State of an entry.
     *
     * @param server the server, or null if it was removed and is not retained
     * @param removed whether the entry was removed from the store
     * @param retainedUntilNanos until when a removed server remains usable
     */
    private record Entry(
            LiveServer server, long revision, boolean removed, long retainedUntilNanos) {
        boolean isUsable(long nowNanos) {
            return server != null && (!removed || nowNanos - retainedUntilNanos < 0);
        }
    }

    /** Creates an empty registry without known regions; no one is told of evacuations. */
    public ServerRegistry() {
        this(new EvacuatedDomains(domain -> {}), RegionMap.NONE);
    }

    /** Creates an empty registry. */
    public ServerRegistry(EvacuatedDomains evacuated, RegionMap regions) {
        mEvacuated = evacuated;
        mRegions = regions;
    }

    /** Returns the regions of the failure domains. */
    public RegionMap regions() {
        return mRegions;
    }

    /** Returns the evacuated failure domains. */
    public EvacuatedDomains evacuated() {
        return mEvacuated;
    }

    /** Records an entry of the store. Returns false if its known revision is the same or newer. */
    public synchronized boolean put(LiveServer server, long revision) {
        Entry last = mEntries.get(server.id());
        if (last != null && last.revision() >= revision) {
            return false;
        }
        mEntries.put(server.id(), new Entry(server, revision, false, 0));
        mSuspendedUntilNanos.remove(server.id());
        mLeavingRuns.computeIfPresent(
                server.id(), (id, run) -> run == server.startedMillis() ? run : null);
        return true;
    }

    /**
     * Records that a run of a server is about to end.
     *
     * @return whether this is news about a server that would have been used
     */
    public synchronized boolean markLeaving(ServerRun leaving) {
        Entry entry = mEntries.get(leaving.id());
        if (entry == null
                || entry.server() == null
                || entry.server().startedMillis() != leaving.startedMillis()) {
            return false;
        }
        Long last = mLeavingRuns.put(leaving.id(), leaving.startedMillis());
        return last == null && !entry.server().draining();
    }

    /** Suspends a run of a server until its entry changes, or for {@link #SUSPENSION_NANOS}. */
    public synchronized void suspend(ServerRun run, long nowNanos) {
        mSuspendedUntilNanos.put(run.id(), nowNanos + SUSPENSION_NANOS);
    }

    private boolean isSuspended(LiveServer server, long nowNanos) {
        Long untilNanos = mSuspendedUntilNanos.get(server.id());
        return untilNanos != null && nowNanos - untilNanos < 0;
    }

    /** Returns the registered servers that have said they are leaving, to tell other hosts. */
    public synchronized List<ServerRun> leaving() {
        return mLeavingRuns.entrySet().stream()
                .filter(run -> !mEntries.get(run.getKey()).removed())
                .map(run -> new ServerRun(run.getKey(), run.getValue()))
                .toList();
    }

    private boolean isLeaving(LiveServer server) {
        return server.draining() || mLeavingRuns.containsKey(server.id());
    }

    /**
     * Records the removal of an entry. Returns false if the entry is unknown or its known revision
     * is the same or newer.
     */
    public synchronized boolean remove(BackendServerId id, long revision, long nowNanos) {
        long retainUntilNanos = nowNanos + REMOVED_RETENTION_NANOS;
        return remove(
                id,
                revision,
                nowNanos,
                mRetainUntilNanos - retainUntilNanos < 0 ? mRetainUntilNanos : retainUntilNanos);
    }

    /**
     * Records that an entry is missing, maybe since it expired during an outage. Returns false if
     * the entry is unknown or its known revision is the same or newer.
     */
    public synchronized boolean removeMissing(BackendServerId id, long revision, long nowNanos) {
        return remove(id, revision, nowNanos, mRetainUntilNanos);
    }

    private boolean remove(
            BackendServerId id, long revision, long nowNanos, long retainUntilNanos) {
        Entry last = mEntries.get(id);
        if (last == null || last.revision() >= revision) {
            return false;
        }
        boolean retained = mRetaining && nowNanos - mRetainUntilNanos < 0 && last.server() != null;
        LiveServer kept = retained && !last.server().draining() ? last.server() : null;
        mEntries.put(id, new Entry(kept, revision, true, retainUntilNanos));
        return true;
    }

    /** Retains servers whose entries are missing, until {@link #RETENTION_NANOS} from now. */
    public synchronized void retainRemoved(long nowNanos) {
        mRetaining = true;
        mRetainUntilNanos = nowNanos + RETENTION_NANOS;
    }

    /** Returns the servers of a service that accept new requests. */
    public synchronized List<LiveServer> usable(ServiceId service, long nowNanos) {
        return mEntries.values().stream()
                .filter(entry -> entry.isUsable(nowNanos))
                .map(Entry::server)
                .filter(server -> server.service().equals(service) && !isLeaving(server))
                .filter(server -> !isSuspended(server, nowNanos))
                .filter(server -> !mEvacuated.contains(server.failureDomain()))
                .toList();
    }

    /** Returns the servers of a service that accept new requests bound to regions. */
    public List<LiveServer> usable(ServiceId service, AllowedRegions allowed, long nowNanos) {
        return mRegions.admitted(usable(service, nowNanos), allowed);
    }

    /** Returns the registered servers, whether or not they accept requests. */
    public synchronized List<LiveServer> registered() {
        return mEntries.values().stream()
                .filter(entry -> !entry.removed())
                .map(Entry::server)
                .toList();
    }

    /** Returns the registered servers of a service, whether or not they accept requests. */
    public List<LiveServer> registered(ServiceId service) {
        return registered().stream().filter(server -> server.service().equals(service)).toList();
    }

    /** Returns the server with the given ID that is registered or retained. */
    public synchronized Optional<LiveServer> find(BackendServerId id) {
        return Optional.ofNullable(mEntries.get(id)).map(Entry::server);
    }

    /** Returns whether a run of a server is registered, whether or not it accepts requests. */
    public synchronized boolean isRegistered(ServerRun run) {
        Entry entry = mEntries.get(run.id());
        return entry != null && entry.server() != null && entry.server().run().equals(run);
    }

    /** Returns whether another run of the server has registered. */
    public synchronized boolean isReplaced(ServerRun run) {
        Entry entry = mEntries.get(run.id());
        return entry != null && entry.server() != null && !entry.server().run().equals(run);
    }

    /** Returns whether this run of a server still accepts new requests. */
    public synchronized boolean isUsable(LiveServer server, long nowNanos) {
        return Optional.ofNullable(mEntries.get(server.id()))
                .filter(entry -> entry.isUsable(nowNanos))
                .map(Entry::server)
                .filter(now -> now.startedMillis() == server.startedMillis() && !isLeaving(now))
                .filter(now -> !isSuspended(now, nowNanos))
                .filter(now -> !mEvacuated.contains(now.failureDomain()))
                .isPresent();
    }
}
