package org.fuchsiaford.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Example;
import org.fuchsiaford.TestServers;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.SoftwareVersion;

/** The versions that are recorded for a service, and what follows from them. */
class VersionRetentionTest {
    private static final ServiceId SERVICE = new ServiceId("s");
    private static final SoftwareVersion OLD = new SoftwareVersion("v1");
    private static final SoftwareVersion NEW = new SoftwareVersion("v2");
    private static final long RETENTION_NANOS = 100;

    private final VersionRetention mRetention = new VersionRetention();
    private final ServedVersions mVersions = new ServedVersions();

    private Optional<List<SoftwareVersion>> update(
            List<SoftwareVersion> recorded, Set<SoftwareVersion> registered, long nowNanos) {
        return mRetention.update(SERVICE, recorded, registered, RETENTION_NANOS, nowNanos);
    }

    @Example
    void aNewVersionIsAddedAndAFormerOneDroppedAfterTheRetention() {
        assertThat(update(List.of(OLD), Set.of(OLD, NEW), 0)).contains(List.of(OLD, NEW));
        assertThat(update(List.of(OLD, NEW), Set.of(NEW), 10)).isEmpty();
        assertThat(update(List.of(OLD, NEW), Set.of(NEW), 109)).isEmpty();
        assertThat(update(List.of(OLD, NEW), Set.of(NEW), 110)).contains(List.of(NEW));
    }

    @Example
    void aVersionThatComesBackIsRetainedAnew() {
        assertThat(update(List.of(OLD, NEW), Set.of(NEW), 0)).isEmpty();
        assertThat(update(List.of(OLD, NEW), Set.of(OLD, NEW), 50)).isEmpty();
        assertThat(update(List.of(OLD, NEW), Set.of(NEW), 120)).isEmpty();
        assertThat(update(List.of(OLD, NEW), Set.of(NEW), 219)).isEmpty();
        assertThat(update(List.of(OLD, NEW), Set.of(NEW), 220)).contains(List.of(NEW));
    }

    @Example
    void streamsAreRetainedForSeveralTimeouts() {
        assertThat(VersionRetention.retentionNanos(14_000)).isEqualTo(60_000_000_000L);
        assertThat(VersionRetention.retentionNanos(100_000)).isEqualTo(400_000_000_000L);
    }

    private static LiveServer server(String id) {
        return TestServers.engine(id, EngineStage.DECODE);
    }

    @Example
    void theOnlyVersionIsStatedOnlyIfNoServerHasAnother() {
        List<LiveServer> servers = List.of(server("a"), server("b"));
        assertThat(mVersions.only(SERVICE, servers)).isEmpty();
        mVersions.replace(SERVICE, List.of(OLD));
        assertThat(mVersions.only(SERVICE, servers)).contains(OLD);
        mVersions.replace(SERVICE, List.of(NEW));
        assertThat(mVersions.only(SERVICE, servers)).isEmpty();
        mVersions.replace(SERVICE, List.of(OLD, NEW));
        assertThat(mVersions.only(SERVICE, servers)).isEmpty();
        assertThat(mVersions.isMixed(SERVICE)).isTrue();
    }

    @Example
    void serversOfVersionsThatAreNotRecordedServeOnlyIfNoOthersAreLeft() {
        List<LiveServer> servers = List.of(server("a"));
        mVersions.replace(SERVICE, List.of(NEW));
        assertThat(mVersions.admitted(SERVICE, servers)).isEqualTo(servers);
        mVersions.replace(SERVICE, List.of(OLD, NEW));
        assertThat(mVersions.admitted(SERVICE, servers)).isEqualTo(servers);
    }
}
