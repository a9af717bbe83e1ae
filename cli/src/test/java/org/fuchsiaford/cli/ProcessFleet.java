package org.fuchsiaford.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.fuchsiaford.standin.engine.EngineProfile;
import org.fuchsiaford.standin.engine.EngineStandin;
import org.fuchsiaford.standin.hostlist.HostListStandin;
import org.fuchsiaford.standin.service.ServiceStandin;
import org.fuchsiaford.standin.store.StoreStandin;
import reactor.netty.DisposableServer;

/**
 * Three entry hosts as separate processes and stand-ins in this process, on free ports of the
 * loopback interface. Not thread-safe.
 */
final class ProcessFleet implements AutoCloseable {
    static final String KEY = "example-key-customer-notes";
    static final String ORDER_KEY = "example-key-storefront";
    static final String REVOKED_KEY = "example-key-storefront-next";

    private static final String ENTRY_JAR = "../target/fuchsiaford-entry.jar";
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final Path mDirectory;
    private final List<DisposableServer> mServers = new ArrayList<>();

    /** The actual ports, by the name or the port number that the example files use. */
    private final Map<String, Integer> mPorts = new LinkedHashMap<>();

    private final List<Process> mHosts = new ArrayList<>();
    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private final StoreStandin mStore = new StoreStandin();
    private final HostListStandin mHostList = new HostListStandin();
    private final List<EngineStandin> mPrefill = new ArrayList<>();
    private final List<EngineStandin> mDecode = new ArrayList<>();
    private final List<ServiceStandin> mServices = new ArrayList<>();

    ProcessFleet() throws IOException {
        mDirectory = Files.createTempDirectory("fleet");
        mPorts.put("store", register(mStore.start(0)));
        mPorts.put("hostList", register(mHostList.start(0)));
        for (int i = 0; i < 2; i++) {
            mPrefill.add(new EngineStandin("prefill-" + (i + 1), EngineProfile.STANDARD));
            mDecode.add(new EngineStandin("decode-" + (i + 3), EngineProfile.STANDARD));
            mServices.add(new ServiceStandin("app-" + (i + 1)));
        }
        mPorts.put("9101", register(mPrefill.get(0).start(0)));
        mPorts.put("9102", register(mPrefill.get(1).start(0)));
        mPorts.put("9103", register(mDecode.get(0).start(0)));
        mPorts.put("9104", register(mDecode.get(1).start(0)));
        mPorts.put("9201", register(mServices.get(0).start(0)));
        mPorts.put("9202", register(mServices.get(1).start(0)));
        String publicKey = runCommand("keys", "signing", "--out", file("key").toString()).trim();
        writeSettings(publicKey);
        rollOut(1, bundleText(1));
        IntStream.range(0, 3).forEach(this::startHost);
        await(() -> IntStream.range(0, 3).allMatch(this::holdsSlotAndServes));
        await(() -> call(0, "GET", "/order-status/1", ORDER_KEY, "").statusCode() == 200);
    }

    StoreStandin store() {
        return mStore;
    }

    HostListStandin hostList() {
        return mHostList;
    }

    List<EngineStandin> prefill() {
        return mPrefill;
    }

    List<EngineStandin> decode() {
        return mDecode;
    }

    List<ServiceStandin> services() {
        return mServices;
    }

    private int register(DisposableServer server) {
        mServers.add(server);
        return server.port();
    }

    Path file(String name) {
        return mDirectory.resolve(name);
    }

    int port(String name) {
        return mPorts.get(name);
    }

    /** Returns the demo bundle with the ports of this fleet. */
    String bundleText(int version) throws IOException {
        String text = Files.readString(Path.of("../examples/demo.jsonc"));
        for (Map.Entry<String, Integer> port : mPorts.entrySet()) {
            text = text.replace("127.0.0.1:" + port.getKey(), "127.0.0.1:" + port.getValue());
        }
        return text.replace("\"version\": 1", "\"version\": " + version);
    }

