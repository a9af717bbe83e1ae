package org.fuchsiaford.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Streams cut at any byte and fed in pieces of any size. */
class SseEventBufferTest {
    private static String events(int first, int last) {
        return IntStream.rangeClosed(first, last)
                .mapToObj(i -> "id: " + i + "\ndata: t" + i + "\ndata: more\n\n")
                .collect(Collectors.joining());
    }

    @Property(seed = "41")
    void streamCutAtAnyByteResumesWithoutLossOrRepetition(
            @ForAll @IntRange(max = 200) int brokenAt,
            @ForAll @Size(min = 1, max = 20) List<@IntRange(min = 1, max = 40) Integer> sizes) {
        byte[] whole = events(1, 9).getBytes(StandardCharsets.UTF_8);
        byte[] first = Arrays.copyOf(whole, Math.min(brokenAt, whole.length));
        SseEventBuffer splitter = new SseEventBuffer();
        ByteArrayOutputStream passed = new ByteArrayOutputStream();

        feed(splitter, first, sizes, passed);
        splitter.discardPartialEvent();
        int next = splitter.lastEventId().map(Integer::parseInt).orElse(0) + 1;
        feed(splitter, events(next, 9).getBytes(StandardCharsets.UTF_8), sizes, passed);

        assertThat(passed.toString(StandardCharsets.UTF_8)).isEqualTo(events(1, 9));
        assertThat(splitter.pendingBytes()).isEmpty();
    }

    private static void feed(
            SseEventBuffer splitter,
            byte[] bytes,
            List<Integer> sizes,
            ByteArrayOutputStream passed) {
        int from = 0;
        for (int i = 0; from < bytes.length; i++) {
            int to = Math.min(bytes.length, from + sizes.get(i % sizes.size()));
            passed.writeBytes(splitter.add(Arrays.copyOfRange(bytes, from, to)));
            from = to;
        }
    }

    @Example
    void linesMayEndWithCarriageReturns() {
        SseEventBuffer splitter = new SseEventBuffer();
        byte[] event = "id: 4\r\ndata: x\r\n\r\n".getBytes(StandardCharsets.UTF_8);
        assertThat(splitter.add(event)).isEqualTo(event);
        assertThat(splitter.lastEventId()).contains("4");
    }
}
