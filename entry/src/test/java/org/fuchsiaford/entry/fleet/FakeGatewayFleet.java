package org.fuchsiaford.entry.fleet;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.bundle.RegionId;
import org.fuchsiaford.entry.gateway.protocol.StateDecoder;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.RegionMap;
import org.fuchsiaford.registry.ServerAddress;
import org.fuchsiaford.registry.SoftwareVersion;
import org.fuchsiaford.routing.EngineCapacity;
import org.fuchsiaford.routing.RequestLimits;
import org.fuchsiaford.routing.RoutingTable;
import org.fuchsiaford.routing.ServiceDeclaration;
import org.fuchsiaford.store.StoreKey;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * A fleet of entry hosts that follow a live registry, in virtual time. The hosts run the production
 * code of coordination; only network, store and clock are fakes. Not thread-safe.
 */
final class FakeGatewayFleet implements AutoCloseable {
    static final ServiceId SERVICE = new ServiceId("llm");

    /** The regions of the failure domains; others have none that is known. */
    static final RegionMap REGIONS =
            new RegionMap(
                    Map.of(
                            new FailureDomainId("d0"),
                            new RegionId("r1"),
                            new FailureDomainId("d1"),
                            new RegionId("r2"),
                            new FailureDomainId("d2"),
                            new RegionId("r2")));

    private static final int DOMAINS = 3;
    private static final int SEATS_PER_ENGINE = 64;
    private static final String TABLE_KEY = "op/config";
    private static final String SERVERS_PREFIX = "servers/";
    private static final String EVACUATION_PREFIX = "op/evacuate/";
    private static final String FIRST_DOMAIN = "d0";

    private final VirtualTimeScheduler mScheduler = VirtualTimeScheduler.create();
    private final Ticker mTime = () -> mScheduler.now(TimeUnit.NANOSECONDS);
    private final Random mRandom;
    private final FakeNetwork mNetwork;
    private final FakeStore mStore;
    private final List<String> mAddresses;
    private final Map<String, FakeGateway> mHosts = new LinkedHashMap<>();
    private int mStarted;

    /** Creates a fleet without running hosts. */
    FakeGatewayFleet(long seed, int size) {
        VirtualTimeScheduler.set(mScheduler);
        mRandom = new Random(seed);
        mNetwork = new FakeNetwork(seed);
        mStore = new FakeStore(mTime, mNetwork);
        mAddresses = IntStream.range(0, size).mapToObj(i -> "10.0.0." + i + ":1").toList();
        mStore.put(new StoreKey(TABLE_KEY), new byte[] {1});
    }

    List<String> addresses() {
        return mAddresses;
    }

    FakeNetwork network() {
        return mNetwork;
    }

    FakeStore store() {
        return mStore;
    }

    Ticker time() {
        return mTime;
    }

    Random random() {
        return mRandom;
    }

    Optional<FakeGateway> host(String address) {
        return Optional.ofNullable(mHosts.get(address));
    }

    List<FakeGateway> hosts() {
        return List.copyOf(mHosts.values());
    }

    void advance(long millis) {
        mScheduler.advanceTimeBy(Duration.ofMillis(millis));
    }

    void start(String address) {
        mNetwork.setDown(address, false);
        mStarted++;
        FakeGateway host = new FakeGateway(this, address, "host-" + mStarted, domainOf(address));
        mHosts.put(address, host);
        host.start();
    }

    FailureDomainId domainOf(String address) {
        return new FailureDomainId("d" + mAddresses.indexOf(address) % DOMAINS);
    }

    /** Kills a host; it no longer sends or receives anything, and its memory is lost. */
    void kill(String address) {
        mNetwork.setDown(address, true);
        Optional.ofNullable(mHosts.remove(address)).ifPresent(FakeGateway::stop);
    }

    /** Registers an engine, or a new run of it at another version. */
    void register(String server, String version, long startedMillis) {
        String value = version + " " + startedMillis;
        mStore.put(new StoreKey(SERVERS_PREFIX + server), value.getBytes(StandardCharsets.UTF_8));
    }

    /** Registers an engine in a failure domain. */
    void registerIn(String domain, String server) {
        mStore.put(
                new StoreKey(SERVERS_PREFIX + server),
                ("v1 1 " + domain).getBytes(StandardCharsets.UTF_8));
    }

    void evacuate(String domain) {
        mStore.put(new StoreKey(EVACUATION_PREFIX + domain), new byte[] {1});
    }

    void endEvacuation(String domain) {
        mStore.remove(new StoreKey(EVACUATION_PREFIX + domain));
    }

    void unregister(String server) {
        mStore.remove(new StoreKey(SERVERS_PREFIX + server));
    }

    Mono<PeerMessage> deliver(String address, PeerMessage message) {
        return host(address).map(host -> host.handle(message)).orElse(Mono.never());
    }

    /** Reads entries of a software version, a start time and maybe a failure domain. */
    static final class Decoder implements StateDecoder {
        @Override
        public List<StoreKey> prefixes() {
            return List.of(new StoreKey("op/"), new StoreKey(SERVERS_PREFIX));
        }

        @Override
        public boolean isRoutingTable(StoreKey key) {
            return key.value().equals(TABLE_KEY);
        }

        @Override
        public Optional<BackendServerId> serverId(StoreKey key) {
            return key.value().startsWith(SERVERS_PREFIX)
                    ? Optional.of(
                            new BackendServerId(key.value().substring(SERVERS_PREFIX.length())))
                    : Optional.empty();
        }

        @Override
        public Optional<FailureDomainId> evacuatedDomain(StoreKey key) {
            return key.value().startsWith(EVACUATION_PREFIX)
                    ? Optional.of(
                            new FailureDomainId(key.value().substring(EVACUATION_PREFIX.length())))
                    : Optional.empty();
        }

        @Override
        public RoutingTable readRoutingTable(byte[] value) {
            EngineCapacity capacity = new EngineCapacity(SEATS_PER_ENGINE, 1_000_000, 500);
            return new RoutingTable(
                    1,
                    RequestLimits.DEFAULT,
                    List.of(),
                    List.of(new ServiceDeclaration(SERVICE, Optional.of(capacity))),
                    List.of());
        }

        @Override
        public LiveServer readServer(BackendServerId id, byte[] value) {
            String[] parts = new String(value, StandardCharsets.UTF_8).split(" ");
            return new LiveServer(
                    id,
                    SERVICE,
                    new ServerAddress("10.9.0.1", 80),
                    new FailureDomainId(parts.length > 2 ? parts[2] : FIRST_DOMAIN),
                    new SoftwareVersion(parts[0]),
                    SEATS_PER_ENGINE,
                    Optional.of(EngineStage.DECODE),
                    false,
                    Long.parseLong(parts[1]));
        }
    }

    @Override
    public void close() {
        mHosts.values().forEach(FakeGateway::stop);
        VirtualTimeScheduler.reset();
    }
}
