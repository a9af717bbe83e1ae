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

/**
 * Feeds streams that are cut at any byte, in chunks of any size. Guards against lost, repeated or
 * partial events when a stream breaks off inside an event and resumes on another server.
 */
class SseEventBufferTest {
    private static String events(int first, int last) {
        return IntStream.rangeClosed(first, last)
                .mapToObj(i -> "id: " + i + "\ndata: t" + i + "\ndata: more\n\n")
                .collect(Collectors.joining());
    }

    @Property(seed = "41")
    void streamCutAtAnyByteResumesWithoutLossOrRepetition(
            @ForAll @IntRange(max = 200) int cutAt,
            @ForAll @Size(min = 1, max = 20) List<@IntRange(min = 1, max = 40) Integer> sizes) {
        byte[] whole = events(1, 9).getBytes(StandardCharsets.UTF_8);
        byte[] received = Arrays.copyOf(whole, Math.min(cutAt, whole.length));
        SseEventBuffer buffer = new SseEventBuffer();
        ByteArrayOutputStream released = new ByteArrayOutputStream();

        feed(buffer, received, sizes, released);
        buffer.discardPartialEvent();
        int next = buffer.lastEventId().map(Integer::parseInt).orElse(0) + 1;
        feed(buffer, events(next, 9).getBytes(StandardCharsets.UTF_8), sizes, released);

        assertThat(released.toString(StandardCharsets.UTF_8)).isEqualTo(events(1, 9));
        assertThat(buffer.pendingBytes()).isEmpty();
    }

    private static void feed(
            SseEventBuffer buffer,
            byte[] bytes,
            List<Integer> sizes,
            ByteArrayOutputStream released) {
        int from = 0;
        for (int i = 0; from < bytes.length; i++) {
            int to = Math.min(bytes.length, from + sizes.get(i % sizes.size()));
            released.writeBytes(buffer.add(Arrays.copyOfRange(bytes, from, to)));
            from = to;
        }
    }

    @Example
    void acceptsLinesThatEndWithCarriageReturnAndLineFeed() {
        SseEventBuffer buffer = new SseEventBuffer();
        byte[] event = "id: 4\r\ndata: x\r\n\r\n".getBytes(StandardCharsets.UTF_8);
        assertThat(buffer.add(event)).isEqualTo(event);
        assertThat(buffer.lastEventId()).contains("4");
    }
}
