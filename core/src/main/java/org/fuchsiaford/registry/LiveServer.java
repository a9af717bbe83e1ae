package org.fuchsiaford.registry;

import java.util.Optional;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.bundle.FailureDomainId;

/**
 * A backend server as it last described itself. Immutable.
 *
 * @param id the server; a restarted one may keep it
 * @param service the service that it runs
 * @param address where it listens; later another server may listen there
 * @param failureDomain where it runs
 * @param seats requests that it runs at once
 * @param stage its part if it is a model engine
 * @param draining whether it is about to leave and takes no new work
 * @param startedMillis when it started, in Unix milliseconds; tells one run of a server from the
 *     next
 */
public record LiveServer(
        BackendServerId id,
        ServiceId service,
        ServerAddress address,
        FailureDomainId failureDomain,
        int seats,
        Optional<EngineStage> stage,
        boolean draining,
        long startedMillis) {

    /** Returns whether the server has the given part. */
    public boolean hasStage(EngineStage wanted) {
        return stage.isPresent() && stage.get() == wanted;
    }
}
