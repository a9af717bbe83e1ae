package org.fuchsiaford.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;
import org.fuchsiaford.quota.WorkspaceTotal;

/**
 * What an entry host tells the others several times a second. Immutable.
 *
 * @param host who speaks
 * @param accepting whether it takes new callers
 * @param stateRevision the store's revision up to which it knows all changes
 * @param admitted what it has admitted of each workspace
 * @param loads what it has under way at backend servers
 * @param waitingTokens the size of its requests that wait for an engine and can still be on time
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"host", "accepting", "stateRevision", "admitted", "loads", "waitingTokens"})
public record HostPulse(
        HostRecord host,
        boolean accepting,
        long stateRevision,
        List<WorkspaceTotal> admitted,
        List<ServerLoad> loads,
        long waitingTokens) {}
