package org.fuchsiaford.entry.member;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.fuchsiaford.bundle.Bundle;
import org.fuchsiaford.bundle.BundleChunkCodec;
import org.fuchsiaford.bundle.BundleException;
import org.fuchsiaford.bundle.BundleHead;
import org.fuchsiaford.bundle.BundleSignature;
import org.fuchsiaford.bundle.Digest;
import org.fuchsiaford.bundle.Manifest;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.json.JsonProblem;
import org.fuchsiaford.peer.PeerAddress;
import org.fuchsiaford.peer.PeerClient;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.store.StoreEntry;
import org.fuchsiaford.store.StoreKeys;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Fetches bundles piece by piece, from the store or else from other hosts, and verifies them.
 * Pieces at hand are not fetched again, so a change moves only what changed.
 *
 * <p>Invariant: a bundle is returned only if a trusted key signed it and every piece has the
 * content that its address names. Thread-safe.
 */
public final class BundleLoader {
    private static final Duration PEER_TIMEOUT = Duration.ofMillis(1_000);
    private static final int KEYS_PER_READ = 16;

    private final Store mStore;
    private final PeerClient mPeers;
    private final List<String> mSigningKeys;
    private final BundleChunkCodec mCodec = new BundleChunkCodec();
    private final Map<Digest, byte[]> mPieces = new ConcurrentHashMap<>();

    /** Creates a loader. */
    public BundleLoader(Store store, PeerClient peers, List<String> signingKeys) {
        mStore = store;
        mPeers = peers;
        mSigningKeys = List.copyOf(signingKeys);
    }

    /** Returns the bytes of a piece at hand, or null. */
    public byte[] chunk(Digest digest) {
        return mPieces.get(digest);
    }

    /**
     * Loads the bundle that a head names; fails with {@link BundleException} if it cannot be had or
     * is not signed.
     *
     * @param peers hosts to ask for what the store does not give
     */
    public Mono<Bundle> load(BundleHead head, List<PeerAddress> peers) {
        return Mono.fromCallable(() -> verify(head))
                .then(loadManifest(head.manifest(), peers))
                .doOnNext(bundle -> forgetOthers(head));
    }

    /** Loads a bundle by its manifest, without verifying who signed it. */
    public Mono<Bundle> loadManifest(Digest digest, List<PeerAddress> peers) {
        return fetch(List.of(digest), peers)
                .then(Mono.fromCallable(() -> manifest(digest)))
                .flatMap(manifest -> fetch(piecesOf(manifest), peers).thenReturn(manifest))
                .flatMap(m -> Mono.fromCallable(() -> mCodec.join(m, mPieces::get)));
    }

    private boolean verify(BundleHead head) throws BundleException {
        BundleSignature.verify(
                mSigningKeys, head.bundleVersion(), head.manifest(), head.signature());
        return true;
    }

    private Manifest manifest(Digest digest) throws BundleException {
        byte[] bytes = mPieces.get(digest);
        if (bytes == null) {
            throw new BundleException(
                    Step.READ_BUNDLE,
                    List.of(new JsonProblem("$", "manifest " + digest.value() + " is missing")));
        }
        return mCodec.readManifest(bytes);
    }

    private static List<Digest> piecesOf(Manifest manifest) {
        List<Digest> digests = new ArrayList<>(manifest.workspaces());
        digests.add(manifest.fleet());
        return digests;
    }

    private Mono<Void> fetch(List<Digest> digests, List<PeerAddress> peers) {
        return fetchFromStore(missing(digests))
                .onErrorResume(e -> Mono.empty())
                .then(Mono.defer(() -> fetchFromPeers(missing(digests), peers)));
    }

    private List<Digest> missing(List<Digest> digests) {
        return digests.stream().distinct().filter(digest -> !mPieces.containsKey(digest)).toList();
    }

    private Mono<Void> fetchFromStore(List<Digest> digests) {
        return Flux.fromIterable(digests)
                .map(StoreKeys::piece)
                .buffer(KEYS_PER_READ)
                .concatMap(mStore::read)
                .doOnNext(snapshot -> snapshot.entries().forEach(this::keep))
                .then();
    }

    private void keep(StoreEntry entry) {
        mPieces.put(Digest.of(entry.value()), entry.value());
    }

    private Mono<Void> fetchFromPeers(List<Digest> digests, List<PeerAddress> peers) {
        return Flux.fromIterable(digests)
                .concatMap(digest -> fetchFromAnyPeer(digest, peers))
                .then();
    }

    private Mono<byte[]> fetchFromAnyPeer(Digest digest, List<PeerAddress> peers) {
        return Flux.fromIterable(peers)
                .concatMap(peer -> fetchFromPeer(digest, peer), 1)
                .next()
                .doOnNext(bytes -> mPieces.put(digest, bytes));
    }

    private Mono<byte[]> fetchFromPeer(Digest digest, PeerAddress peer) {
        PeerMessage request = new PeerMessage.FetchPiece(digest);
        return mPeers.call(peer, request, PeerMessage.PieceResponse.class, PEER_TIMEOUT)
                .onErrorResume(e -> Mono.empty())
                .mapNotNull(PeerMessage.PieceResponse::bytes)
                .filter(bytes -> Digest.of(bytes).equals(digest));
    }

    /**
     * Keeps the pieces of this head and of the one before, which hosts behind may still ask for.
     */
    private void forgetOthers(BundleHead head) {
        Set<Digest> needed =
                Stream.of(head.manifest(), head.previousManifest())
                        .filter(digest -> digest != null && mPieces.containsKey(digest))
                        .flatMap(this::withPieces)
                        .collect(Collectors.toSet());
        mPieces.keySet().retainAll(needed);
    }

    private Stream<Digest> withPieces(Digest digest) {
        try {
            return Stream.concat(Stream.of(digest), piecesOf(manifest(digest)).stream());
        } catch (BundleException e) {
            return Stream.of(digest);
        }
    }
}
