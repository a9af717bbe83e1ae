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
 * Runs two hosts on the loopback interface for a moment and sends them a few requests, so that the
 * runtime can write an archive of the classes that a host needs at its start. Not thread-safe.
 */
final class WarmUp {
    private static final Duration LENGTH = Duration.ofSeconds(3);
    private static final Duration PATIENCE = Duration.ofSeconds(10);
    private static final int REQUESTS = 20;

    private WarmUp() {}

    /** Runs; fails with an unchecked error if a host cannot listen. */
    static void run(Adapter adapter) throws IOException, SettingsException {
        HangupSignal.handle(() -> {});
        GatewaySettings first = settings(adapter, "warm-up-1", "");
        GatewaySettings second = settings(adapter, "warm-up-2", "\"" + first.peerAddress() + "\"");
        List<GatewayHost> hosts =
                Stream.of(first, second).map(s -> new GatewayHost(s, adapter)).toList();
        hosts.forEach(host -> host.start().block(PATIENCE));
        Flux.range(0, REQUESTS).concatMap(i -> request(first)).blockLast(PATIENCE);
        Mono.delay(LENGTH).block();
        hosts.forEach(host -> host.close().block(PATIENCE));
    }

    private static Mono<Integer> request(GatewaySettings settings) {
        return HttpClient.create()
                .post()
                .uri("http://" + settings.callerAddress() + "/")
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(new byte[] {1})))
                .responseSingle((response, body) -> Mono.just(response.status().code()));
    }

    /** Goes through the reader of settings, since every start does. */
    private static GatewaySettings settings(Adapter adapter, String name, String seed)
            throws IOException, SettingsException {
        String text =
                """
                // Settings of a host that runs for a moment.
                {"adapter":"%s","hostName":"%s","failureDomain":"warm-up","callerAddress":"%s",
                 "readinessAddress":"%s","directoryAddress":"%s","peerAddress":"%s",
                 "metricsAddress":"%s","seedPeers":[%s],"storeAddress":"%s",
                 "registrationSeconds":3,"addressLifeSeconds":3,"graceMillis":3000,
                 "retryWindowMillis":3000,"retryRatio":0.2,"retrySlack":10,"orderLeaseSeconds":3}
                """
                        .formatted(
                                adapter.name(),
                                name,
                                free(),
                                free(),
                                free(),
                                free(),
                                free(),
                                seed,
                                free());
        return new GatewaySettingsReader().read(text);
    }

    private static PeerAddress free() throws IOException {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (ServerSocket socket = new ServerSocket(0, 1, loopback)) {
            return new PeerAddress(loopback.getHostAddress(), socket.getLocalPort());
        }
    }
}
