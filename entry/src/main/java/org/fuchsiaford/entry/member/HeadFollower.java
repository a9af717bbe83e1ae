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
 * Takes over each newer head that this host hears of, whoever tells: the store, another host, the
 * operators. One bundle is loaded at a time.
 *
 * <p>Thread-safe.
 */
public final class HeadFollower {
    private static final Logger LOG = Logger.getLogger(HeadFollower.class);
    private static final Duration PEER_TIMEOUT = Duration.ofMillis(500);
    private static final int PEERS_ASKED = 3;

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

    /** Takes a head over if it is newer than the ones before, or newly accepted. */
    public void follow(BundleHead head) {
        if (head.accepted()) {
            mMembership.markAccepted(head.generation());
        }
        Generation loading = mLoading.get();
        boolean newer =
                mMembership.newestGeneration().isBefore(head.generation())
                        && loading.isBefore(head.generation());
        if (newer && mLoading.compareAndSet(loading, head.generation())) {
            load(head).subscribe();
        }
    }

    private Mono<Void> load(BundleHead head) {
        return mLoader.load(head, peers())
                .doOnNext(bundle -> mMembership.install(head, bundle))
                .doOnNext(bundle -> logInstalled(head))
                .doOnError(e -> LOG.errorf("head not taken over: %s", e.getMessage()))
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
     * Asks a few other hosts, each time others, for the head and, if this host knows none, for the
     * slot records. For use while the store is out or has not told yet.
     */
    public Mono<Void> fetchFromPeers() {
        return Flux.fromIterable(nextPeers()).flatMap(this::askPeer).then();
    }

    private List<PeerAddress> nextPeers() {
        List<PeerAddress> peers = peers();
        Collections.rotate(peers, mRounds.getAndIncrement() * PEERS_ASKED);
        return peers.subList(0, Math.min(PEERS_ASKED, peers.size()));
    }

    private Mono<Void> askPeer(PeerAddress peer) {
        Mono<Void> slots = mDirectory.records().isEmpty() ? askSlots(peer) : Mono.empty();
        return slots.then(askHead(peer)).onErrorResume(e -> Mono.empty());
    }

    private Mono<Void> askHead(PeerAddress peer) {
        return mPeers.call(
                        peer,
                        new PeerMessage.FetchHead(),
                        PeerMessage.HeadResponse.class,
                        PEER_TIMEOUT)
                .mapNotNull(PeerMessage.HeadResponse::head)
                .doOnNext(this::follow)
                .then();
    }

    private Mono<Void> askSlots(PeerAddress peer) {
        return mPeers.call(
                        peer,
                        new PeerMessage.FetchSlots(),
                        PeerMessage.SlotsResponse.class,
                        PEER_TIMEOUT)
                .doOnNext(answer -> mDirectory.merge(answer.records(), answer.live()))
                .then();
    }

    private List<PeerAddress> peers() {
        List<PeerAddress> known = new ArrayList<>(mSeeds);
        Stream<SlotRecord> records = mDirectory.records().stream();
        records.filter(SlotRecord::isOccupied)
                .filter(record -> !record.host().equals(mMembership.host()))
                .map(record -> PeerAddress.parse(record.peerAddress()))
                .filter(address -> !known.contains(address))
                .forEach(known::add);
        return known;
    }
}
