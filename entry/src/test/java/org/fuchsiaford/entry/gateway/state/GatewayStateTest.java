package org.fuchsiaford.entry.gateway.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.protocol.StateDecoder;
import org.fuchsiaford.fleet.FleetView;
import org.fuchsiaford.fleet.HostRecord;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.registry.EvacuatedDomains;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.RegionMap;
import org.fuchsiaford.registry.ServerAddress;
import org.fuchsiaford.registry.ServerRegistry;
import org.fuchsiaford.registry.SoftwareVersion;
import org.fuchsiaford.routing.RequestLimits;
import org.fuchsiaford.routing.RoutingTable;
import org.fuchsiaford.store.StoreChange;
import org.fuchsiaford.store.StoreEntry;
import org.fuchsiaford.store.StoreKey;
import org.fuchsiaford.store.StoreKeys;
import org.fuchsiaford.store.StoreRevision;

/** Tests the order in which a host applies the entries of a store snapshot. */
class GatewayStateTest {
    private static final FailureDomainId DOMAIN = new FailureDomainId("z");
    private static final StoreKey TABLE = new StoreKey("table");

    private static final ServiceId SERVICE = new ServiceId("app");
    private static final StoreKey EVACUATION = new StoreKey("evacuate/z");
    private static final StoreKey SERVER = new StoreKey("a");
    private static final byte[] ANY = {1};

    private final List<String> mDecoded = new ArrayList<>();
    private final List<FailureDomainId> mEnded = new ArrayList<>();
    private long mNowNanos;
    private final GatewayState mState =
            new GatewayState(
                    new RecordingDecoder(),
                    new ServerRegistry(new EvacuatedDomains(mEnded::add), RegionMap.NONE),
                    new FleetView(
                            new HostRecord(new HostId("h"), DOMAIN, "1.1.1.1:1", "1.1.1.1:2", 1)),
                    new DecisionLog("h"),
                    () -> mNowNanos,
                    (server, before) -> {});

    private final class RecordingDecoder implements StateDecoder {
        @Override
        public List<StoreKey> prefixes() {
            return List.of();
        }

        @Override
        public boolean isRoutingTable(StoreKey key) {
            return key.equals(TABLE);
        }

        @Override
        public Optional<BackendServerId> serverId(StoreKey key) {
            return isRoutingTable(key)
                            || key.value().startsWith("/fuchsiaford/")
                            || evacuatedDomain(key).isPresent()
                    ? Optional.empty()
                    : Optional.of(new BackendServerId(key.value()));
        }

        @Override
        public Optional<FailureDomainId> evacuatedDomain(StoreKey key) {
            return key.equals(EVACUATION) ? Optional.of(DOMAIN) : Optional.empty();
        }

        @Override
        public RoutingTable readRoutingTable(byte[] value) {
            mDecoded.add("table");
            return new RoutingTable(1, RequestLimits.DEFAULT, List.of(), List.of(), List.of());
        }

        @Override
        public LiveServer readServer(BackendServerId id, byte[] value) {
            mDecoded.add(id.value());
            return new LiveServer(
                    id,
                    SERVICE,
                    new ServerAddress("127.0.0.1", 1),
                    DOMAIN,
                    new SoftwareVersion("v1"),
                    6,
                    Optional.empty(),
                    false,
                    1);
        }
    }

    private static StoreEntry versions(long era, long number, String versions) {
        return new StoreEntry(
                StoreKeys.versions(SERVICE),
                versions.getBytes(StandardCharsets.UTF_8),
                new StoreRevision(era, number).ordered());
    }

    private static StoreEntry entry(StoreKey key, long era, long number) {
        return new StoreEntry(key, ANY, new StoreRevision(era, number).ordered());
    }

    private void applySnapshot(long era, long number, StoreEntry... entries) {
        mState.applySnapshot(new StoreRevision(era, number).ordered(), List.of(entries));
    }

    private int usableServers() {
        return mState.usable(SERVICE, mNowNanos).size();
    }

