package org.fuchsiaford.entry.gateway;

import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.fuchsiaford.entry.gateway.protocol.Adapter;
import org.fuchsiaford.entry.settings.SettingsException;
import org.fuchsiaford.peer.PeerAddress;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * Runs two hosts on the loopback interface briefly and sends a few requests to one of them, so that
 * the runtime can write an archive of the classes that a host needs for its startup. Not
 * thread-safe.
 */
final class WarmUp {
    private static final Duration RUN_TIME = Duration.ofSeconds(3);
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int REQUEST_COUNT = 20;

    private WarmUp() {}

    /** Runs the hosts; throws an unchecked exception if a host cannot listen. */
    static void run(Adapter adapter) throws IOException, SettingsException {
        HangupSignal.handle(() -> {});
        GatewaySettings first = hostSettings(adapter, "warm-up-1", "");
        GatewaySettings second =
                hostSettings(adapter, "warm-up-2", "\"" + first.peerAddress() + "\"");
        List<GatewayHost> hosts =
                Stream.of(first, second).map(s -> new GatewayHost(s, adapter)).toList();
        hosts.forEach(host -> host.start().block(TIMEOUT));
        Flux.range(0, REQUEST_COUNT).concatMap(i -> sendRequest(first)).blockLast(TIMEOUT);
        Mono.delay(RUN_TIME).block();
        hosts.forEach(host -> host.close().block(TIMEOUT));
    }

    private static Mono<Integer> sendRequest(GatewaySettings settings) {
        return HttpClient.create()
                .post()
                .uri("http://" + settings.callerAddress() + "/")
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(new byte[] {1})))
                .responseSingle((response, body) -> Mono.just(response.status().code()));
    }

    /** Parses the settings from text, so that the classes of the settings reader are archived. */
    private static GatewaySettings hostSettings(Adapter adapter, String name, String seed)
            throws IOException, SettingsException {
        String text =
                """
                // Settings of a warm-up host; the comment exercises the parser.
                {"adapter":"%s","hostName":"%s","failureDomain":"warm-up",
                 "processorShare":1,"processorCores":1,"callerAddress":"%s",
                 "readinessAddress":"%s","directoryAddress":"%s","peerAddress":"%s",
                 "metricsAddress":"%s","seedPeers":[%s],"storeAddress":"%s",
                 "registrationSeconds":3,"addressLifeSeconds":3,"graceSeconds":3,
                 "retryWindowSeconds":3,"retryRatio":0.2,"retrySlack":10,"orderLeaseSeconds":3}
                """
                        .formatted(
                                adapter.name(),
                                name,
                                freeAddress(),
                                freeAddress(),
                                freeAddress(),
                                freeAddress(),
                                freeAddress(),
                                seed,
                                freeAddress());
        return new GatewaySettingsReader().read(text);
    }

    private static PeerAddress freeAddress() throws IOException {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (ServerSocket socket = new ServerSocket(0, 1, loopback)) {
            return new PeerAddress(loopback.getHostAddress(), socket.getLocalPort());
        }
    }
}
