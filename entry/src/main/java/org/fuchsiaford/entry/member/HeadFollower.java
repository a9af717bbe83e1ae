package org.fuchsiaford.entry.member;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.fuchsiaford.bundle.BundleHead;
import org.fuchsiaford.bundle.Generation;
import org.fuchsiaford.host.SlotRecord;
import org.fuchsiaford.peer.PeerAddress;
import org.fuchsiaford.peer.PeerClient;
import org.fuchsiaford.peer.message.PeerMessage;
import org.jboss.logging.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Loads and installs the bundle of each newer head that this host learns of, from the store or from
 * another host. One bundle is loaded at a time.
 *
 * <p>Thread-safe.
 */
public final class HeadFollower {
    private static final Logger LOG = Logger.getLogger(HeadFollower.class);
    private static final Duration PEER_CALL_TIMEOUT = Duration.ofMillis(500);
    private static final int PEERS_PER_ROUND = 3;

    private final Membership mMembership;
    private final BundleLoader mLoader;
    private final SlotDirectory mDirectory;
    private final PeerClient mPeers;
    private final List<PeerAddress> mSeeds;
    private final AtomicInteger mRounds = new AtomicInteger();
    private final AtomicReference<Generation> mLoading = new AtomicReference<>(Generation.NONE);

    /** Creates a follower. */
    public HeadFollower(
            Membership membership,
            BundleLoader loader,
            SlotDirectory directory,
            PeerClient peers,
            List<PeerAddress> seeds) {
        mMembership = membership;
        mLoader = loader;
        mDirectory = directory;
        mPeers = peers;
        mSeeds = List.copyOf(seeds);
    }

    /**
     * Handles a head: starts to load its bundle if the head is newer than the newest installed one,
     * and records its acceptance.
     */
    public void follow(BundleHead head) {
        if (head.accepted()) {
            mMembership.markAccepted(head.generation());
        }
        Generation loading = mLoading.get();
        boolean startLoading =
                mMembership.newestGeneration().isBefore(head.generation())
                        && loading.isBefore(head.generation());
        if (startLoading && mLoading.compareAndSet(loading, head.generation())) {
            load(head).subscribe();
        }
    }

    private Mono<Void> load(BundleHead head) {
        return mLoader.load(head, peers())
                .doOnNext(bundle -> mMembership.install(head, bundle))
                .doOnNext(bundle -> logInstalled(head))
                .doOnError(
                        e ->
                                LOG.errorf(
                                        "cannot load the bundle of a newer head: %s",
                                        e.getMessage()))
                .doFinally(signal -> mLoading.set(Generation.NONE))
                .onErrorResume(e -> Mono.empty())
                .then();
    }

    private static void logInstalled(BundleHead head) {
        LOG.infof(
                "bundle version %d loaded as generation %d",
                head.bundleVersion(), head.generation().number());
    }

    /**
     * Fetches the head from a few other hosts, different ones on each call, and the slot records as
     * well if this host knows none. Used while the store is unavailable, or may lag behind the
     * other hosts.
     */
    public Mono<Void> fetchFromPeers() {
        return Flux.fromIterable(nextPeers()).flatMap(this::fetchFromPeer).then();
    }

    private List<PeerAddress> nextPeers() {
        List<PeerAddress> peers = peers();
        Collections.rotate(peers, mRounds.getAndIncrement() * PEERS_PER_ROUND);
        return peers.subList(0, Math.min(PEERS_PER_ROUND, peers.size()));
    }

    private Mono<Void> fetchFromPeer(PeerAddress peer) {
        Mono<Void> slots = mDirectory.records().isEmpty() ? fetchSlots(peer) : Mono.empty();
        return slots.then(fetchHead(peer)).onErrorResume(e -> Mono.empty());
    }

    private Mono<Void> fetchHead(PeerAddress peer) {
        return mPeers.call(
                        peer,
                        new PeerMessage.FetchHead(),
                        PeerMessage.HeadResponse.class,
                        PEER_CALL_TIMEOUT)
                .mapNotNull(PeerMessage.HeadResponse::head)
                .doOnNext(this::follow)
                .then();
    }

    private Mono<Void> fetchSlots(PeerAddress peer) {
        return mPeers.call(
                        peer,
                        new PeerMessage.FetchSlots(),
                        PeerMessage.SlotsResponse.class,
                        PEER_CALL_TIMEOUT)
                .doOnNext(response -> mDirectory.merge(response.records(), response.live()))
                .then();
    }

    private List<PeerAddress> peers() {
        List<PeerAddress> addresses = new ArrayList<>(mSeeds);
        Stream<SlotRecord> records = mDirectory.records().stream();
        records.filter(SlotRecord::isOccupied)
                .filter(record -> !record.host().equals(mMembership.host()))
                .map(record -> PeerAddress.parse(record.peerAddress()))
                .filter(address -> !addresses.contains(address))
                .forEach(addresses::add);
        return addresses;
    }
}
