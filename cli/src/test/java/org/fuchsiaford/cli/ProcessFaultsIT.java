package org.fuchsiaford.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.fuchsiaford.standin.FaultMode;

/** Faults of hosts, backend servers and the store, with entry hosts as separate processes. */
class ProcessFaultsIT {
    private static ProcessFleet sFleet;

    @BeforeContainer
    static void start() throws IOException {
        sFleet = new ProcessFleet();
    }

    @AfterContainer
    static void stop() {
        sFleet.close();
    }

    @AfterProperty
    void resetFaults() {
        sFleet.services().forEach(service -> service.setFault(FaultMode.NONE));
        sFleet.services().forEach(service -> service.setDelay(Duration.ZERO));
        Stream.concat(sFleet.prefill().stream(), sFleet.decode().stream())
                .forEach(
                        engine -> {
                            engine.setFault(FaultMode.NONE);
                            engine.setBreakAfterTokens(Integer.MAX_VALUE);
                            engine.setStallTransfers(false);
                        });
        IntStream.range(0, 3).filter(i -> !sFleet.host(i).isAlive()).forEach(sFleet::startHost);
        ProcessFleet.await(() -> IntStream.range(0, 3).allMatch(sFleet::holdsSlotAndServes));
        ProcessFleet.await(() -> sFleet.usedKvBlocks() == 0);
    }

    private static HttpResponse<String> order(int host, String idempotencyKey) {
        return sFleet.call(
                host,
                "POST",
                "/orders",
                ProcessFleet.ORDER_KEY,
                "{}",
                "Idempotency-Key",
                idempotencyKey);
    }

    private static void assertRunsOnce(FaultMode fault, String key) {
        int before = sFleet.executions();
        sFleet.services().forEach(service -> service.setFault(fault));
        HttpResponse<String> first = order(0, key);
        assertThat(first.statusCode()).isEqualTo(502);
        assertThat(first.body()).contains("\"run\":\"unknown\"");
        sFleet.services().forEach(service -> service.setFault(FaultMode.NONE));
        HttpResponse<String> repeat = order(1, key);
        assertThat(repeat.statusCode()).isEqualTo(409);
        assertThat(repeat.body()).contains("\"run\":\"unknown\"");
        assertThat(sFleet.executions() - before).isLessThanOrEqualTo(1);
    }

    @Example
    void orderWithTruncatedResponseRunsOnce() {
        assertRunsOnce(FaultMode.BREAK_ANSWERS, "broken-answer");
    }

    @Example
    void orderWithLostResponseRunsOnce() {
        assertRunsOnce(FaultMode.LOSE_REPLIES, "lost-answer");
    }

    @Example
    void orderToUnresponsiveServiceRunsOnce() {
        assertRunsOnce(FaultMode.SILENT, "silent");
    }

    @Example
    void orderWithoutIdempotencyKeyIsNotRetried() {
        int before = sFleet.executions();
        sFleet.services().forEach(service -> service.setFault(FaultMode.BREAK_ANSWERS));
        HttpResponse<String> response =
                sFleet.call(0, "POST", "/orders", ProcessFleet.ORDER_KEY, "{}");
        assertThat(response.body()).contains("\"run\":\"unknown\"");
        assertThat(response.headers().firstValue("Retry-After")).isEmpty();
        assertThat(sFleet.executions() - before).isEqualTo(1);
    }

    @Example
    void repeatableRequestIsRetriedUntilItSucceeds() {
        sFleet.services().get(0).setFault(FaultMode.BREAK_ANSWERS);
        List<Integer> statuses =
                IntStream.range(0, 10)
                        .map(
                                i ->
                                        sFleet.call(
                                                        0,
                                                        "GET",
                                                        "/order-status/1",
                                                        ProcessFleet.ORDER_KEY,
                                                        "")
                                                .statusCode())
                        .boxed()
                        .toList();
        assertThat(statuses).containsOnly(200);
    }

    @Example
    void orderInFlightWhenItsHostIsKilledRunsOnce() {
        int before = sFleet.executions();
        sFleet.services().forEach(s -> s.setDelay(Duration.ofSeconds(3)));
        CompletableFuture<HttpResponse<String>> response =
                sFleet.callAsync(
                        2,
                        "POST",
                        "/orders",
                        ProcessFleet.ORDER_KEY,
                        "{}",
                        "Idempotency-Key",
                        "killed-host");
        ProcessFleet.await(() -> sFleet.executions() == before + 1);
        sFleet.killHost(2);
        assertThat(response.handle((result, e) -> e).join()).isNotNull();
        HttpResponse<String> repeat = order(0, "killed-host");
        assertThat(repeat.statusCode()).isEqualTo(409);
        assertThat(repeat.body()).contains("\"run\":\"unknown\"");
        assertThat(sFleet.executions() - before).isEqualTo(1);
    }

