package org.fuchsiaford.entry.gateway.forward;

import java.time.Duration;
import java.util.concurrent.TimeoutException;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.Step;
import reactor.core.publisher.Flux;

/** Reads the error responses of engines, limited in size and time. Thread-safe. */
final class RejectionReader {
    private static final Duration TIMEOUT = Duration.ofMillis(2_000);

    private final ResponseMemory mMemory;

    RejectionReader(ResponseMemory memory) {
        mMemory = memory;
    }

    /** Reads an error response and fails with an exception that contains its parts. */
    Flux<ResponsePart> read(RemoteName server, Flux<ResponsePart> parts) {
        return mMemory.collect(Step.DECODE, server, parts)
                .timeout(TIMEOUT)
                .onErrorMap(TimeoutException.class, e -> incomplete(server))
                .flatMapMany(response -> Flux.error(rejection(server, response)));
    }

    private static BackendCallException incomplete(RemoteName server) {
        return new BackendCallException(
                Step.DECODE,
                server,
                AttemptOutcome.UNKNOWN,
                "no complete error response within the timeout");
    }

    private static BackendCallException rejection(RemoteName server, CompleteResponse response) {
        return new BackendCallException(
                Step.DECODE,
                server,
                response.head().outcome(),
                "status " + response.head().status(),
                response.parts());
    }
}
