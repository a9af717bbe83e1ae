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
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.ServerAddress;
import org.fuchsiaford.registry.ServerRegistry;
import org.fuchsiaford.registry.SoftwareVersion;
import org.fuchsiaford.routing.RequestLimits;
import org.fuchsiaford.routing.RoutingTable;
import org.fuchsiaford.store.StoreEntry;
import org.fuchsiaford.store.StoreKey;
import org.fuchsiaford.store.StoreKeys;
import org.fuchsiaford.store.StoreRevision;

/** Tests the order in which a host applies the entries of a store snapshot. */
class GatewayStateTest {
    private static final FailureDomainId DOMAIN = new FailureDomainId("z");
    private static final StoreKey TABLE = new StoreKey("table");

    private static final ServiceId SERVICE = new ServiceId("app");

    private final List<String> mDecoded = new ArrayList<>();
    private final GatewayState mState =
            new GatewayState(
                    new RecordingDecoder(),
                    new ServerRegistry(),
                    new FleetView(
                            new HostRecord(new HostId("h"), DOMAIN, "1.1.1.1:1", "1.1.1.1:2", 1)),
                    new DecisionLog("h"),
                    () -> 0,
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
            return isRoutingTable(key) || key.value().startsWith("/fuchsiaford/")
                    ? Optional.empty()
                    : Optional.of(new BackendServerId(key.value()));
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
