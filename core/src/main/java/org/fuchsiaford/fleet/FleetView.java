package org.fuchsiaford.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.bundle.RegionId;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.registry.RegionMap;

/**
 * The other entry hosts, as known from registrations in the store, from the heartbeats that this
 * host receives as a coordinator, and from the summaries of coordinators.
 *
 * <p>Invariant: a host is reachable only while its latest heartbeat is no older than {@link
 * #HEARTBEAT_TIMEOUT_NANOS}, and present while it is registered or reachable. A host whose address
 * refuses connections has stopped and is neither. A host is named to callers only if what says that
 * it accepts them is no older than {@link #HEARTBEAT_TIMEOUT_NANOS}, also if this process has been
 * suspended in between. Thread-safe.
 */
public final class FleetView {
    /** Three heartbeat intervals: longer than a slow exchange, shorter than callers' timeouts. */
    public static final long HEARTBEAT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /**
     * Time after a suspension of this process in which heartbeats are read that were sent before or
     * during it; two heartbeat intervals.
     */
    private static final long BACKLOG_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /** With at least this many hosts in a caller's own failure domain, it gets only those. */
    private static final int MIN_LOCAL_HOSTS = 2;

    private final HostRecord mSelf;
    private final Map<HostId, Peer> mPeers = new HashMap<>();
    private Set<HostId> mAvailable = Set.of();
    private long mSummaryNanos;
    private boolean mHasSummary;
    private OptionalLong mObservedNanos = OptionalLong.empty();
    private OptionalLong mBacklogUntilNanos = OptionalLong.empty();

    private static final class Peer {
        private final HostRecord mRecord;
        private HostHeartbeat mHeartbeat;
        private long mReceivedNanos;
        private long mContactNanos;
        private boolean mContacted;
        private boolean mRegistered;
        private boolean mStopped;
        private boolean mAsksThisHost;

        Peer(HostRecord record) {
            mRecord = record;
        }

        boolean isReachable(long nowNanos) {
            return mHeartbeat != null
                    && !mStopped
                    && nowNanos - mReceivedNanos <= HEARTBEAT_TIMEOUT_NANOS;
        }

        /** A coordinator that responds is kept although its registration has lapsed. */
        boolean isExpired(long nowNanos) {
            boolean responds =
                    mContacted && !mStopped && nowNanos - mContactNanos <= HEARTBEAT_TIMEOUT_NANOS;
            return !mRegistered && !responds && !isReachable(nowNanos);
        }

        boolean isPresent(long nowNanos) {
            return !mStopped && (mRegistered || isReachable(nowNanos));
        }
    }

    /** Creates the view of a host that knows no other host yet. */
    public FleetView(HostRecord self) {
        mSelf = self;
    }

    /** Returns this host. */
    public HostRecord self() {
        return mSelf;
    }

    /** Records that a host is registered in the store. */
    public synchronized void register(HostRecord record) {
        if (!record.id().equals(mSelf.id())) {
            findOrAddPeer(record).mRegistered = true;
        }
    }

    /** Records that the registration of a host has ended. */
    public synchronized void unregister(HostId id) {
        Optional.ofNullable(mPeers.get(id)).ifPresent(peer -> peer.mRegistered = false);
    }

    /** Records a heartbeat. Returns whether the host was unreachable before. */
    public synchronized boolean recordHeartbeat(HostHeartbeat heartbeat, long nowNanos) {
        observe(nowNanos);
        Peer peer = findOrAddPeer(heartbeat.host());
        boolean wasUnreachable = !peer.isReachable(nowNanos);
        peer.mHeartbeat = heartbeat;
        peer.mReceivedNanos = nowNanos;
        peer.mStopped = false;
        return wasUnreachable;
    }

    /** Called several times a second; a longer gap means that this process was suspended. */
    private void observe(long nowNanos) {
        if (mObservedNanos.isPresent()
                && nowNanos - mObservedNanos.getAsLong() > HEARTBEAT_TIMEOUT_NANOS) {
            mBacklogUntilNanos = OptionalLong.of(nowNanos + BACKLOG_NANOS);
        }
        mObservedNanos = OptionalLong.of(nowNanos);
    }

    /** Returns whether the latest heartbeat of a host may have waited for this process. */
    private boolean isBacklog(Peer peer) {
        return mBacklogUntilNanos.isPresent()
                && peer.mReceivedNanos - mBacklogUntilNanos.getAsLong() < 0;
    }

    /** Records whether a host that has sent a heartbeat asks this one as its coordinator. */
    public synchronized void recordAsking(HostId id, boolean asksThisHost) {
        Optional.ofNullable(mPeers.get(id)).ifPresent(peer -> peer.mAsksThisHost = asksThisHost);
    }

    /** Records that a host has responded to this one. */
    public synchronized void recordContact(HostRecord host, long nowNanos) {
        Peer peer = findOrAddPeer(host);
        peer.mContactNanos = nowNanos;
        peer.mContacted = true;
        peer.mStopped = false;
    }

    /**
     * Records which hosts accept callers according to a coordinator.
     *
     * @param askedNanos when the coordinator was asked; its response may have waited to be read
     */
    public synchronized void recordSummary(FleetSummary summary, long askedNanos) {
        mAvailable = Set.copyOf(summary.available());
        mSummaryNanos = askedNanos;
        mHasSummary = true;
    }

