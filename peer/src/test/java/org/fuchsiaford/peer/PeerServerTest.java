package org.fuchsiaford.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import net.jqwik.api.Example;
import org.fuchsiaford.peer.message.PeerMessage;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;

/** A server of messages between hosts, over real connections. */
class PeerServerTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final PeerClient mClient = new TcpPeerClient();

    private PeerMessage call(PeerAddress address) {
        return mClient.call(
                        address, new PeerMessage.FetchHead(), PeerMessage.Success.class, TIMEOUT)
                .block();
    }

    /** Clients keep their connections; one that outlives its host would make it look alive. */
    @Example
    void aStoppedServerAnswersOnNoConnection() {
        PeerServer server =
                new PeerServer(
                        new PeerAddress("127.0.0.1", 0),
                        message -> Mono.just(new PeerMessage.Success()));
        DisposableServer bound = server.start().block(TIMEOUT);
        PeerAddress address = new PeerAddress("127.0.0.1", bound.port());
        assertThat(call(address)).isEqualTo(new PeerMessage.Success());

        bound.disposeNow(TIMEOUT);

        assertThatThrownBy(() -> call(address)).hasCauseInstanceOf(PeerException.class);
    }
}
