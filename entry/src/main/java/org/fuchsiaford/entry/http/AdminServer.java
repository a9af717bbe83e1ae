package org.fuchsiaford.entry.http;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.bundle.BundleHead;
import org.fuchsiaford.entry.member.Membership;
import org.fuchsiaford.entry.member.ServingView;
import org.fuchsiaford.entry.metrics.EntryMetrics;
import org.fuchsiaford.entry.metrics.PrometheusText;
import org.fuchsiaford.peer.PeerAddress;
import org.fuchsiaford.time.Ticker;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Serves {@code /status} and {@code /metrics} on the admin address. Thread-safe. */
public final class AdminServer {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final PeerAddress mAddress;
    private final Membership mMembership;
    private final InFlightRequests mInFlight;
    private final EntryMetrics mMetrics;
    private final Ticker mTicker;

    /** Creates a server; call {@link #start} to listen. */
    public AdminServer(
            PeerAddress address,
            Membership membership,
            InFlightRequests inFlight,
            EntryMetrics metrics,
            Ticker ticker) {
        mAddress = address;
        mMembership = membership;
        mInFlight = inFlight;
        mMetrics = metrics;
        mTicker = ticker;
    }

    /** Starts listening; completes with the server, whose disposal stops it. */
    public Mono<? extends DisposableServer> start() {
        return HttpServer.create()
                .host(mAddress.host())
                .port(mAddress.port())
                .route(routes -> routes.get("/status", this::status).get("/metrics", this::metrics))
                .bind();
    }

    private Publisher<Void> metrics(HttpServerRequest request, HttpServerResponse response) {
        String text = PrometheusText.write(mMetrics.registry());
        return response.header("Content-Type", "text/plain; version=0.0.4")
                .sendString(Mono.just(text));
    }

    private Publisher<Void> status(HttpServerRequest request, HttpServerResponse response) {
        return response.header("Content-Type", "application/json")
                .sendString(Mono.just(status().toString()));
    }

    private ObjectNode status() {
        ObjectNode status = MAPPER.createObjectNode();
        status.put("host", mMembership.host().value());
        status.put("serving", mMembership.isServing());
        status.put("leaving", mInFlight.isLeaving());
        status.put("inFlight", mInFlight.count());
        mMembership
                .heldSlot()
                .ifPresent(
                        held ->
                                status.put("slot", held.slot().value())
                                        .put("incarnation", held.incarnation().number()));
        mMembership.views().stream().findFirst().ifPresent(view -> addBundle(status, view));
        status.set("workspaces", MAPPER.valueToTree(mMetrics.summaries()));
        return status;
    }

    private void addBundle(ObjectNode status, ServingView view) {
        BundleHead head = view.head();
        long remainingNanos = view.lease().remainingNanos(mTicker.nowNanos());
        status.put("generation", head.generation().number());
        status.put("bundleVersion", head.bundleVersion());
        status.put("accepted", head.accepted());
        status.put("leaseMillis", TimeUnit.NANOSECONDS.toMillis(remainingNanos));
    }
}
