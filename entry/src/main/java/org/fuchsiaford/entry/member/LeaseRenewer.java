package org.fuchsiaford.entry.member;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.fuchsiaford.bundle.BundleHead;
import org.fuchsiaford.host.LeaseSubject;
import org.fuchsiaford.host.LeaseTiming;
import org.fuchsiaford.host.PromiseRequest;
import org.fuchsiaford.host.ServingLease;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.host.SlotRecord;
import org.fuchsiaford.peer.PeerAddress;
import org.fuchsiaford.peer.PeerClient;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.store.RecordStore;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.store.StoreException;
import org.fuchsiaford.store.StoreKey;
import org.fuchsiaford.store.StoreKeys;
import org.fuchsiaford.store.StoreSnapshot;
import org.fuchsiaford.time.Ticker;
import org.jboss.logging.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Renews this host's serving leases from their grantors, and from the store if too little time
 * remains on a lease after that.
 *
 * <p>Thread-safe.
 */
public final class LeaseRenewer {
    private static final Logger LOG = Logger.getLogger(LeaseRenewer.class);
    private static final Duration PROMISE_CALL_TIMEOUT = Duration.ofMillis(400);

    private final Membership mMembership;
    private final SlotDirectory mDirectory;
    private final HeadFollower mFollower;
    private final PeerClient mPeers;
    private final Store mStore;
    private final Ticker mTicker;

    /** Creates a renewer. */
    public LeaseRenewer(
            Membership membership,
            SlotDirectory directory,
            HeadFollower follower,
            PeerClient peers,
            Store store,
            Ticker ticker) {
        mMembership = membership;
        mDirectory = directory;
        mFollower = follower;
        mPeers = peers;
        mStore = store;
        mTicker = ticker;
    }

    /**
     * Renews all leases once: first from their grantors, then from the store those that still have
     * less than {@link LeaseTiming#STORE_RENEWAL_THRESHOLD_NANOS} left.
     */
    public Mono<Void> renew() {
        return Flux.fromIterable(mMembership.views())
                .flatMap(view -> requestPromises(view.lease()))
                .then(Mono.defer(this::renewByStore));
    }

    private Mono<Void> requestPromises(ServingLease lease) {
        return Flux.fromIterable(lease.grantors().members())
                .flatMap(grantor -> requestPromise(lease, grantor))
                .then();
    }

    private Mono<Void> requestPromise(ServingLease lease, SlotId grantor) {
        long sentNanos = mTicker.nowNanos();
        PromiseRequest request = new PromiseRequest(lease.subject());
        if (mMembership.heldSlot().filter(held -> held.slot().equals(grantor)).isPresent()) {
            promiseFromSelf(request)
                    .ifPresent(response -> handleResponse(lease, response, grantor, sentNanos));
            return Mono.empty();
        }
        return Mono.justOrEmpty(mDirectory.address(grantor))
                .flatMap(address -> callGrantor(address, request))
                .doOnNext(response -> handleResponse(lease, response, grantor, sentNanos))
                .onErrorResume(e -> Mono.empty())
                .then();
    }

    private Optional<PeerMessage.PromiseResponse> promiseFromSelf(PromiseRequest request) {
        return mMembership
                .servingSlot()
                .map(
                        own ->
                                new PeerMessage.PromiseResponse(
                                        own.slot(), own.grantor().answer(request, true)));
    }

    private Mono<PeerMessage.PromiseResponse> callGrantor(
            PeerAddress address, PromiseRequest request) {
        return mPeers.call(
                address,
                new PeerMessage.RequestPromise(request),
                PeerMessage.PromiseResponse.class,
                PROMISE_CALL_TIMEOUT);
    }

    private void handleResponse(
            ServingLease lease,
            PeerMessage.PromiseResponse response,
            SlotId grantor,
            long sentNanos) {
        switch (response.reply().outcome()) {
            case GRANTED -> {
                if (grantor.equals(response.member())) {
                    lease.confirmByGrantor(grantor, sentNanos);
                }
            }
            case NEWER_GENERATION -> mFollower.fetchFromPeers().subscribe();
            case NEWER_INCARNATION -> dropSupersededSlot(lease.subject());
            case MEMBER_NOT_SERVING -> {}
        }
    }

    private Mono<Void> renewByStore() {
        return Flux.fromIterable(mMembership.views())
                .map(ServingView::lease)
                .filter(this::needsStoreRenewal)
                .concatMap(lease -> readAndConfirm(lease.subject()))
                .then();
    }

    private boolean needsStoreRenewal(ServingLease lease) {
        return lease.remainingNanos(mTicker.nowNanos()) < LeaseTiming.STORE_RENEWAL_THRESHOLD_NANOS;
    }

    /** Reads from the store whether a subject is current, and confirms its leases if so. */
    private Mono<Void> readAndConfirm(LeaseSubject subject) {
        long sentNanos = mTicker.nowNanos();
        return mStore.read(keysOf(subject))
                .flatMap(snapshot -> handleSnapshot(subject, snapshot, sentNanos))
                .doOnError(
                        e -> LOG.debugf("cannot confirm a lease by the store: %s", e.getMessage()))
                .onErrorResume(e -> Mono.empty());
    }

    private static List<StoreKey> keysOf(LeaseSubject subject) {
        return subject.heldSlot()
                .map(slot -> List.of(StoreKeys.HEAD, StoreKeys.slot(slot)))
                .orElse(List.of(StoreKeys.HEAD));
    }

    private Mono<Void> handleSnapshot(
            LeaseSubject subject, StoreSnapshot snapshot, long sentNanos) {
        return Mono.fromCallable(() -> confirmIfCurrent(subject, snapshot, sentNanos)).then();
    }

    private boolean confirmIfCurrent(LeaseSubject subject, StoreSnapshot snapshot, long sentNanos)
            throws StoreException {
        Optional<BundleHead> head = RecordStore.find(snapshot, StoreKeys.HEAD, BundleHead.class);
        head.ifPresent(mFollower::follow);
        if (!isSlotOwn(subject, snapshot)) {
            dropSupersededSlot(subject);
            return false;
        }
        boolean current = head.filter(h -> h.generation().equals(subject.generation())).isPresent();
        if (current) {
            mMembership.views().stream()
                    .map(ServingView::lease)
                    .filter(lease -> lease.subject().equals(subject))
                    .forEach(lease -> lease.confirmByStore(sentNanos));
        }
        return current;
    }

    private boolean isSlotOwn(LeaseSubject subject, StoreSnapshot snapshot) throws StoreException {
        if (subject.heldSlot().isEmpty()) {
            return true;
        }
        return RecordStore.find(snapshot, StoreKeys.slot(subject.slot()), SlotRecord.class)
                .filter(record -> record.incarnation().equals(subject.incarnation()))
                .filter(record -> record.host().equals(mMembership.host()))
                .isPresent();
    }

    private void dropSupersededSlot(LeaseSubject subject) {
        boolean stillHeld =
                mMembership
                        .heldSlot()
                        .filter(held -> held.slot().equals(subject.slot()))
                        .filter(held -> held.incarnation().equals(subject.incarnation()))
                        .isPresent();
        if (stillHeld) {
            LOG.warnf("slot %s is held by another host now; giving it up", subject.slot());
            mMembership.dropSlot();
        }
    }
}
