package org.fuchsiaford.registry;

import java.util.Optional;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.bundle.FailureDomainId;

/**
 * A backend server as described by its latest registration. Immutable.
 *
 * @param id the server ID; may stay the same across restarts
 * @param service the service that it provides
 * @param address the address on which it listens; may later be reused by another server
 * @param failureDomain the failure domain in which it runs
 * @param version the version of its software
 * @param maxConcurrentRequests the most requests that it runs concurrently
 * @param stage its stage, if it is a model engine
 * @param draining whether it is shutting down and accepts no new requests
 * @param startedMillis start time in Unix milliseconds; distinguishes runs of the same server
 */
public record LiveServer(
        BackendServerId id,
        ServiceId service,
        ServerAddress address,
        FailureDomainId failureDomain,
        SoftwareVersion version,
        int maxConcurrentRequests,
        Optional<EngineStage> stage,
        boolean draining,
        long startedMillis) {

    /** Returns the run of the server that this registration describes. */
    public ServerRun run() {
        return new ServerRun(id, startedMillis);
    }

    /** Returns whether the server is an engine of the given stage. */
    public boolean hasStage(EngineStage expected) {
        return stage.isPresent() && stage.get() == expected;
    }
}
