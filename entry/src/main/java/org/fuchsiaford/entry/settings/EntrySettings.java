package org.fuchsiaford.entry.settings;

import java.util.List;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.peer.PeerAddress;

/**
 * The settings of the daemon. Immutable.
 *
 * @param failureDomain the failure domain that the host runs in
 * @param callerAddress the address that clients connect to
 * @param peerAddress the address that other entry hosts connect to
 * @param adminAddress the address that serves status and metrics
 * @param storeUrls the URLs of the platform's key-value store
 * @param hostListUrl the URL of the platform's host list, or empty
 * @param seedPeers the entry hosts to fetch the bundle from while the store is unavailable
 * @param signingKeys the public keys that bundle signatures are verified with
 * @param logLevel the minimum level that is logged
 * @param logJson whether log lines are written as JSON
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