    /** Guards against requests to servers that operators have taken out of service. */
    @Example
    void anEvacuationTakesServersOutUntilItsKeyIsRemoved() {
        applySnapshot(1, 2, entry(SERVER, 1, 2));
        LiveServer server = mState.usable(SERVICE, 0).get(0);
        mState.apply(new StoreChange(EVACUATION, ANY, 3));
        assertThat(usableServers()).isZero();
        assertThat(mState.servers().isUsable(server, 0)).isFalse();
        assertThat(mState.servers().registered()).containsExactly(server);
        mState.apply(new StoreChange(EVACUATION, null, 4));
        assertThat(usableServers()).isEqualTo(1);
        assertThat(mState.servers().isUsable(server, 0)).isTrue();
        assertThat(mEnded).containsExactly(DOMAIN);
    }

    /** Guards against an evacuation that goes on at a host which missed the removal of its key. */
    @Example
    void anEvacuationWhoseKeyASnapshotOfTheSameEraLacksEndsAtOnce() {
        applySnapshot(1, 3, entry(SERVER, 1, 2), entry(EVACUATION, 1, 3));
        assertThat(usableServers()).isZero();
        long changed = mState.lastChangeRevision();
        applySnapshot(1, 9, entry(SERVER, 1, 2));
        assertThat(usableServers()).isEqualTo(1);
        assertThat(mState.lastChangeRevision()).isGreaterThan(changed);
    }

    /** Guards against requests there between a restore and the operators' writing the key again. */
    @Example
    void anEvacuationThatARestoredStoreLacksIsKeptForABoundedTime() {
        applySnapshot(1, 90, entry(SERVER, 1, 2), entry(EVACUATION, 1, 90));
        applySnapshot(2, 20, entry(SERVER, 2, 2));
        mNowNanos = EvacuatedDomains.RETENTION_NANOS - 1;
        mState.endDueEvacuations();
        assertThat(usableServers()).isZero();
        mNowNanos++;
        mState.endDueEvacuations();
        assertThat(usableServers()).isEqualTo(1);
        assertThat(mEnded).containsExactly(DOMAIN);
    }

    @Example
    void anEvacuationThatIsWrittenAgainInARestoredStoreEndsWithItsKeyOnly() {
        applySnapshot(1, 90, entry(SERVER, 1, 2), entry(EVACUATION, 1, 90));
        applySnapshot(2, 20, entry(SERVER, 2, 2));
        mState.apply(new StoreChange(EVACUATION, ANY, entry(EVACUATION, 2, 21).revision()));
        mNowNanos = 2 * EvacuatedDomains.RETENTION_NANOS;
        mState.endDueEvacuations();
        assertThat(usableServers()).isZero();
        mState.apply(new StoreChange(EVACUATION, null, entry(EVACUATION, 2, 22).revision()));
        assertThat(usableServers()).isEqualTo(1);
    }

    private List<String> knownVersions() {
        return mState.versions().of(SERVICE).stream().map(SoftwareVersion::value).toList();
    }

    /** Guards against streams of two versions: what a restored store forgets has still served. */
    @Example
    void versionsThatARestoredStoreLacksAreKeptUntilTheyAreWrittenAgain() {
        StoreEntry both = versions(1, 90, "[\"v1\",\"v2\"]");
        mState.applySnapshot(both.revision(), List.of(both));
        StoreEntry former = versions(2, 20, "[\"v1\"]");
        mState.applySnapshot(former.revision(), List.of(former));
        assertThat(knownVersions()).containsExactly("v1", "v2");
        assertThat(mState.isVersionRecordIncomplete(SERVICE)).isTrue();

        StoreEntry again = versions(2, 21, "[\"v1\",\"v2\"]");
        mState.applySnapshot(again.revision(), List.of(again));
        assertThat(mState.isVersionRecordIncomplete(SERVICE)).isFalse();
        mState.applySnapshot(new StoreRevision(3, 5).ordered(), List.of());
        assertThat(knownVersions()).containsExactly("v1", "v2");
        assertThat(mState.isVersionRecordIncomplete(SERVICE)).isTrue();
    }

    /**
     * A host is ready once it has a routing table. If it applied the routing table first, requests
     * would arrive while no servers are known.
     */
    @Example
    void serversAreAppliedBeforeTheRoutingTable() {
        byte[] any = {1};
        mState.applySnapshot(
                3,
                List.of(new StoreEntry(TABLE, any, 2), new StoreEntry(new StoreKey("a"), any, 3)));
        assertThat(mDecoded).containsExactly("a", "table");
        assertThat(mState.table()).isPresent();
    }
}
