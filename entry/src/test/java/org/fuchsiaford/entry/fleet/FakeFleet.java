package org.fuchsiaford.entry.fleet;

import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.fuchsiaford.bundle.Bundle;
import org.fuchsiaford.bundle.BundleChunk;
import org.fuchsiaford.bundle.BundleChunkCodec;
import org.fuchsiaford.bundle.BundleException;
import org.fuchsiaford.bundle.BundleHead;
import org.fuchsiaford.bundle.BundleSignature;
import org.fuchsiaford.bundle.EntrySlot;
import org.fuchsiaford.bundle.FailureDomain;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.bundle.Generation;
import org.fuchsiaford.bundle.RegionId;
import org.fuchsiaford.bundle.Workspace;
import org.fuchsiaford.entry.member.HeldSlot;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.host.SlotRecord;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.store.RecordStore;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.store.StoreException;
import org.fuchsiaford.store.StoreKeys;
import org.fuchsiaford.store.StoreLeaseId;
import org.fuchsiaford.store.StoreSnapshot;
import org.fuchsiaford.time.Ticker;
import org.fuchsiaford.workspace.KeyHash;
import org.fuchsiaford.workspace.WorkspaceId;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * A fleet of entry hosts, the store and an operator in virtual time, with injectable faults. The
 * hosts run the production code; only network, store and clocks are fakes. Not thread-safe.
 */
final class FakeFleet implements AutoCloseable {
    static final WorkspaceId WORKSPACE = new WorkspaceId("w");
    static final long RATE = 1_000;
    static final long BURST = 2_000;
    static final int DOMAINS = 3;

    private static final String OPERATOR = "operator";
    private static final double MAX_CLOCK_ERROR = 0.01;

    private final VirtualTimeScheduler mScheduler = VirtualTimeScheduler.create();
    private final Ticker mTrueTime = () -> mScheduler.now(TimeUnit.NANOSECONDS);
    private final Random mRandom;
    private final FakeNetwork mNetwork;
    private final FakeStore mStore;
    private final Map<String, FakeHost> mHosts = new LinkedHashMap<>();
    private final List<String> mAddresses;
    private final KeyPair mSigningKeys;
    private final int mHomeSlots;
    private final int mSlots;
    private int mStarted;

    FakeFleet(long seed, int size, int homes) {
        this(seed, size, size, homes);
    }

    /** Creates a fleet that may have more machines than slots; hosts without a slot are spares. */
    FakeFleet(long seed, int size, int slots, int homes) {
        VirtualTimeScheduler.set(mScheduler);
        mRandom = new Random(seed);
        mNetwork = new FakeNetwork(seed);
        mStore = new FakeStore(mTrueTime, mNetwork);
        mHomeSlots = homes;
        mSlots = slots;
        mAddresses = IntStream.range(0, size).mapToObj(i -> "10.0.0." + (i + 1) + ":1").toList();
        mSigningKeys = newKeys();
    }

