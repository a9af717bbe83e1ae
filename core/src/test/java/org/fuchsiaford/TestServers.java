package org.fuchsiaford;

import java.util.Optional;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.registry.EngineStage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.ServerAddress;
import org.fuchsiaford.registry.SoftwareVersion;

/** Creates live servers for tests. */
public final class TestServers {
    public static final ServiceId SERVICE = new ServiceId("service");

    private TestServers() {}

    /** Returns a server of a plain service that runs at most six requests concurrently. */
    public static LiveServer plain(String id, String domain) {
        return server(id, domain, Optional.empty(), false, 1);
    }

    /** Returns a model engine in the given stage. */
    public static LiveServer engine(String id, EngineStage stage) {
        return server(id, "here", Optional.of(stage), false, 1);
    }

    /** Returns a model engine in the given stage, of the given software version. */
    public static LiveServer engine(String id, EngineStage stage, String version) {
        LiveServer server = engine(id, stage);
        return new LiveServer(
                server.id(),
                server.service(),
                server.address(),
                server.failureDomain(),
                new SoftwareVersion(version),
                server.maxConcurrentRequests(),
                server.stage(),
                server.draining(),
                server.startedMillis());
    }

    /** Returns a server that runs at most six requests concurrently. */
    public static LiveServer server(
            String id,
            String domain,
            Optional<EngineStage> stage,
            boolean draining,
            long startedMillis) {
        return new LiveServer(
                new BackendServerId(id),
                SERVICE,
                new ServerAddress("10.0.0.1", 80),
                new FailureDomainId(domain),
                new SoftwareVersion("v1"),
                6,
                stage,
                draining,
                startedMillis);
    }
}
