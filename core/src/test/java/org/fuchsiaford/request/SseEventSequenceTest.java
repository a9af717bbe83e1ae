package org.fuchsiaford.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;

/** Guards against joining events that do not continue each other, and against refusing others. */
class SseEventSequenceTest {
    private static String accepted(String lastEventId, String events) {
        SseEventSequence sequence = new SseEventSequence();
        sequence.continueAfter(Optional.ofNullable(lastEventId));
        byte[] bytes = events.getBytes(StandardCharsets.UTF_8);
        int length = sequence.accept(bytes);
        assertThat(sequence.violation().isPresent()).isEqualTo(length < bytes.length);
        return new String(bytes, 0, length, StandardCharsets.UTF_8);
    }

    @Example
    void aContinuationBeginsWithTheNextId() {
        List.of("id: 8\ndata: a\n\n", "id:8\r\ndata: a\r\n\r\n", ": c\n\nv: 2\nid: 8\rdata: a\r\r")
                .forEach(events -> assertThat(accepted("7", events)).isEqualTo(events));
        List.of("id: 7\ndata: a\n\n", "id: 9\ndata: a\n\n", "id: x\n\n", "data: a\n\n", "id:\n\n")
                .forEach(events -> assertThat(accepted("7", events)).as(events).isEmpty());
    }

    @Example
    void idsIncreaseAndMayLeaveGapsWithinAResponse() {
        assertThat(accepted(null, "id: 3\n\nid: 5\n\nid: 10\n\n")).endsWith("id: 10\n\n");
        assertThat(accepted(null, "id: 3\n\nid: 5\n\nid: 5\n\n")).isEqualTo("id: 3\n\nid: 5\n\n");
        assertThat(accepted(null, "id: 3\n\nid: 2\n\nid: 4\n\n")).isEqualTo("id: 3\n\n");
    }

    @Example
    void idsThatAreNoNumbersOnlyHaveToDiffer() {
        assertThat(accepted("a", "id: b\ndata: 1\n\n")).isNotEmpty();
        assertThat(accepted("a", "id: a\ndata: 1\n\n")).isEmpty();
        assertThat(accepted("a", "data: 1\n\n")).isEmpty();
    }

    @Example
    void otherLinesAreNoEvents() {
        List.of(
                        "HTTP/1.1 500 Error\r\nContent-Type: a\r\n\r\n",
                        "id: 8\ndata: a\nHTTP/1.1 500 Error\nContent-Type: a\n\n",
                        "{\"error\":1}\n\n",
                        "id: 8\nfailed\n\n")
                .forEach(lines -> assertThat(accepted("7", lines)).as(lines).isEmpty());
    }

    @Example
    void anEventWithoutIdCannotBeContinued() {
        SseEventSequence sequence = new SseEventSequence();
        assertThat(sequence.isLastIdentified()).isTrue();
        sequence.accept("id: 1\n\ndata: a\n\n".getBytes(StandardCharsets.UTF_8));
        assertThat(sequence.isLastIdentified()).isFalse();
        assertThat(sequence.lastEventId()).contains("1");
        sequence.accept("id: 2\n\n".getBytes(StandardCharsets.UTF_8));
        assertThat(sequence.isLastIdentified()).isTrue();
    }
}