    private static KeyPair newKeys() {
        try {
            return KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    List<String> addresses() {
        return mAddresses;
    }

    List<String> signingKeys() {
        return List.of(Base64.getEncoder().encodeToString(mSigningKeys.getPublic().getEncoded()));
    }

    FakeNetwork network() {
        return mNetwork;
    }

    Ticker trueTime() {
        return mTrueTime;
    }

    long storeCalls() {
        return mStore.calls();
    }

    Map<String, FakeHost> hosts() {
        return mHosts;
    }

    Mono<PeerMessage> deliver(String address, PeerMessage message) {
        FakeHost host = mHosts.get(address);
        return host == null ? Mono.never() : host.handle(message);
    }

    void advance(long millis) {
        mScheduler.advanceTimeBy(Duration.ofMillis(millis));
    }

    /**
     * Starts a host on a machine; its clock deviates from true time by a random rate and offset.
     */
    void start(String address) {
        mNetwork.setDown(address, false);
        mStarted++;
        double clockRate = 1 + (mRandom.nextDouble() * 2 - 1) * MAX_CLOCK_ERROR;
        long offsetNanos = mRandom.nextInt(1_000_000_000);
        Ticker clock = () -> offsetNanos + (long) (mTrueTime.nowNanos() * clockRate);
        int index = mAddresses.indexOf(address);
        FakeHost host =
                new FakeHost(
                        this,
                        address,
                        "host-" + mStarted,
                        domain(index),
                        clock,
                        mStore.viewOf(address));
        mHosts.put(address, host);
        host.start();
    }

    void startAll() {
        mAddresses.forEach(this::start);
    }

    /** Kills a host; it no longer sends or receives anything. */
    void kill(String address) {
        mNetwork.setDown(address, true);
        Optional.ofNullable(mHosts.remove(address)).ifPresent(FakeHost::stop);
    }

    void setStoreOutage(boolean unavailable) {
        mNetwork.setDown(FakeNetwork.STORE, unavailable);
    }

    private FailureDomainId domain(int index) {
        return new FailureDomainId("d" + index % DOMAINS);
    }

    Bundle bundle(long version, List<String> keys) {
        List<FailureDomain> domains =
                IntStream.range(0, DOMAINS)
                        .mapToObj(i -> new FailureDomain(domain(i), new RegionId("r")))
                        .toList();
        List<EntrySlot> slots =
                IntStream.range(0, mSlots)
                        .mapToObj(i -> new EntrySlot(new SlotId("s" + i), domain(i)))
                        .toList();
        Workspace workspace =
                new Workspace(
                        WORKSPACE,
                        RATE,
                        BURST,
                        mHomeSlots,
                        List.of(),
                        List.of(),
                        keys.stream().map(KeyHash::of).toList());
        return new Bundle(
                version, domains, slots, List.of(), List.of(), List.of(), List.of(workspace));
    }

    /**
     * Rolls a bundle out by swapping the head, as the operator tool does; returns whether it did.
     */
    boolean rollOut(Bundle bundle) {
        Store store = mStore.viewOf(OPERATOR);
        boolean[] completed = {false};
        rollOutSteps(store, bundle).subscribe(swapped -> completed[0] = swapped, e -> {});
        for (int i = 0; i < 40 && !completed[0]; i++) {
            advance(50);
        }
        return completed[0];
    }

    private Mono<Boolean> rollOutSteps(Store store, Bundle bundle) {
        BundleChunkCodec.SplitBundle split = new BundleChunkCodec().split(bundle);
        Mono<Void> upload =
                reactor.core.publisher.Flux.fromIterable(split.chunks())
                        .concatMap(chunk -> put(store, chunk))
                        .then();
        return upload.then(store.read(List.of(StoreKeys.HEAD)))
                .flatMap(read -> Mono.fromCallable(() -> next(read, bundle, split)))
                .flatMap(Mono::justOrEmpty)
                .flatMap(
                        next ->
                                store.read(List.of(StoreKeys.HEAD))
                                        .flatMap(
                                                read ->
                                                        store.compareAndSwap(
                                                                StoreKeys.HEAD,
                                                                read.revisionOf(StoreKeys.HEAD),
                                                                RecordStore.encode(next),
                                                                StoreLeaseId.NONE)));
    }

    private static Mono<Boolean> put(Store store, BundleChunk chunk) {
        return store.compareAndSwap(
                StoreKeys.bundleChunk(chunk.digest()), 0, chunk.bytes(), StoreLeaseId.NONE);
    }

    private Optional<BundleHead> next(
            StoreSnapshot read, Bundle bundle, BundleChunkCodec.SplitBundle split)
            throws StoreException, BundleException {
        String privateKey =
                Base64.getEncoder().encodeToString(mSigningKeys.getPrivate().getEncoded());
        String signature = BundleSignature.sign(privateKey, bundle.version(), split.manifest());
        Optional<BundleHead> present = RecordStore.find(read, StoreKeys.HEAD, BundleHead.class);
        if (present.isEmpty()) {
            return Optional.of(
                    new BundleHead(
                            new Generation(1),
                            bundle.version(),
                            split.manifest(),
                            signature,
                            null,
                            false));
        }
        return present.filter(BundleHead::accepted)
                .map(head -> head.next(bundle.version(), split.manifest(), signature));
    }

    /** Returns the head in the store, regardless of outages. */
    Optional<BundleHead> storedHead() {
        return mStore.stored(StoreKeys.HEAD).map(v -> decode(v, BundleHead.class));
    }

    /** Returns a slot record in the store, regardless of outages. */
    Optional<SlotRecord> storedSlot(SlotId slot) {
        return mStore.stored(StoreKeys.slot(slot)).map(v -> decode(v, SlotRecord.class));
    }

    private static <T> T decode(byte[] value, Class<T> type) {
        try {
            return RecordStore.decode(value, type);
        } catch (StoreException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Describes slots and hosts, for the message of a failed assertion. */
    String describe() {
        StringBuilder text = new StringBuilder("head " + storedHead() + "\n");
        IntStream.range(0, mAddresses.size())
                .mapToObj(i -> StoreKeys.slot(new SlotId("s" + i)))
                .forEach(
                        key ->
                                mStore.stored(key)
                                        .ifPresent(v -> text.append(new String(v)).append('\n')));
        mHosts.forEach(
                (address, host) ->
                        text.append(address)
                                .append(' ')
                                .append(host.membership().host())
                                .append(" held ")
                                .append(host.membership().heldSlot().map(HeldSlot::slot))
                                .append(" serving ")
                                .append(host.membership().isServing())
                                .append(' ')
                                .append(host.membership().newestGeneration())
                                .append('\n'));
        return text.toString();
    }

    /** Returns the hosts that may currently act as the holder of a slot. */
    List<FakeHost> servingHolders(SlotId slot) {
        return mHosts.values().stream()
                .filter(
                        host ->
                                host.membership()
                                        .servingSlot()
                                        .map(HeldSlot::slot)
                                        .filter(slot::equals)
                                        .isPresent())
                .toList();
    }

    @Override
    public void close() {
        mHosts.values().forEach(FakeHost::stop);
        VirtualTimeScheduler.reset();
    }
}
