package org.fuchsiaford.standin.hostlist;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsiaford.standin.Json;
import org.fuchsiaford.standin.Standin;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * A stand-in for the platform's list of hosts. {@code POST /standin/hosts} with a body such as
 * {@code {"address": "...", "state": "leaving"}} changes an entry. Thread-safe.
 */
public final class HostListStandin implements Standin {
    private final Map<String, String> mStates = new ConcurrentHashMap<>();

    /**
     * Sets the state of a host.
     *
     * @param address the address of the host
     * @param state {@code live} or {@code leaving}; {@code gone} removes the host from the list
     */
    public void setState(String address, String state) {
        if (state.equals("gone")) {
            mStates.remove(address);
        } else {
            mStates.put(address, state);
        }
    }

    @Override
    public DisposableServer start(int port) {
        return HttpServer.create()
                .host("127.0.0.1")
                .port(port)
                .route(
                        routes ->
                                routes.get("/hosts", this::list)
                                        .post("/standin/hosts", this::change))
                .bindNow();
    }

    private Publisher<Void> list(HttpServerRequest request, HttpServerResponse response) {
        var list = Json.object().putArray("hosts");
        mStates.forEach(
                (address, state) -> list.addObject().put("address", address).put("state", state));
        return Json.send(response, 200, list);
    }

    private Publisher<Void> change(HttpServerRequest request, HttpServerResponse response) {
        return Json.body(request)
                .doOnNext(this::apply)
                .flatMap(body -> Mono.from(Json.send(response, 200, Json.object())));
    }

    private void apply(JsonNode body) {
        setState(body.path("address").asText(), body.path("state").asText());
    }
}
