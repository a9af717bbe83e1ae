package org.fuchsiaford.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.quota.WorkspaceTotal;

/**
 * What an entry host tells the others several times a second. Immutable.
 *
 * @param host who speaks
 * @param accepting whether it takes new callers
 * @param stateRevision the store's revision up to which it knows all changes
 * @param admitted what it has admitted of each workspace
 * @param loads what it has under way at backend servers
 * @param waiting its requests that wait for engines and can still be on time, by service
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"host", "accepting", "stateRevision", "admitted", "loads", "waiting"})
public record HostHeartbeat(
        HostRecord host,
        boolean accepting,
        long stateRevision,
        List<WorkspaceTotal> admitted,
        List<ServerLoad> loads,
        List<QueuedWork> waiting) {

    /** Returns the tokens of its requests that wait for a service and can still be on time. */
    public long waitingTokens(ServiceId service) {
        return waiting.stream()
                .filter(work -> work.service().equals(service))
                .mapToLong(QueuedWork::tokens)
                .sum();
    }
}
