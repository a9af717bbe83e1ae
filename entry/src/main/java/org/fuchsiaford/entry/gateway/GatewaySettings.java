package org.fuchsiaford.entry.gateway;

import java.util.List;
import java.util.Optional;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.bundle.RegionId;
import org.fuchsiaford.peer.PeerAddress;
import org.fuchsiaford.registry.RegionMap;

/**
 * The settings of an entry host that follows a live registry through an adapter. Immutable.
 *
 * @param adapter the name of the adapter
 * @param hostName the host name in logs
 * @param failureDomain the failure domain in which the host runs
 * @param region the region in which the host runs, if stated
 * @param regions the regions of the failure domains; without any, no request is bound to regions
 * @param cores the processor capacity of the host, in cores
 * @param callerAddress the address on which the host listens for callers
 * @param readinessAddress the address of the readiness endpoint
 * @param directoryAddress the address at which callers look up the hosts to use
 * @param peerAddress the address on which the host listens for other entry hosts
 * @param metricsAddress the address of the metrics endpoint
 * @param seedPeers the entry hosts to contact while no other host is reachable
 * @param storeAddress the address of the store
 * @param registrationSeconds the duration of the lease of the host's registration, in seconds
 * @param addressLifeSeconds how long callers cache the addresses of the hosts to use, in seconds
 * @param graceMillis the time from the stop signal until the process must have exited, in
 *     milliseconds
 * @param retryWindowMillis the length of the window of the retry budget, in milliseconds
 * @param retryRatio the retries allowed per request in the window, over all hosts
 * @param retrySlack the additional retries allowed in the window, over all hosts
 * @param limitWindowMillis the length of the window in which rate limits are counted, in
 *     milliseconds
 * @param orderLeaseSeconds the duration of the lease for sending stage orders, in seconds
 * @param measuredStageSplit whether the number of prefill engines follows the measured load where
 *     the declaration tells how long a change of stage takes
 * @param maxResponseBytes the maximum size of a response that is kept in memory until it is
 *     complete, in bytes
 * @param memory what the host may hold for its callers
 * @param sharedSeats whether the hosts share the seats of plain servers that are near full in the
 *     book of a coordinator
 * @param serverPace whether servers that have started or recovered are sent requests at a pace that
 *     is found from their answers
 * @param fairQueue whether kinds of request and workspaces have shares of the engines while
 *     requests wait
 */
public record GatewaySettings(
        String adapter,
        String hostName,
        FailureDomainId failureDomain,
        Optional<RegionId> region,
        RegionMap regions,
        double cores,
        PeerAddress callerAddress,
        PeerAddress readinessAddress,
        PeerAddress directoryAddress,
        PeerAddress peerAddress,
        PeerAddress metricsAddress,
        List<PeerAddress> seedPeers,
        PeerAddress storeAddress,
        long registrationSeconds,
        long addressLifeSeconds,
        long graceMillis,
        long retryWindowMillis,
        double retryRatio,
        double retrySlack,
        long limitWindowMillis,
        long orderLeaseSeconds,
        boolean measuredStageSplit,
        int maxResponseBytes,
        MemorySettings memory,
        boolean sharedSeats,
        boolean serverPace,
        boolean fairQueue) {}
