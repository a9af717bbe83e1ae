package org.fuchsiaford.entry.gateway;

import java.util.List;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.peer.PeerAddress;

/**
 * The settings of an entry host that follows a live registry through an adapter. Immutable.
 *
 * @param adapter the adapter's name
 * @param hostName the host's name in logs
 * @param failureDomain where the host runs
 * @param callerAddress where callers connect
 * @param readinessAddress where the host's readiness is asked for
 * @param directoryAddress where callers ask which hosts to use
 * @param peerAddress where other entry hosts connect
 * @param metricsAddress where metrics are served
 * @param seedPeers entry hosts to ask while none is known from the store
 * @param storeAddress the store
 * @param registrationSeconds the life of the host's registration without renewal, in seconds
 * @param addressLifeSeconds how long callers keep the answer which hosts to use, in seconds
 * @param graceMillis the time between the signal to stop and the end, in milliseconds
 * @param retryWindowMillis the window of the retry budget, in milliseconds
 * @param retryRatio repeats for each request in the window, over all hosts
 * @param retrySlack repeats beyond that in the window, over all hosts
 * @param orderLeaseSeconds the life of the right to order engines without renewal, in seconds
 */
public record GatewaySettings(
        String adapter,
        String hostName,
        FailureDomainId failureDomain,
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
        long retrySlack,
        long orderLeaseSeconds) {}
