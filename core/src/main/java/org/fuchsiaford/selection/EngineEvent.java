package org.fuchsiaford.selection;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.request.RequestId;

/**
 * What a host reports to the scheduler that granted engines to one of its requests, or about a
 * server that it has called. Immutable.
 *
 * @param kind what has happened
 * @param request the request; null for {@link Kind#CALLED}
 * @param server the server that was called; null for the other kinds
 * @param outcome the outcome of the call; null for the other kinds
 * @param durationNanos the duration of the call, of the prefill, or the time since the grant; zero
 *     if it does not matter
 * @param gapNanos the mean time between the events of a complete stream; zero if not stated, as by
 *     builds before this one
 * @param longestGapNanos the longest time between its events; zero if not stated
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({
    "kind",
    "request",
    "server",
    "outcome",
    "durationNanos",
    "gapNanos",
    "longestGapNanos"
})
public record EngineEvent(
        Kind kind,
        RequestId request,
        BackendServerId server,
        AttemptOutcome outcome,
        long durationNanos,
        long gapNanos,
        long longestGapNanos) {

    /** The kinds of events. */
    public enum Kind {
        /** The prefill engine has read the prompt. */
        PREFILLED,
        /** The prompt has been read by an earlier call; no prefill is needed. */
        PREFILL_NOT_NEEDED,
        /** The decode engine has to read the prompt itself. */
        PREFILL_FAILED,
        /** The first event of the stream has arrived. */
        FIRST_EVENT,
        /** The stream is complete; the engines are released. */
        COMPLETED,
        /** The engines are released without a complete stream. */
        RELEASED,
        /** The decode engine has broken the stream off, maybe by a crash; both are released. */
        BROKEN_OFF,
        /** The request no longer waits for engines. */
        CANCELLED,
        /** A server was called for any request. */
        CALLED,
        /** The server did not run the request that it was granted for, since it was full. */
        REJECTED
    }

    /** Creates an event of a request. */
    public static EngineEvent of(Kind kind, RequestId request, long durationNanos) {
        return new EngineEvent(kind, request, null, null, durationNanos, 0, 0);
    }

    /** Creates the event that a stream is complete. */
    public static EngineEvent completed(RequestId request, long durationNanos, StreamPace pace) {
        return new EngineEvent(
                Kind.COMPLETED,
                request,
                null,
                null,
                durationNanos,
                pace.gapNanos(),
                pace.longestGapNanos());
    }

    /** Returns how the events of a complete stream followed each other. */
    public StreamPace pace() {
        return new StreamPace(gapNanos, longestGapNanos);
    }

    /** Creates an event about a server. */
    public static EngineEvent called(
            BackendServerId server, AttemptOutcome outcome, long durationNanos) {
        return new EngineEvent(Kind.CALLED, null, server, outcome, durationNanos, 0, 0);
    }
}