    @Example
    void orderWithIdempotencyKeyIsRefusedDuringStoreOutage() {
        int before = sFleet.executions();
        sFleet.store().setFault(FaultMode.DOWN);
        HttpResponse<String> response = order(0, "outage");
        HttpResponse<String> orderStatus =
                sFleet.call(0, "GET", "/order-status/1", ProcessFleet.ORDER_KEY, "");
        sFleet.store().setFault(FaultMode.NONE);
        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(response.body()).contains("\"run\":\"not-run\"");
        assertThat(orderStatus.statusCode()).as("other requests are served").isEqualTo(200);
        assertThat(sFleet.executions() - before).isEqualTo(1);
        assertThat(order(1, "outage").statusCode()).isEqualTo(200);
    }

    @Example
    void backendsGetNoKeyAndLogsContainNeitherKeyNorPrompt() throws IOException {
        sFleet.call(
                0,
                "GET",
                "/order-status/1",
                ProcessFleet.ORDER_KEY,
                "",
                "X-Debug",
                "key=" + ProcessFleet.ORDER_KEY);
        sFleet.call(
                0, "POST", "/v1/completions", ProcessFleet.KEY, sFleet.completionRequest(2, false));
        String seen =
                sFleet.services().toString()
                        + sFleet.services().stream().flatMap(s -> s.executions().stream()).toList()
                        + sFleet.prefill().stream()
                                .flatMap(e -> e.completionRequests().stream())
                                .toList()
                        + sFleet.decode().stream()
                                .flatMap(e -> e.completionRequests().stream())
                                .toList();
        assertThat(seen).contains("Secret subscriber history").doesNotContain("example-key");
        assertThat(sFleet.logs())
                .doesNotContain("example-key")
                .doesNotContain("Secret subscriber history");
    }

    private static String text(HttpResponse<String> stream) {
        return stream.body()
                .lines()
                .filter(line -> line.startsWith("data: {"))
                .map(line -> line.replaceAll(".*\"text\":\"([^\"]*)\".*", "$1"))
                .reduce("", String::concat);
    }

    @Example
    void brokenStreamResumesAtTheSamePosition() {
        String body = sFleet.completionRequest(8, true);
        HttpResponse<String> complete =
                sFleet.call(0, "POST", "/v1/completions", ProcessFleet.KEY, body);
        sFleet.decode().forEach(engine -> engine.setBreakAfterTokens(3));
        HttpResponse<String> resumed =
                sFleet.call(0, "POST", "/v1/completions", ProcessFleet.KEY, body);
        assertThat(text(resumed)).isEqualTo(text(complete)).hasSize(8 * 4);
        assertThat(resumed.body()).endsWith("data: [DONE]\n\n");
    }

    @Example
    void streamThatCannotResumeEndsWithAnErrorAndWithoutDoneMarker() {
        sFleet.decode().forEach(engine -> engine.setBreakAfterTokens(1));
        HttpResponse<String> response =
                sFleet.call(
                        0,
                        "POST",
                        "/v1/completions",
                        ProcessFleet.KEY,
                        sFleet.completionRequest(40, true));
        assertThat(response.body()).contains("event: error").doesNotContain("[DONE]");
    }

    @Example
    void cancelledRequestReleasesEngineMemory() {
        CompletableFuture<HttpResponse<String>> response =
                sFleet.callAsync(
                        0,
                        "POST",
                        "/v1/completions",
                        ProcessFleet.KEY,
                        sFleet.completionRequest(2_000, true));
        ProcessFleet.await(() -> sFleet.usedKvBlocks() > 0);
        response.cancel(true);
        ProcessFleet.await(() -> sFleet.usedKvBlocks() == 0);
    }

    @Example
    void killedHostReleasesEngineMemory() {
        sFleet.callAsync(
                1,
                "POST",
                "/v1/completions",
                ProcessFleet.KEY,
                sFleet.completionRequest(2_000, true));
        ProcessFleet.await(() -> sFleet.usedKvBlocks() > 0);
        sFleet.killHost(1);
        ProcessFleet.await(() -> sFleet.usedKvBlocks() == 0);
    }

    @Example
    void refusingPrefillEngineIsSkipped() {
        sFleet.prefill().get(0).setFault(FaultMode.DOWN);
        List<Integer> statuses =
                IntStream.range(0, 6)
                        .map(
                                i ->
                                        sFleet.call(
                                                        i % 3,
                                                        "POST",
                                                        "/v1/completions",
                                                        ProcessFleet.KEY,
                                                        sFleet.completionRequest(2, false))
                                                .statusCode())
                        .boxed()
                        .toList();
        assertThat(statuses).containsOnly(200);
    }

    @Example
    void unresponsivePrefillEngineIsSkipped() {
        sFleet.prefill().get(0).setFault(FaultMode.SILENT);
        for (int i = 0; i < 2; i++) {
            assertThat(post(sFleet.completionRequest(2, false), ProcessFleet.KEY).statusCode())
                    .isEqualTo(200);
        }
    }

