package org.fuchsiaford.entry.http;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fuchsiaford.entry.member.Authenticator;
import org.fuchsiaford.entry.member.ServingView;
import org.fuchsiaford.entry.member.SlotDirectory;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.host.SlotRecord;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Serves {@code GET /v1/entry-hosts}: the addresses that a caller should use, best first, and until
 * when. The home slots of the caller's workspace come first, since they admit its requests without
 * asking others.
 *
 * <p>Thread-safe.
 */
public final class EntryHostsHandler {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final int VALID_SECONDS = 10;

    private final Authenticator mAuthenticator;
    private final SlotDirectory mDirectory;

    /** Creates a handler. */
    public EntryHostsHandler(Authenticator authenticator, SlotDirectory directory) {
        mAuthenticator = authenticator;
        mDirectory = directory;
    }

    /** Answers a request; a key is needed, since the answer depends on the workspace. */
    Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        return Mono.fromCallable(() -> answer(request.requestHeaders()))
                .flatMap(
                        answer ->
                                response.header("Content-Type", "application/json")
                                        .header("Cache-Control", "max-age=" + VALID_SECONDS)
                                        .sendString(Mono.just(answer.toString()))
                                        .then());
    }

    private ObjectNode answer(HttpHeaders headers) throws RefusalException {
        Authenticator.Authenticated caller = mAuthenticator.authenticate(headers);
        ObjectNode answer = MAPPER.createObjectNode();
        ArrayNode hosts = answer.putArray("hosts");
        order(caller).stream()
                .map(mDirectory::record)
                .flatMap(Optional::stream)
                .forEach(record -> hosts.add("http://" + record.callerAddress()));
        answer.put("validUntil", Instant.now().plusSeconds(VALID_SECONDS).toString());
        return answer;
    }

    private List<SlotId> order(Authenticator.Authenticated caller) {
        ServingView view = caller.view();
        List<SlotId> serving = mDirectory.servingRecords().stream().map(SlotRecord::slot).toList();
        List<SlotId> order = new ArrayList<>(view.index().homes().homesOf(caller.workspace()));
        order.retainAll(serving);
        mDirectory.rankServing("callers/" + caller.workspace().id()).stream()
                .filter(slot -> !order.contains(slot))
                .forEach(order::add);
        return order;
    }
}