    private void writeSettings(String publicKey) throws IOException {
        String text = Files.readString(Path.of("../examples/entry.jsonc"));
        text = text.replaceAll("\"signingKeys\": .*", "\"signingKeys\": [\"" + publicKey + "\"],");
        text = text.replace("127.0.0.1:9001", "127.0.0.1:" + port("store"));
        text = text.replace("127.0.0.1:9002", "127.0.0.1:" + port("hostList"));
        for (int i = 0; i < 3; i++) {
            // In the examples, 930x serve clients, 940x peers and 950x administration.
            for (String portPrefix : List.of("93", "94", "95")) {
                mPorts.put(portPrefix + "0" + (i + 1), freePort());
            }
            text = text.replace("127.0.0.1:940" + (i + 1), "127.0.0.1:" + port("940" + (i + 1)));
        }
        Files.writeString(file("entry.jsonc"), text);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    void startHost(int index) {
        List<String> domains = List.of("se-atl", "se-bhm", "se-chs");
        String number = "0" + (index + 1);
        ProcessBuilder builder =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx256m",
                        "-jar",
                        ENTRY_JAR,
                        "--settings",
                        file("entry.jsonc").toString(),
                        "--failureDomain",
                        domains.get(index),
                        "--callerAddress",
                        "127.0.0.1:" + port("93" + number),
                        "--peerAddress",
                        "127.0.0.1:" + port("94" + number),
                        "--adminAddress",
                        "127.0.0.1:" + port("95" + number));
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(new File(file("host-" + index).toString())));
        try {
            Process process = builder.start();
            if (mHosts.size() > index) {
                mHosts.set(index, process);
            } else {
                mHosts.add(process);
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    Process host(int index) {
        return mHosts.get(index);
    }

    /**
     * Kills a host and waits until its process has ended. The connections of a killed process may
     * end before {@link Process#isAlive} returns false.
     */
    void killHost(int index) {
        try {
            if (!host(index).destroyForcibly().waitFor(TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
                throw new IllegalStateException(
                        "killed host " + index + " has not ended within " + TIMEOUT);
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends a POSIX signal such as STOP or CONT to a host. */
    void sendSignal(int index, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(host(index).pid())).start().waitFor();
    }

    String logs() throws IOException {
        StringBuilder logs = new StringBuilder();
        for (int i = 0; i < mHosts.size(); i++) {
            logs.append(Files.readString(file("host-" + i)));
        }
        return logs.toString();
    }

    /** Returns whether a host holds a slot and serves requests. */
    boolean holdsSlotAndServes(int index) {
        JsonNode status = status(index);
        return status.path("serving").asBoolean() && status.has("slot");
    }

    JsonNode status(int index) {
        try {
            return MAPPER.readTree(get(index, "95", "/status"));
        } catch (IOException e) {
            return MAPPER.missingNode();
        }
    }

    private String get(int index, String portPrefix, String path) {
        URI uri = URI.create("http://127.0.0.1:" + port(portPrefix + "0" + (index + 1)) + path);
        try {
            return mClient.send(
                            HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(5)).build(),
                            HttpResponse.BodyHandlers.ofString())
                    .body();
        } catch (IOException e) {
            return "";
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private HttpRequest request(
            int index, String method, String path, String key, String body, String... headers) {
        URI uri = URI.create("http://127.0.0.1:" + port("930" + (index + 1)) + path);
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(uri)
                        .timeout(TIMEOUT)
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (!key.isEmpty()) {
            builder.header("Authorization", "Bearer " + key);
        }
        if (headers.length > 0) {
            builder.headers(headers);
        }
        return builder.build();
    }

    HttpResponse<String> call(
            int index, String method, String path, String key, String body, String... headers) {
        return callAsync(index, method, path, key, body, headers).join();
    }

    CompletableFuture<HttpResponse<String>> callAsync(
            int index, String method, String path, String key, String body, String... headers) {
        return mClient.sendAsync(
                request(index, method, path, key, body, headers),
                HttpResponse.BodyHandlers.ofString());
    }

    String completionRequest(int maxTokens, boolean stream) {
        return "{\"model\":\"note-writer\",\"prompt\":\"Secret subscriber history.\","
                + "\"max_tokens\":"
                + maxTokens
                + ",\"stream\":"
                + stream
                + "}";
    }

    int executions() {
        return mServices.stream().mapToInt(service -> service.executions().size()).sum();
    }

    /** Returns the number of KV cache blocks that requests hold on all engines. */
    int usedKvBlocks() {
        return mPrefill.stream().mapToInt(EngineStandin::allocatedBlocks).sum()
                + mDecode.stream().mapToInt(EngineStandin::allocatedBlocks).sum();
    }

    String rollOut(int version, String bundle) throws IOException {
        Files.writeString(file(version + ".jsonc"), bundle);
        String bundleFile = file(version + ".jsonc").toString();
        String signature = file(version + ".sig").toString();
        runCommand(
                "sign",
                "--bundle",
                bundleFile,
                "--key",
                file("key").toString(),
                "--out",
                signature);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        // The first bundle is accepted only after hosts have started, so do not wait for it.
        Thread thread =
                new Thread(
                        () ->
                                runUnchecked(
                                        out,
                                        "roll",
                                        "--bundle",
                                        bundleFile,
                                        "--signature",
                                        signature,
                                        "--store",
                                        storeUrl()));
        thread.start();
        if (version > 1) {
            join(thread);
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    String storeUrl() {
        return "http://127.0.0.1:" + port("store");
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void runUnchecked(ByteArrayOutputStream out, String... args) {
        try {
            Main.run(args, new PrintStream(out, true, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static String runCommand(String... args) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ExitCode code = Main.run(args, new PrintStream(out, true, StandardCharsets.UTF_8));
        if (code != ExitCode.OK) {
            throw new IllegalStateException(String.join(" ", args) + ": " + code);
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    /** Waits until a condition is met; the timeout only ends a test that hangs. */
    static void await(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new IllegalStateException("condition not met within " + TIMEOUT);
            }
            sleep(50);
        }
    }

    static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        mHosts.forEach(Process::destroyForcibly);
        mHosts.forEach(host -> host.onExit().join());
        mServers.forEach(DisposableServer::disposeNow);
    }
}
