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
 * Loads bundles chunk by chunk, from the store or else from other hosts, and verifies them. Chunks
 * that are already cached are not fetched again, so that a new bundle version transfers only the
 * chunks that changed.
 *
 * <p>Invariant: {@link #load} returns a bundle only if it is signed by a trusted key; the content
 * of every chunk matches its digest. Thread-safe.
 */
public final class BundleLoader {
    private static final Duration PEER_CALL_TIMEOUT = Duration.ofMillis(1_000);
    private static final int KEYS_PER_STORE_READ = 16;

    private final Store mStore;
    private final PeerClient mPeers;
    private final List<String> mSigningKeys;
    private final BundleChunkCodec mCodec = new BundleChunkCodec();
    private final Map<Digest, byte[]> mChunks = new ConcurrentHashMap<>();

    /** Creates a loader. */
    public BundleLoader(Store store, PeerClient peers, List<String> signingKeys) {
        mStore = store;
        mPeers = peers;
        mSigningKeys = List.copyOf(signingKeys);
    }

    /** Returns the bytes of a cached chunk, or null if the chunk is not cached. */
    public byte[] chunk(Digest digest) {
        return mChunks.get(digest);
    }

    /**
     * Loads the bundle that a head refers to; fails with {@link BundleException} if a chunk cannot
     * be fetched or the signature is not valid.
     *
     * @param peers hosts to ask for chunks that the store does not provide
     */
    public Mono<Bundle> load(BundleHead head, List<PeerAddress> peers) {
        return Mono.fromCallable(() -> verify(head))
                .then(loadByManifest(head.manifest(), peers))
                .doOnNext(bundle -> evictOthers(head));
    }

    /** Loads a bundle by the digest of its manifest, without verifying the signature. */
    public Mono<Bundle> loadByManifest(Digest digest, List<PeerAddress> peers) {
        return fetch(List.of(digest), peers)
                .then(Mono.fromCallable(() -> readManifest(digest)))
                .flatMap(manifest -> fetch(chunksOf(manifest), peers).thenReturn(manifest))
                .flatMap(m -> Mono.fromCallable(() -> mCodec.join(m, mChunks::get)));
    }

    private boolean verify(BundleHead head) throws BundleException {
        BundleSignature.verify(
                mSigningKeys, head.bundleVersion(), head.manifest(), head.signature());
        return true;
    }

    private Manifest readManifest(Digest digest) throws BundleException {
        byte[] bytes = mChunks.get(digest);
        if (bytes == null) {
            throw new BundleException(
                    Step.READ_BUNDLE,
                    List.of(new JsonProblem("$", "manifest " + digest.value() + " is missing")));
        }
        return mCodec.readManifest(bytes);
    }

    private static List<Digest> chunksOf(Manifest manifest) {
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
        return digests.stream().distinct().filter(digest -> !mChunks.containsKey(digest)).toList();
    }

    private Mono<Void> fetchFromStore(List<Digest> digests) {
        return Flux.fromIterable(digests)
                .map(StoreKeys::bundleChunk)
                .buffer(KEYS_PER_STORE_READ)
                .concatMap(mStore::read)
                .doOnNext(snapshot -> snapshot.entries().forEach(this::cache))
                .then();
    }

    private void cache(StoreEntry entry) {
        mChunks.put(Digest.of(entry.value()), entry.value());
    }

    private Mono<Void> fetchFromPeers(List<Digest> digests, List<PeerAddress> peers) {
        return Flux.fromIterable(digests).concatMap(digest -> fetchChunk(digest, peers)).then();
    }

    private Mono<byte[]> fetchChunk(Digest digest, List<PeerAddress> peers) {
        return Flux.fromIterable(peers)
                .concatMap(peer -> fetchFromPeer(digest, peer), 1)
                .next()
                .doOnNext(bytes -> mChunks.put(digest, bytes));
    }

    private Mono<byte[]> fetchFromPeer(Digest digest, PeerAddress peer) {
        PeerMessage request = new PeerMessage.FetchBundleChunk(digest);
        return mPeers.call(peer, request, PeerMessage.BundleChunkResponse.class, PEER_CALL_TIMEOUT)
                .onErrorResume(e -> Mono.empty())
                .mapNotNull(PeerMessage.BundleChunkResponse::bytes)
                .filter(bytes -> Digest.of(bytes).equals(digest));
    }

    /**
     * Evicts all chunks except those of this head and of the previous one, which hosts that lag
     * behind may still request.
     */
    private void evictOthers(BundleHead head) {
        Set<Digest> retained =
                Stream.of(head.manifest(), head.previousManifest())
                        .filter(digest -> digest != null && mChunks.containsKey(digest))
                        .flatMap(this::withChunks)
                        .collect(Collectors.toSet());
        mChunks.keySet().retainAll(retained);
    }

    private Stream<Digest> withChunks(Digest manifest) {
        try {
            return Stream.concat(Stream.of(manifest), chunksOf(readManifest(manifest)).stream());
        } catch (BundleException e) {
            return Stream.of(manifest);
        }
    }
}
