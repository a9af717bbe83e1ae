package org.fuchsiaford.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.host.HostId;

/**
 * The registration of an entry host. Immutable.
 *
 * @param id identifies one run of the host's process
 * @param failureDomain the failure domain in which it runs
 * @param callerAddress where callers (the clients that send requests) connect, {@code ip:port}
 * @param peerAddress where other entry hosts connect, {@code ip:port}
 * @param cores the processor capacity of the host, in cores
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"id", "failureDomain", "callerAddress", "peerAddress", "cores"})
public record HostRecord(
        HostId id,
        FailureDomainId failureDomain,
        String callerAddress,
        String peerAddress,
        double cores) {}
