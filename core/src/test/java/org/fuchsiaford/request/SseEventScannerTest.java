package org.fuchsiaford.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Cuts streams at any byte, with each kind of line ending and in pieces of any size. */
class SseEventScannerTest {
    private static final List<String> LINE_ENDS = List.of("\n", "\r", "\r\n");
    private static final String EVENT = "id: 7@data: x@data: more@@";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static boolean endsInsideEvent(String text) {
        SseEventScanner scanner = new SseEventScanner();
        scanner.scan(bytes(text));
        return scanner.isInsideEvent();
    }

    @Property(seed = "43")
    void aStreamIsInsideAnEventExceptAtItsBoundaries(
            @ForAll @IntRange(max = 2) int lineEnd,
            @ForAll @IntRange(min = 1, max = 4) int eventCount,
            @ForAll @IntRange(max = 200) int cutAt,
            @ForAll @Size(min = 1, max = 9) List<@IntRange(min = 1, max = 40) Integer> sizes) {
        String separator = LINE_ENDS.get(lineEnd);
        byte[] event = bytes(EVENT.replace("@", separator));
        byte[] whole = bytes(EVENT.replace("@", separator).repeat(eventCount));
        byte[] received = Arrays.copyOf(whole, Math.min(cutAt, whole.length));
        SseEventScanner scanner = new SseEventScanner();

        int boundary = 0;
        int from = 0;
        for (int i = 0; from < received.length; i++) {
            int to = Math.min(received.length, from + sizes.get(i % sizes.size()));
            int end = scanner.scan(Arrays.copyOfRange(received, from, to));
            boundary = end == 0 ? boundary : from + end;
            from = to;
        }

        // With CRLF, the blank line ends at its CR already; the LF that follows belongs to it.
        int afterBoundary = received.length % event.length;
        boolean beforeLastLineFeed = separator.length() == 2 && afterBoundary == event.length - 1;
        boolean atBoundary = afterBoundary == 0 || beforeLastLineFeed;
        assertThat(scanner.isInsideEvent()).isEqualTo(!atBoundary);
        assertThat(boundary)
                .isEqualTo(atBoundary ? received.length : received.length - afterBoundary);
    }

    @Example
    void commentsAndBlankLinesArePartOfNoEvent() {
        assertThat(endsInsideEvent("")).isFalse();
        assertThat(endsInsideEvent(": keep-alive\n")).isFalse();
        assertThat(endsInsideEvent("\n\n")).isFalse();
        assertThat(endsInsideEvent("data: x\n\n: keep-alive\n")).isFalse();
        assertThat(endsInsideEvent(": keep-al")).isTrue();
        assertThat(endsInsideEvent("data: x\n: keep-alive\n")).isTrue();
        assertThat(endsInsideEvent("data: x\n")).isTrue();
    }
}
