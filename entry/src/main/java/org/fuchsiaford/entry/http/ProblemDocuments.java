package org.fuchsiaford.entry.http;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.failure.RunState;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.request.RequestId;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/** Converts errors to problem documents (RFC 9457). Stateless, hence thread-safe. */
public final class ProblemDocuments {
    // Operators' log filters match this category, which is an earlier name of this class.
    private static final Logger LOG = Logger.getLogger("org.fuchsiaford.entry.http.Problems");
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private ProblemDocuments() {}

    /**
     * Returns an error as a refusal. An unexpected error is logged and becomes an internal error.
     *
     * @param runState the run state of an unexpected error
     */
    public static RefusalException refusalOf(Throwable error, RunState runState) {
        if (error instanceof RefusalException refusal) {
            return refusal;
        }
        LOG.error("unexpected error", error);
        return new RefusalException(
                RefusalReason.BACKEND_FAILED,
                runState,
                0,
                Step.FORWARD,
                org.fuchsiaford.failure.RemoteName.SELF,
                "internal error");
    }

    /** Returns the problem document for a refusal. */
    public static ObjectNode document(RefusalException refusal, RequestId request) {
        ObjectNode document = MAPPER.createObjectNode();
        document.put("type", "about:blank").put("status", refusal.reason().status());
        document.put("title", refusal.reason().wireName());
        document.put("detail", refusal.getMessage());
        document.put("run", refusal.runState().wireName());
        document.put("request", request.value());
        if (refusal.retryAfterMillis() > 0) {
            document.put("retryAfterMillis", refusal.retryAfterMillis());
        }
        return document;
    }

    /**
     * Sends a refusal. {@code Retry-After} is set, in seconds rounded up, if the client may retry.
     */
    public static Mono<Void> send(
            HttpServerResponse response, RefusalException refusal, RequestId request) {
        response.status(refusal.reason().status())
                .header("Content-Type", "application/problem+json")
                .header("X-Request-Id", request.value());
        if (refusal.retryAfterMillis() > 0) {
            response.header("Retry-After", Long.toString(ceilSeconds(refusal.retryAfterMillis())));
        }
        if (refusal.reason() == RefusalReason.UNAUTHENTICATED) {
            response.header("WWW-Authenticate", "Bearer");
        }
        return response.sendString(Mono.just(document(refusal, request).toString())).then();
    }

    private static long ceilSeconds(long millis) {
        long second = TimeUnit.SECONDS.toMillis(1);
        return (millis + second - 1) / second;
    }
}
