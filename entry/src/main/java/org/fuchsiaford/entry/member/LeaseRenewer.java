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
 * Renews this host's leases: from the panel, and from the store when the panel leaves a lease
 * short.
 *
 * <p>Thread-safe.
 */
public final class LeaseRenewer {
    private static final Logger LOG = Logger.getLogger(LeaseRenewer.class);
    private static final Duration PROMISE_TIMEOUT = Duration.ofMillis(400);

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

    /** Renews once: asks every panel, then the store for each lease that is still short. */
    public Mono<Void> renew() {
        return Flux.fromIterable(mMembership.views())
                .flatMap(view -> askPanel(view.lease()))
                .then(Mono.defer(this::confirmShortLeases));
    }

    private Mono<Void> askPanel(ServingLease lease) {
        return Flux.fromIterable(lease.grantors().members())
                .flatMap(member -> askMember(lease, member))
                .then();
    }

    private Mono<Void> askMember(ServingLease lease, SlotId member) {
        long askedNanos = mTicker.nowNanos();
        PromiseRequest request = new PromiseRequest(lease.subject());
        if (mMembership.heldSlot().filter(held -> held.slot().equals(member)).isPresent()) {
            promiseToSelf(request).ifPresent(promised -> take(lease, promised, member, askedNanos));
            return Mono.empty();
        }
        return Mono.justOrEmpty(mDirectory.address(member))
                .flatMap(address -> ask(address, request))
                .doOnNext(promised -> take(lease, promised, member, askedNanos))
                .onErrorResume(e -> Mono.empty())
                .then();
    }

    private Optional<PeerMessage.PromiseResponse> promiseToSelf(PromiseRequest request) {
        return mMembership
                .servingSlot()
                .map(
                        own ->
                                new PeerMessage.PromiseResponse(
                                        own.slot(), own.grantor().answer(request, true)));
    }

    private Mono<PeerMessage.PromiseResponse> ask(PeerAddress address, PromiseRequest request) {
        return mPeers.call(
                address,
                new PeerMessage.RequestPromise(request),
                PeerMessage.PromiseResponse.class,
                PROMISE_TIMEOUT);
    }

    private void take(
            ServingLease lease,
            PeerMessage.PromiseResponse promised,
            SlotId member,
            long askedNanos) {
        switch (promised.reply().outcome()) {
            case GRANTED -> {
                if (member.equals(promised.member())) {
                    lease.confirmByGrantor(member, askedNanos);
                }
            }
            case NEWER_GENERATION -> mFollower.fetchFromPeers().subscribe();
            case NEWER_INCARNATION -> loseSlot(lease.subject());
            case MEMBER_NOT_SERVING -> {}
        }
    }

    private Mono<Void> confirmShortLeases() {
        return Flux.fromIterable(mMembership.views())
                .map(ServingView::lease)
                .filter(this::isShort)
                .concatMap(lease -> confirm(lease.subject()))
                .then();
    }

    private boolean isShort(ServingLease lease) {
        return lease.remainingNanos(mTicker.nowNanos()) < LeaseTiming.STORE_RENEWAL_THRESHOLD_NANOS;
    }

    /** Asks the store whether a subject is current, and confirms the lease if so. */
    private Mono<Void> confirm(LeaseSubject subject) {
        long askedNanos = mTicker.nowNanos();
        return mStore.read(keys(subject))
                .flatMap(snapshot -> takeConfirmation(subject, snapshot, askedNanos))
                .doOnError(e -> LOG.debugf("lease not confirmed: %s", e.getMessage()))
                .onErrorResume(e -> Mono.empty());
    }

    private static List<StoreKey> keys(LeaseSubject subject) {
        return subject.heldSlot()
                .map(slot -> List.of(StoreKeys.HEAD, StoreKeys.slot(slot)))
                .orElse(List.of(StoreKeys.HEAD));
    }

    private Mono<Void> takeConfirmation(
            LeaseSubject subject, StoreSnapshot snapshot, long askedNanos) {
        return Mono.fromCallable(() -> judge(subject, snapshot, askedNanos)).then();
    }

    private boolean judge(LeaseSubject subject, StoreSnapshot snapshot, long askedNanos)
            throws StoreException {
        Optional<BundleHead> head = RecordStore.find(snapshot, StoreKeys.HEAD, BundleHead.class);
        head.ifPresent(mFollower::follow);
        if (!slotIsOwn(subject, snapshot)) {
            loseSlot(subject);
            return false;
        }
        boolean current = head.filter(h -> h.generation().equals(subject.generation())).isPresent();
        if (current) {
            mMembership.views().stream()
                    .map(ServingView::lease)
                    .filter(lease -> lease.subject().equals(subject))
                    .forEach(lease -> lease.confirmByStore(askedNanos));
        }
        return current;
    }

    private boolean slotIsOwn(LeaseSubject subject, StoreSnapshot snapshot) throws StoreException {
        if (subject.heldSlot().isEmpty()) {
            return true;
        }
        return RecordStore.find(snapshot, StoreKeys.slot(subject.slot()), SlotRecord.class)
                .filter(record -> record.incarnation().equals(subject.incarnation()))
                .filter(record -> record.host().equals(mMembership.host()))
                .isPresent();
    }

    private void loseSlot(LeaseSubject subject) {
        boolean present =
                mMembership
                        .heldSlot()
                        .filter(held -> held.slot().equals(subject.slot()))
                        .filter(held -> held.incarnation().equals(subject.incarnation()))
                        .isPresent();
        if (present) {
            LOG.warnf("slot %s now belongs to another host", subject.slot());
            mMembership.dropSlot();
        }
    }
}
