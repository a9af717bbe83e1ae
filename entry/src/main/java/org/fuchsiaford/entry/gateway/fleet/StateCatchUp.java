package org.fuchsiaford.entry.gateway.fleet;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.state.GatewayState;
import org.fuchsiaford.fleet.HostRecord;
import org.fuchsiaford.peer.PeerAddress;
import org.fuchsiaford.peer.PeerClient;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.store.StoreEntry;
import org.fuchsiaford.store.StoreKey;
import org.fuchsiaford.store.StoreRevision;

/**
 * Compares the state of this host with that of others, and copies theirs if this host stays behind,
 * as one that the store refuses does.
 *
 * <p>Invariant: at most one copy is in progress. Thread-safe.
 */
final class StateCatchUp {
    private static final Duration COPY_TIMEOUT = Duration.ofMillis(1_000);

    /**
     * Time for which another host must have a later store revision before its entries are copied; a
     * working watch of the store catches up within milliseconds.
     */
    private static final long MAX_BEHIND_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    private final GatewayState mState;
    private final PeerClient mPeerClient;
    private final DecisionLog mLog;
    private final AtomicBoolean mCopyInProgress = new AtomicBoolean();
    private long mBehindSinceNanos;
    private long mBehindRevision;
    private boolean mIsBehind;

    StateCatchUp(GatewayState state, PeerClient peerClient, DecisionLog log) {
        mState = state;
        mPeerClient = peerClient;
        mLog = log;
    }

    /** Returns whether a coordinator or reporting host is known to have a later state. */
    synchronized boolean isBehind() {
        return mIsBehind;
    }

    /**
     * Copies the entries of a host that has had a later revision for a while.
     *
     * @param revision the revision that it has reported
     */
    void catchUp(HostRecord peer, StoreRevision revision, long nowNanos) {
        if (isBehind(revision.ordered(), nowNanos) && mCopyInProgress.compareAndSet(false, true)) {
            copyFrom(peer);
        }
    }

    private synchronized boolean isBehind(long revision, long nowNanos) {
        // Another host that is behind as well must not restart the time.
        mIsBehind &= mState.revision() < mBehindRevision;
        if (revision <= mState.revision()) {
            return false;
        }
        if (!mIsBehind) {
            mIsBehind = true;
            mBehindRevision = revision;
            mBehindSinceNanos = nowNanos;
        }
        return mState.table().isEmpty() || nowNanos - mBehindSinceNanos >= MAX_BEHIND_NANOS;
    }

    private void copyFrom(HostRecord peer) {
        long fromRevision = mState.revision();
        mPeerClient
                .call(
                        PeerAddress.parse(peer.peerAddress()),
                        new PeerMessage.FetchStoreEntries(),
                        PeerMessage.StoreEntriesResponse.class,
                        COPY_TIMEOUT)
                .doOnNext(copy -> applyCopy(peer, fromRevision, copy))
                .doFinally(signal -> mCopyInProgress.set(false))
                .subscribe(copy -> {}, e -> logCopyFailure(peer, e));
    }

    private void applyCopy(
            HostRecord peer, long fromRevision, PeerMessage.StoreEntriesResponse copy) {
        long revision = new StoreRevision(copy.era(), copy.revision()).ordered();
        mState.applySnapshot(revision, toStoreEntries(copy));
        mLog.write(new Decision.StateCopied(peer.id().value(), fromRevision, revision));
    }

    private void logCopyFailure(HostRecord peer, Throwable cause) {
        mLog.write(
                new Decision.PeerSeen(
                        peer.id().value(),
                        peer.peerAddress(),
                        "copy failed: " + cause.getMessage()));
    }

    private static List<StoreEntry> toStoreEntries(PeerMessage.StoreEntriesResponse copy) {
        return copy.entries().stream()
                .map(
                        e ->
                                new StoreEntry(
                                        new StoreKey(e.key()),
                                        e.value(),
                                        new StoreRevision(e.era(), e.revision()).ordered()))
                .toList();
    }

    /** Returns the store entries known to this host, for a host with an earlier revision. */
    PeerMessage.StoreEntriesResponse storeEntries() {
        StoreRevision revision = StoreRevision.ofOrdered(mState.revision());
        return new PeerMessage.StoreEntriesResponse(
                revision.number(),
                mState.entries().stream().map(StateCatchUp::toCopy).toList(),
                revision.era());
    }

    private static PeerMessage.StoreEntryCopy toCopy(StoreEntry entry) {
        StoreRevision revision = StoreRevision.ofOrdered(entry.revision());
        return new PeerMessage.StoreEntryCopy(
                entry.key().value(), entry.value(), revision.number(), revision.era());
    }
}
