package org.fuchsiaford.store.hostlist;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.time.Duration;
import java.util.List;
import org.fuchsiaford.store.http.BoundedBody;
import org.fuchsiaford.store.http.CallConnection;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Reads the list of hosts as JSON over HTTP; enum values match in any case. Thread-safe. */
public final class HttpHostList implements HostList {
    private static final Duration READ_TIMEOUT = Duration.ofMillis(1_000);

    private static final int MAX_LIST_BYTES = 4 * 1024 * 1024;

    private final JsonMapper mMapper =
            JsonMapper.builder().enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS).build();
    private final HttpClient mClient =
            HttpClient.create(ConnectionProvider.newConnection()).disableRetry(true);
    private final String mUrl;

    /** Creates a client that reads the list from a URL. */
    public HttpHostList(String url) {
        mUrl = url;
    }

    @Override
    public Mono<List<ListedHost>> read() {
        return CallConnection.own(
                mClient,
                client ->
                        client.get()
                                .uri(mUrl)
                                .responseContent()
                                .asByteArray()
                                .as(body -> BoundedBody.join(body, MAX_LIST_BYTES))
                                .timeout(READ_TIMEOUT)
                                .flatMap(bytes -> Mono.fromCallable(() -> parse(bytes)))
                                .onErrorMap(HostListException::new));
    }

    private List<ListedHost> parse(byte[] bytes) throws java.io.IOException {
        return mMapper.readValue(bytes, new TypeReference<List<ListedHost>>() {});
    }
}
