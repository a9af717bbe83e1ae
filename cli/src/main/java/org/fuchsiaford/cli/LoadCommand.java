package org.fuchsiaford.cli;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.UniformReservoir;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Sends a limited number of completion requests to entry hosts and reports the results. */
final class LoadCommand implements Command {
    private static final int MAX_REQUESTS = 100_000;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(60);

    private OptionSpec<String> mHosts;
    private OptionSpec<String> mKey;
    private OptionSpec<String> mModel;
    private OptionSpec<Integer> mRequests;
    private OptionSpec<Integer> mRate;
    private OptionSpec<Integer> mPromptBytes;
    private OptionSpec<Integer> mMaxTokens;

    private final Map<Integer, AtomicInteger> mStatusCounts = new ConcurrentHashMap<>();
    private final Histogram mLatencyMicros = new Histogram(new UniformReservoir());

    @Override
    public String name() {
        return "load";
    }

    @Override
    public String summary() {
        return "send a limited number of completion requests and report the results";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        mHosts =
                parser.accepts("hosts", "addresses of entry hosts, http://ip:port,...")
                        .withRequiredArg()
                        .withValuesSeparatedBy(',')
                        .required();
        mKey = parser.accepts("key-file", "file with the API key").withRequiredArg().required();
        mModel = parser.accepts("model", "model name").withRequiredArg().required();
        mRequests = integerOption(parser, "requests", "number of requests", 100);
        mRate = integerOption(parser, "rate", "requests per second", 10);
        mPromptBytes =
                integerOption(parser, "prompt-bytes", "length of each prompt in bytes", 4_000);
        mMaxTokens = integerOption(parser, "max-tokens", "maximum number of output tokens", 32);
    }

    private static OptionSpec<Integer> integerOption(
            OptionParser parser, String name, String description, int defaultValue) {
        return parser.accepts(name, description)
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(defaultValue);
    }

    @Override
    public void run(OptionSet options, Output output) throws CommandException {
        int requests = options.valueOf(mRequests);
        int rate = options.valueOf(mRate);
        if (requests < 1 || requests > MAX_REQUESTS || rate < 1) {
            throw new CommandException(
                    ExitCode.USAGE,
                    "--requests must be between 1 and "
                            + MAX_REQUESTS
                            + ", --rate must be positive");
        }
        String key = TextFiles.read(options.valueOf(mKey)).trim();
        List<String> hosts = options.valuesOf(mHosts);
        HttpClient client =
                HttpClient.create(ConnectionProvider.create("load", MAX_REQUESTS))
                        .disableRetry(true)
                        .headers(h -> h.set("Authorization", "Bearer " + key));
        Flux.interval(Duration.ofNanos(TimeUnit.SECONDS.toNanos(1) / rate))
                .onBackpressureBuffer()
                .take(requests)
                .flatMap(
                        i ->
                                send(
                                        client,
                                        hosts.get((int) (i % hosts.size())),
                                        requestBody(options, i)),
                        MAX_REQUESTS)
                .blockLast();
        report(output);
    }

    private String requestBody(OptionSet options, long index) {
        ObjectNode body = Output.newObject().put("model", options.valueOf(mModel));
        String prompt = "request " + index + " ";
        int repeats = Math.max(options.valueOf(mPromptBytes) / prompt.length(), 1);
        body.put("prompt", prompt.repeat(repeats));
        return body.put("max_tokens", options.valueOf(mMaxTokens)).toString();
    }

    private Mono<Integer> send(HttpClient client, String host, String body) {
        long startNanos = System.nanoTime();
        return client.post()
                .uri(host + "/v1/completions")
                .send(ByteBufFlux.fromString(Mono.just(body)))
                .responseSingle(
                        (response, content) ->
                                content.asString()
                                        .defaultIfEmpty("")
                                        .thenReturn(response.status().code()))
                .timeout(REQUEST_TIMEOUT)
                .onErrorReturn(0)
                .doOnNext(status -> record(status, System.nanoTime() - startNanos));
    }

    private void record(int status, long elapsedNanos) {
        mStatusCounts.computeIfAbsent(status, s -> new AtomicInteger()).incrementAndGet();
        mLatencyMicros.update(TimeUnit.NANOSECONDS.toMicros(elapsedNanos));
    }

    private void report(Output output) {
        Snapshot snapshot = mLatencyMicros.getSnapshot();
        ObjectNode object = Output.newObject();
        ObjectNode statuses = object.putObject("statuses");
        new TreeMap<>(mStatusCounts)
                .forEach((status, count) -> statuses.put(Integer.toString(status), count.get()));
        object.put("medianMicros", (long) snapshot.getMedian());
        object.put("p95Micros", (long) snapshot.get95thPercentile());
        output.print(
                String.format(
                        "statuses %s (0: no response), latency median %.1f ms, 95th percentile %.1f"
                                + " ms",
                        statuses,
                        snapshot.getMedian() / 1_000,
                        snapshot.get95thPercentile() / 1_000),
                object);
    }
}
