package org.fuchsiaford.selection;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.prompt.PromptPartId;
import org.fuchsiaford.registry.SoftwareVersion;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.TokenCounts;

/**
 * A model request that needs engines. Times are on the monotonic clock of the scheduling host.
 * Immutable.
 *
 * @param host the entry host that serves the request
 * @param domain the failure domain of that host
 * @param request the id of the request
 * @param service the service whose engines it needs
 * @param tokens its token counts
 * @param promptParts the parts of its prompt, as far as they are known
 * @param priority its priority; zero is the highest
 * @param failed the engines that must not serve it, since they have failed it or want no requests
 *     from its host
 * @param version the software version that began its stream, at which alone it may go on; empty if
 *     no event of it has been passed on
 * @param targetMillis the target for the time to the first event, in milliseconds
 * @param arrivedNanos when it arrived at its host
 * @param eventDeadlineNanos latest first event for which the caller waits
 * @param deadlineNanos when the caller stops waiting for the end
 * @param attributes its route, workspace and what else its engines are chosen by
 */
public record EngineRequest(
        HostId host,
        FailureDomainId domain,
        RequestId request,
        ServiceId service,
        TokenCounts tokens,
        List<PromptPartId> promptParts,
        int priority,
        Set<BackendServerId> failed,
        Optional<SoftwareVersion> version,
        long targetMillis,
        long arrivedNanos,
        long eventDeadlineNanos,
        long deadlineNanos,
        RequestAttributes attributes) {}
