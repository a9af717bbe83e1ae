package org.fuchsiaford.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.prompt.QuarantinedPrompt;
import org.fuchsiaford.quota.WorkspaceTotal;
import org.fuchsiaford.registry.ServerRun;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.serverlimit.ColdServer;
import org.fuchsiaford.serverlimit.NamedLimit;
import org.fuchsiaford.stream.BegunStreams;

/**
 * The state that an entry host sends to a coordinator several times a second. Immutable.
 *
 * <p>Invariant: nothing that the receiving coordinator has granted itself is contained in {@code
 * admitted} or {@code loads}, so it is not counted twice.
 *
 * @param host the sender
 * @param ageMillis the age of its process, in milliseconds
 * @param accepting whether it accepts new callers
 * @param stateRevision the store revision of the latest change of its state, within its era
 * @param admitted the tokens that it has admitted for each workspace
 * @param loads its load in progress on backend servers
 * @param held its requests that hold engines granted by the receiver
 * @param outcomes the outcomes of its calls since the last report, if the receiver is the one it
 *     asks
 * @param waiting its requests queued for engines that can still meet their target, by service
 * @param leaving the servers that have told it that they are leaving
 * @param quarantined the parts of prompts that it refuses, since they crash engines
 * @param limits what servers have said about the requests that they take
 * @param begun its streams that began lately, of services that serve several software versions
 * @param stateEra the era of the store revision; zero if the sender does not know eras
 * @param cold the servers that it has lately found to be cold; null from hosts of an earlier build
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({
    "host",
    "ageMillis",
    "accepting",
    "stateRevision",
    "admitted",
    "loads",
    "held",
    "outcomes",
    "waiting",
    "leaving",
    "quarantined",
    "limits",
    "begun",
    "stateEra",
    "cold"
})
public record HostHeartbeat(
        HostRecord host,
        long ageMillis,
        boolean accepting,
        long stateRevision,
        List<WorkspaceTotal> admitted,
        List<ServerLoad> loads,
        List<RequestId> held,
        List<ServerOutcomes> outcomes,
        List<QueuedWork> waiting,
        List<ServerRun> leaving,
        List<QuarantinedPrompt> quarantined,
        List<NamedLimit> limits,
        List<BegunStreams> begun,
        long stateEra,
        List<ColdServer> cold) {

    /** Returns the tokens queued for a service that can still meet their target. */
    public long waitingTokens(ServiceId service) {
        return waiting.stream()
                .filter(work -> work.service().equals(service))
                .mapToLong(QueuedWork::tokens)
                .sum();
    }
}
