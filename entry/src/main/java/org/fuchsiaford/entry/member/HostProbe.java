package org.fuchsiaford.entry.member;

import java.time.Duration;
import org.fuchsiaford.host.HostProcess;
import org.fuchsiaford.peer.PeerAddress;
import org.fuchsiaford.peer.PeerClient;
import org.fuchsiaford.peer.message.PeerMessage;
import reactor.core.publisher.Mono;

/**
 * Determines whether a host process has ended. It is proved to have ended if another process
 * answers at its address, because a host process keeps its address until it ends. A time-out or a
 * refused connection proves nothing, because a fault in the network can cause either.
 *
 * <p>Without such a proof a fleet that lost a majority of a grantor set at once could not recover,
 * because the lost grantors would never acknowledge a notice. Thread-safe.
 */
final class HostProbe {
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(400);

    private final HostAddresses mOwnAddresses;
    private final PeerClient mPeers;

    /** The result of a probe. */
    enum Result {
        /** The process answered. */
        ALIVE,
        /** Another process answered at the address, so the probed process has ended. */
        DEAD,
        /** No response; the process may be alive or dead. */
        NO_RESPONSE
    }

    HostProbe(HostAddresses ownAddresses, PeerClient peers) {
        mOwnAddresses = ownAddresses;
        mPeers = peers;
    }

    /** Probes a process; a failed call gives {@link Result#NO_RESPONSE}. */
    Mono<Result> probe(HostProcess process) {
        if (process.peerAddress().equals(mOwnAddresses.peerAddress())) {
            return Mono.just(
                    process.host().equals(mOwnAddresses.host()) ? Result.ALIVE : Result.DEAD);
        }
        return mPeers.call(
                        PeerAddress.parse(process.peerAddress()),
                        new PeerMessage.Identify(),
                        PeerMessage.IdentityResponse.class,
                        PROBE_TIMEOUT)
                .map(identity -> identity.host().equals(process.host()))
                .map(same -> same ? Result.ALIVE : Result.DEAD)
                .onErrorReturn(Result.NO_RESPONSE);
    }
}