    @Example
    void refusalAfterPrefillIsNotReportedAsNotRun() {
        sFleet.decode().forEach(engine -> engine.setFault(FaultMode.DOWN));
        HttpResponse<String> response = post(sFleet.completionRequest(2, false), ProcessFleet.KEY);
        assertThat(response.statusCode()).isIn(502, 503);
        assertThat(response.body()).contains("\"run\":\"unknown\"");
    }

    @Example
    void stalledTransferReleasesEngineMemory() {
        sFleet.prefill().forEach(engine -> engine.setStallTransfers(true));
        HttpResponse<String> response =
                sFleet.call(
                        0,
                        "POST",
                        "/v1/completions",
                        ProcessFleet.KEY,
                        sFleet.completionRequest(2, false));
        assertThat(response.statusCode()).isEqualTo(502);
        ProcessFleet.await(() -> sFleet.usedKvBlocks() == 0);
    }

    @Example
    void gracefulShutdownCompletesAllRequests() {
        List<CompletableFuture<HttpResponse<String>>> responses =
                IntStream.range(0, 12)
                        .mapToObj(
                                i ->
                                        sFleet.callAsync(
                                                2,
                                                "POST",
                                                "/v1/completions",
                                                ProcessFleet.KEY,
                                                sFleet.completionRequest(100, true)))
                        .toList();
        ProcessFleet.await(() -> sFleet.status(2).path("inFlight").asInt() == 12);
        sFleet.host(2).destroy();
        responses.forEach(
                response -> assertThat(response.join().body()).endsWith("data: [DONE]\n\n"));
        assertThat(sFleet.host(2).onExit().join().exitValue()).isEqualTo(143);
    }

    @Example
    void frozenHostThatResumesDoesNotAcceptARevokedKey() throws IOException, InterruptedException {
        sFleet.sendSignal(1, "STOP");
        String bundle = sFleet.bundleText(2).replaceAll(".*example-key-storefront-next.*\n", "");
        String output = sFleet.rollOut(2, bundle);
        sFleet.sendSignal(1, "CONT");
        HttpResponse<String> response =
                sFleet.call(1, "GET", "/order-status/1", ProcessFleet.REVOKED_KEY, "");
        assertThat(output).contains("accepted");
        assertThat(response.statusCode()).isIn(401, 503);
        assertThat(response.body()).contains("\"run\":\"not-run\"");
    }

    @Example
    void leavingServerGetsNoNewRequests() {
        sFleet.hostList().setState("127.0.0.1:" + sFleet.port("9201"), "leaving");
        ProcessFleet.sleep(3_000);
        int before = sFleet.services().get(0).executions().size();
        IntStream.range(0, 30)
                .forEach(
                        i ->
                                sFleet.call(
                                        i % 3,
                                        "GET",
                                        "/order-status/1",
                                        ProcessFleet.ORDER_KEY,
                                        ""));
        sFleet.hostList().setState("127.0.0.1:" + sFleet.port("9201"), "live");
        assertThat(sFleet.services().get(0).executions()).hasSize(before);
    }

    @Example
    void invalidRequestsGetSpecificStatusCodes() {
        assertThat(post("{", ProcessFleet.KEY).statusCode()).isEqualTo(400);
        assertThat(post("{\"model\":\"none\",\"prompt\":\"x\"}", ProcessFleet.KEY).statusCode())
                .isEqualTo(404);
        assertThat(post(sFleet.completionRequest(1, false), "").statusCode()).isEqualTo(401);
        assertThat(post(" ".repeat(5_000_000), ProcessFleet.KEY).statusCode()).isEqualTo(413);
        assertThat(sFleet.call(0, "GET", "/nowhere", ProcessFleet.KEY, "").statusCode())
                .isEqualTo(404);
        assertThat(sFleet.call(0, "DELETE", "/orders", ProcessFleet.ORDER_KEY, "").statusCode())
                .isEqualTo(405);
        assertThat(sFleet.call(0, "POST", "/orders", ProcessFleet.KEY, "").statusCode())
                .isEqualTo(403);
        assertThat(
                        sFleet.call(
                                        0,
                                        "GET",
                                        "/order-status/1",
                                        ProcessFleet.ORDER_KEY,
                                        "",
                                        "X-Long",
                                        "x".repeat(20_000))
                                .statusCode())
                .isIn(413, 431);
    }

    @Example
    void slowSenderIsRefused() throws IOException {
        try (Socket socket = new Socket("127.0.0.1", sFleet.port("9301"))) {
            String head =
                    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n"
                            + "Authorization: Bearer "
                            + ProcessFleet.KEY
                            + "\r\n\r\n{";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            assertThat(reader.readLine()).contains("408");
        }
        ProcessFleet.await(() -> sFleet.status(0).path("inFlight").asInt() == 0);
    }

    private static HttpResponse<String> post(String body, String key) {
        return sFleet.call(0, "POST", "/v1/completions", key, body);
    }
}
