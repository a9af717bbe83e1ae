package org.fuchsiaford.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import com.sun.management.ThreadMXBean;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import net.jqwik.api.Example;
import org.fuchsiaford.peer.message.PeerMessage;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;

/**
 * What another host, or whatever listens at its address, can make a host keep in memory with bytes
 * that do not end.
 */
class PeerEndlessBytesTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final long MAX_DECODE_BYTES = 16 * 1024 * 1024;

    /** Far more than the sockets of both ends hold. */
    private static final int MAX_SENT_BYTES = 64 * 1024 * 1024;

    private static final int REQUEST_BYTES = 1024;
    private static final int RESPONSE_BYTES = 4 * 1024;

    /** A fourth of the heap of a small host. */
    private static final int MAX_KEPT_BYTES = 24 * 1024 * 1024;

    private static final PeerMessage REQUEST = new PeerMessage.Failure("x".repeat(REQUEST_BYTES));
    private static final PeerMessage RESPONSE = new PeerMessage.Failure("x".repeat(RESPONSE_BYTES));

    /** Longer than any pause of a test; then the other end neither reads nor closes. */
    private static final Duration STALL = Duration.ofSeconds(8);

    /** MessagePack values that announce 2 GB: binary, extension, text, list and map. */
    private static final List<String> ANNOUNCED =
            List.of("c67fffffef", "c97fffffef01", "db7fffffef", "dd7fffffef", "df7fffffef");

    private static byte[] hex(String digits) {
        return HexFormat.of().parseHex(digits);
    }

    private static long allocatedBytes() {
        return ((ThreadMXBean) ManagementFactory.getThreadMXBean())
                .getCurrentThreadAllocatedBytes();
    }

    /** Guards against memory of an announced size, which a host with a small heap cannot have. */
    @Example
    void aValueIsNotGivenMoreMemoryThanItsFrameHas() throws IOException {
        PeerCodec.decode(PeerCodec.encode(new PeerFrame(1, false, REQUEST)));
        for (String value : ANNOUNCED) {
            // As the ID, as the message, as a text of the message and as an unknown field.
            for (String frame :
                    List.of(
                            "93" + value,
                            "9301c2" + value,
                            "9301c292a158" + "81a6726561736f6e" + value,
                            "9301c292a166" + "81a178" + value)) {
                long before = allocatedBytes();
                Throwable failure =
                        catchThrowable(() -> PeerCodec.decode(Unpooled.wrappedBuffer(hex(frame))));
                assertThat(allocatedBytes() - before).as(frame).isLessThan(MAX_DECODE_BYTES);
                assertThat(failure).as(frame).isInstanceOf(IOException.class);
            }
        }
    }

    private static byte[] frame(PeerMessage message) throws IOException {
        byte[] bytes = new byte[2 * REQUEST_BYTES];
        var encoded = PeerCodec.encode(new PeerFrame(1, false, message));
        int size = encoded.readableBytes();
        encoded.readBytes(bytes, 0, size);
        return ByteBuffer.allocate(4 + size).putInt(size).put(bytes, 0, size).array();
    }

    private static DisposableServer serve(Function<PeerMessage, Mono<PeerMessage>> handler) {
        return new PeerServer(new PeerAddress("127.0.0.1", 0), handler::apply)
                .start()
                .block(TIMEOUT);
    }

    /** Sends bytes again and again until the other end closes; returns whether it does. */
    private static CompletableFuture<Boolean> send(Socket socket, byte[] bytes, long maxBytes) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        for (long sent = 0; sent < maxBytes; sent += bytes.length) {
                            socket.getOutputStream().write(bytes);
                        }
                        return false;
                    } catch (IOException e) {
                        return true;
                    }
                });
    }

    private static void sendUntilClosed(Socket socket, byte[] bytes, long maxBytes) {
        assertThat(send(socket, bytes, maxBytes)).succeedsWithin(STALL).isEqualTo(true);
    }

    private static void sendUntilClosed(DisposableServer server, byte[] bytes, long maxBytes)
            throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            sendUntilClosed(socket, bytes, maxBytes);
        }
    }

    /** Guards against responses that are kept for a host that sends requests and reads nothing. */
    @Example
    void aHostThatReadsNoResponsesIsCutOff() throws IOException {
        AtomicInteger requests = new AtomicInteger();
        DisposableServer server =
                serve(
                        message -> {
                            requests.incrementAndGet();
                            return Mono.just(RESPONSE);
                        });
        sendUntilClosed(server, frame(REQUEST), MAX_SENT_BYTES);
        assertThat(requests.get()).isLessThan(MAX_KEPT_BYTES / RESPONSE_BYTES);
        server.disposeNow(TIMEOUT);
    }

    /** Guards against requests that are kept until they are answered, which may never be. */
    @Example
    void requestsThatWaitWithoutEndAreBounded() throws IOException {
        AtomicInteger requests = new AtomicInteger();
        DisposableServer server =
                serve(
                        message -> {
                            requests.incrementAndGet();
                            return Mono.never();
                        });
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            assertThat(send(socket, frame(REQUEST), MAX_SENT_BYTES)).succeedsWithin(STALL);
        }
        assertThat(requests.get()).isLessThan(MAX_KEPT_BYTES / REQUEST_BYTES);
        server.disposeNow(TIMEOUT);
    }

    /** Guards against a connection that is read on after a length that no frame has. */
    @Example
    void aFrameThatIsTooLongClosesTheConnection() throws IOException {
        DisposableServer server = serve(message -> Mono.just(new PeerMessage.Success()));
        for (String length : List.of("7fffffff", "ffffffff", "00200001")) {
            byte[] noise = new byte[64 * 1024];
            System.arraycopy(hex(length), 0, noise, 0, 4);
            sendUntilClosed(server, noise, MAX_SENT_BYTES);
        }
        server.disposeNow(TIMEOUT);
    }

    /** Guards against calls that wait on, or read on, at an address that sends noise. */
    @Example
    void aCallToAnEndlessAddressEndsAndItsConnectionIsClosed() throws Exception {
        byte[] noise = new byte[64 * 1024];
        Arrays.fill(noise, (byte) 0xc0);
        byte[] longFrame = Arrays.copyOf(hex("7fffffff"), noise.length);
        byte[] http = "HTTP/1.1 200 OK\r\n".repeat(4_000).getBytes(StandardCharsets.ISO_8859_1);
        for (byte[] bytes : List.of(noise, longFrame, http)) {
            try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                Mono<PeerMessage.Success> call =
                        new TcpPeerClient()
                                .call(
                                        new PeerAddress("127.0.0.1", listener.getLocalPort()),
                                        new PeerMessage.FetchHead(),
                                        PeerMessage.Success.class,
                                        TIMEOUT);
                CompletableFuture<PeerMessage.Success> response = call.toFuture();
                try (Socket socket = listener.accept()) {
                    sendUntilClosed(socket, bytes, MAX_SENT_BYTES);
                }
                assertThat(response).failsWithin(STALL);
            }
        }
    }
}
