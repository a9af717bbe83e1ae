package org.fuchsiaford.selection;

import java.util.Set;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.fairness.Kind;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * A plain request that needs a seat of a server. Times are on the monotonic clock of the host that
 * keeps the book. Immutable.
 *
 * @param host the entry host that serves the request
 * @param domain the failure domain of that host
 * @param request the id of this attempt of the request
 * @param service the service whose server it needs
 * @param kind its route and priority
 * @param workspace its workspace; null if it has none
 * @param excluded the servers that must not serve it
 * @param targetNanos when its answer is late
 * @param deadlineNanos when the caller stops waiting
 */
public record SeatRequest(
        HostId host,
        FailureDomainId domain,
        RequestId request,
        ServiceId service,
        Kind kind,
        WorkspaceId workspace,
        Set<BackendServerId> excluded,
        long targetNanos,
        long deadlineNanos) {}
