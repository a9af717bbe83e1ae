package org.fuchsiaford.entry.settings;

import java.util.List;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.peer.PeerAddress;

/**
 * The settings of the daemon. Immutable.
 *
 * @param failureDomain where the host runs
 * @param callerAddress where callers connect
 * @param peerAddress where other entry hosts connect
 * @param adminAddress where operators read status and metrics
 * @param storeUrls the addresses of the platform's key-value service
 * @param hostListUrl where the platform's list of hosts is read, or empty
 * @param seedPeers entry hosts to ask for the bundle while the store cannot be had
 * @param signingKeys the public keys that may sign bundles off
 * @param logLevel the lowest level that is logged
 * @param logJson whether log lines are JSON
 */
public record EntrySettings(
        FailureDomainId failureDomain,
        PeerAddress callerAddress,
        PeerAddress peerAddress,
        PeerAddress adminAddress,
        List<String> storeUrls,
        String hostListUrl,
        List<PeerAddress> seedPeers,
        List<String> signingKeys,
        String logLevel,
        boolean logJson) {}
