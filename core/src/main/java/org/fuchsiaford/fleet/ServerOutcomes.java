package org.fuchsiaford.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.fuchsiaford.backend.BackendServerId;

/**
 * The outcomes of the calls of a backend server since the last report. Immutable.
 *
 * @param server the server
 * @param calls the calls that it answered or failed
 * @param failures the calls that it failed
 * @param answerMicros how long its answers took together, in microseconds; zero if the sender does
 *     not tell
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"server", "calls", "failures", "answerMicros"})
public record ServerOutcomes(BackendServerId server, long calls, long failures, long answerMicros) {

    /** Returns the mean time of an answer in microseconds; zero if it is not known. */
    public long meanAnswerMicros() {
        return calls > failures ? answerMicros / (calls - failures) : 0;
    }

    /** Returns the sum of these and other outcomes of the same server. */
    public ServerOutcomes plus(ServerOutcomes other) {
        return new ServerOutcomes(
                server,
                calls + other.calls,
                failures + other.failures,
                answerMicros + other.answerMicros);
    }
}
