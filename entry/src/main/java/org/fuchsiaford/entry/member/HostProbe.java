package org.fuchsiaford.entry.member;

import java.time.Duration;
import org.fuchsiaford.host.HostProcess;
import org.fuchsiaford.peer.PeerAddress;
import org.fuchsiaford.peer.PeerClient;
import org.fuchsiaford.peer.message.PeerMessage;
import reactor.core.publisher.Mono;

/**
 * Proves that a host process has ended: another process owns its address, which a host process
 * keeps until it ends. Silence or a refused connection proves nothing, since something between the
 * two ends may cause either.
 *
 * <p>Without such proofs a fleet that lost most members of a panel at once could not recover, since
 * nobody could be informed. Thread-safe.
 */
final class HostProbe {
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(400);

    private final HostAddresses mOwn;
    private final PeerClient mPeers;

    /** What a probe shows. */
    enum Result {
        /** The process answered. */
        ALIVE,
        /** The process has ended. */
        DEAD,
        /** Nothing answered. */
        NO_RESPONSE
    }

    HostProbe(HostAddresses own, PeerClient peers) {
        mOwn = own;
        mPeers = peers;
    }

    /** Probes a process. */
    Mono<Result> probe(HostProcess process) {
        if (process.peerAddress().equals(mOwn.peerAddress())) {
            return Mono.just(process.host().equals(mOwn.host()) ? Result.ALIVE : Result.DEAD);
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
