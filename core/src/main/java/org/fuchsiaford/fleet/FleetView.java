package org.fuchsiaford.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.host.HostId;

/**
 * The other entry hosts: those registered in the store and those heard.
 *
 * <p>Invariant: a host counts as reachable only while it was heard within {@link
 * #HEARTBEAT_TIMEOUT_NANOS}, and as present while it is registered or reachable. A host whose
 * address refuses connections has ended and is not present. Thread-safe.
 */
public final class FleetView {
    /** Three pulses: shorter than a caller's patience, longer than a slow turn. */
    public static final long HEARTBEAT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** Fewest hosts of the caller's own failure domain that are offered without any other. */
    private static final int MIN_LOCAL_HOSTS = 2;

    private final HostRecord mSelf;
    private final Map<HostId, Peer> mPeers = new HashMap<>();

    private static final class Peer {
        private final HostRecord mRecord;
        private HostHeartbeat mPulse;
        private long mHeardNanos;
        private boolean mRegistered;
        private boolean mEnded;

        Peer(HostRecord record) {
            mRecord = record;
        }

        boolean isFresh(long nowNanos) {
            return mPulse != null && !mEnded && nowNanos - mHeardNanos <= HEARTBEAT_TIMEOUT_NANOS;
        }

        boolean isPresent(long nowNanos) {
            return !mEnded && (mRegistered || isFresh(nowNanos));
        }
    }

    /** Creates a view of one host that knows no other. */
    public FleetView(HostRecord self) {
        mSelf = self;
    }

    /** Returns this host. */
    public HostRecord self() {
        return mSelf;
    }

    /** Notes that a host is registered in the store. */
    public synchronized void register(HostRecord record) {
        if (!record.id().equals(mSelf.id())) {
            peer(record).mRegistered = true;
        }
    }

    /** Notes that a host's registration has ended. */
    public synchronized void unregister(HostId id) {
        Optional.ofNullable(mPeers.get(id)).ifPresent(peer -> peer.mRegistered = false);
    }

    /** Notes what a host says of itself. Returns whether it was out of touch before. */
    public synchronized boolean recordHeartbeat(HostHeartbeat pulse, long nowNanos) {
        Peer peer = peer(pulse.host());
        boolean regained = !peer.isFresh(nowNanos);
        peer.mPulse = pulse;
        peer.mHeardNanos = nowNanos;
        peer.mEnded = false;
        return regained;
    }

    /** Notes what a known host has under way, between two pulses. */
    public synchronized void updateLoads(
            HostId id, List<ServerLoad> loads, List<QueuedWork> waiting, long nowNanos) {
        Peer peer = mPeers.get(id);
        if (peer != null && peer.isFresh(nowNanos)) {
            HostHeartbeat last = peer.mPulse;
            peer.mPulse =
                    new HostHeartbeat(
                            last.host(),
                            last.accepting(),
                            last.stateRevision(),
                            last.admitted(),
                            loads,
                            waiting);
        }
    }

    /** Notes that nobody listens at a host's address any more. Returns whether that is news. */
    public synchronized boolean markStopped(HostId id) {
        Peer peer = mPeers.get(id);
        boolean news = peer != null && !peer.mEnded;
        if (news) {
            peer.mEnded = true;
        }
        return news;
    }

    /** Returns whether a host was heard lately. */
    public synchronized boolean isFresh(HostId id, long nowNanos) {
        Peer peer = mPeers.get(id);
        return peer != null && peer.isFresh(nowNanos);
    }

    private Peer peer(HostRecord record) {
        mPeers.values()
                .removeIf(
                        peer ->
                                !peer.mRecord.id().equals(record.id())
                                        && peer.mRecord.peerAddress().equals(record.peerAddress()));
        return mPeers.computeIfAbsent(record.id(), id -> new Peer(record));
    }

    /** Drops hosts that are neither registered nor heard. Returns their ids. */
    public synchronized List<HostId> removeExpired(long nowNanos) {
        List<HostId> gone =
                mPeers.entrySet().stream()
                        .filter(e -> !e.getValue().mRegistered)
                        .filter(e -> !e.getValue().isFresh(nowNanos))
                        .map(Map.Entry::getKey)
                        .toList();
        gone.forEach(mPeers::remove);
        return gone;
    }

    /** Returns the known hosts apart from this one. */
    public synchronized List<HostRecord> others() {
        return mPeers.values().stream().map(peer -> peer.mRecord).toList();
    }

    /** Returns how many hosts are present, this one included. */
    public synchronized int presentCount(long nowNanos) {
        return 1 + (int) mPeers.values().stream().filter(p -> p.isPresent(nowNanos)).count();
    }

    /** Returns how many hosts hear each other as far as this one knows, itself included. */
    public synchronized int reachableCount(long nowNanos) {
        return 1 + (int) mPeers.values().stream().filter(p -> p.isFresh(nowNanos)).count();
    }

    /** Returns the newest pulses of the hosts in touch. */
    public synchronized List<HostHeartbeat> freshHeartbeats(long nowNanos) {
        return mPeers.values().stream()
                .filter(peer -> peer.isFresh(nowNanos))
                .map(peer -> peer.mPulse)
                .toList();
    }

    /**
     * Returns the addresses that a caller should use: those of its own failure domain where there
     * are enough, else all.
     *
     * @param accepting whether this host takes new callers
     */
    public synchronized List<String> callerAddresses(
            FailureDomainId domain, boolean accepting, long nowNanos) {
        List<HostRecord> ready = new ArrayList<>();
        if (accepting) {
            ready.add(mSelf);
        }
        freshHeartbeats(nowNanos).stream()
                .filter(HostHeartbeat::accepting)
                .map(HostHeartbeat::host)
                .forEach(ready::add);
        List<HostRecord> local =
                ready.stream().filter(host -> host.failureDomain().equals(domain)).toList();
        Stream<HostRecord> chosen =
                local.size() >= MIN_LOCAL_HOSTS ? local.stream() : ready.stream();
        return chosen.map(HostRecord::callerAddress).sorted(Comparator.naturalOrder()).toList();
    }
}
