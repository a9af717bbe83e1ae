package org.fuchsiaford.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.prompt.QuarantinedPrompt;
import org.fuchsiaford.registry.ServerRun;
import org.fuchsiaford.serverlimit.ColdServer;
import org.fuchsiaford.serverlimit.NamedLimit;

/**
 * What a coordinator answers to a heartbeat: the state of the fleet as far as it hears from it.
 * Immutable.
 *
 * @param coordinator the sender
 * @param stateRevision the store revision of the latest change of its state, within its era
 * @param available the hosts that it hears from and that accept new callers, itself included
 * @param loads the load of all hosts on each backend server
 * @param failing the servers that fail a notable part of their calls
 * @param leaving the servers that have told a host that they are leaving
 * @param quarantined the parts of prompts that it refuses, since they crash engines
 * @param limits what servers have said about the requests that they take
 * @param stateEra the era of the store revision; zero if the sender does not know eras
 * @param cold the servers that are cold; null from hosts of an earlier build
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({
    "coordinator",
    "stateRevision",
    "available",
    "loads",
    "failing",
    "leaving",
    "quarantined",
    "limits",
    "stateEra",
    "cold"
})
public record FleetSummary(
        HostRecord coordinator,
        long stateRevision,
        List<HostId> available,
        List<ServerLoad> loads,
        List<FailureRate> failing,
        List<ServerRun> leaving,
        List<QuarantinedPrompt> quarantined,
        List<NamedLimit> limits,
        long stateEra,
        List<ColdServer> cold) {}