    /** Returns the hosts that accept new callers, as far as this host hears from them. */
    public synchronized List<HostId> availableHosts(boolean accepting, long nowNanos) {
        Stream<HostId> others =
                mPeers.values().stream()
                        .filter(peer -> peer.isReachable(nowNanos) && !isBacklog(peer))
                        .filter(peer -> peer.mHeartbeat.accepting())
                        .map(peer -> peer.mRecord.id());
        return Stream.concat(accepting ? Stream.of(mSelf.id()) : Stream.of(), others).toList();
    }

    /**
     * Returns whether a host accepts new callers: by its own heartbeat if this host receives any,
     * otherwise by the latest summary.
     */
    private boolean isAvailable(Peer peer, long nowNanos) {
        if (peer.isReachable(nowNanos) && !isBacklog(peer)) {
            return peer.mHeartbeat.accepting();
        }
        return mHasSummary
                && !peer.mStopped
                && nowNanos - mSummaryNanos <= HEARTBEAT_TIMEOUT_NANOS
                && mAvailable.contains(peer.mRecord.id());
    }

    /** Records that a host's address refuses connections. Returns whether this is a change. */
    public synchronized boolean markStopped(HostId id) {
        Peer peer = mPeers.get(id);
        boolean changed = peer != null && !peer.mStopped;
        if (changed) {
            peer.mStopped = true;
        }
        return changed;
    }

    /** Returns whether a heartbeat of a host was received within the timeout. */
    public synchronized boolean isReachable(HostId id, long nowNanos) {
        Peer peer = mPeers.get(id);
        return peer != null && peer.isReachable(nowNanos);
    }

    /**
     * Returns the entry of a host; removes others with its peer address, which it has taken over.
     */
    private Peer findOrAddPeer(HostRecord record) {
        mPeers.values()
                .removeIf(
                        peer ->
                                !peer.mRecord.id().equals(record.id())
                                        && peer.mRecord.peerAddress().equals(record.peerAddress()));
        return mPeers.computeIfAbsent(record.id(), id -> new Peer(record));
    }

    /**
     * Removes hosts that are neither registered nor reachable and do not respond to this host.
     * Returns their IDs.
     */
    public synchronized List<HostId> removeExpired(long nowNanos) {
        observe(nowNanos);
        List<HostId> expired =
                mPeers.entrySet().stream()
                        .filter(e -> e.getValue().isExpired(nowNanos))
                        .map(Map.Entry::getKey)
                        .toList();
        expired.forEach(mPeers::remove);
        return expired;
    }

    /** Returns the known hosts except this one. */
    public synchronized List<HostRecord> others() {
        return mPeers.values().stream().map(peer -> peer.mRecord).toList();
    }

    /** Returns the number of hosts present, this one included. */
    public synchronized int presentCount(long nowNanos) {
        return 1 + (int) mPeers.values().stream().filter(p -> p.isPresent(nowNanos)).count();
    }

    /** Returns the number of reachable hosts, this one included. */
    public synchronized int reachableCount(long nowNanos) {
        return 1 + (int) mPeers.values().stream().filter(p -> p.isReachable(nowNanos)).count();
    }

    /**
     * Returns the part of the hosts present that this host decides for, from 0 to 1: those that ask
     * it as their coordinator, and itself if it asks no other. The parts of all hosts add up to at
     * most one once all have heard from each other.
     */
    public synchronized double decidingShare(boolean decidesForItself, long nowNanos) {
        long asking =
                mPeers.values().stream()
                        .filter(peer -> peer.mAsksThisHost && peer.isReachable(nowNanos))
                        .count();
        return (double) (asking + (decidesForItself ? 1 : 0)) / presentCount(nowNanos);
    }

    /** Returns the latest heartbeats of the reachable hosts. */
    public synchronized List<HostHeartbeat> latestHeartbeats(long nowNanos) {
        return mPeers.values().stream()
                .filter(peer -> peer.isReachable(nowNanos))
                .map(peer -> peer.mHeartbeat)
                .toList();
    }

    /**
     * Returns the addresses that a caller should use: those in its own failure domain if there are
     * enough of them, otherwise those in its region, in its failure domain first, and all only if
     * there is none.
     *
     * @param region the region of the caller; if empty, that of its failure domain counts
     * @param accepting whether this host accepts new callers
     */
    public synchronized List<String> callerAddresses(
            FailureDomainId domain,
            Optional<RegionId> region,
            RegionMap regions,
            boolean accepting,
            long nowNanos) {
        Optional<RegionId> domainRegion = regions.regionOf(domain);
        Optional<RegionId> callerRegion = region.or(() -> domainRegion);
        List<HostRecord> ready =
                Stream.concat(
                                accepting ? Stream.of(mSelf) : Stream.of(),
                                mPeers.values().stream()
                                        .filter(peer -> isAvailable(peer, nowNanos))
                                        .map(peer -> peer.mRecord))
                        .toList();
        boolean isDomainOfRegion = domainRegion.isEmpty() || domainRegion.equals(callerRegion);
        Predicate<HostRecord> isLocal =
                host -> isDomainOfRegion && host.failureDomain().equals(domain);
        List<HostRecord> local = ready.stream().filter(isLocal).toList();
        List<HostRecord> regional =
                ready.stream()
                        .filter(host -> callerRegion.isPresent())
                        .filter(h -> regions.regionOf(h.failureDomain()).equals(callerRegion))
                        .toList();
        List<HostRecord> chosen =
                local.size() >= MIN_LOCAL_HOSTS ? local : regional.isEmpty() ? ready : regional;
        return chosen.stream()
                .sorted(
                        Comparator.comparing((HostRecord host) -> !isLocal.test(host))
                                .thenComparing(HostRecord::callerAddress))
                .map(HostRecord::callerAddress)
                .toList();
    }
}
