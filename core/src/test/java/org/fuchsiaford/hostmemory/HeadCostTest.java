package org.fuchsiaford.hostmemory;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.Example;

/** Guards against heads that take many times more memory than they are charged. */
class HeadCostTest {
    private static final int LEGAL_BYTES = 16_384;

    private final HeadCost mCost = new HeadCost();

    private long bytes(String text) {
        mCost.reset();
        for (byte value : text.getBytes(StandardCharsets.ISO_8859_1)) {
            mCost.add(value);
        }
        return mCost.bytes();
    }

    @Example
    void manyShortLinesCostMoreThanAFewLongOnes() {
        String start = "GET / HTTP/1.1\r\n";
        long shortLines = bytes(start + "a:1\r\n".repeat(LEGAL_BYTES / 5));
        long longLines = bytes(start + ("a:" + "1".repeat(4_000) + "\r\n").repeat(4));
        assertThat(shortLines).isGreaterThan(30 * longLines);
    }

    /** Guards against bodies that are charged as heads. */
    @Example
    void whatFollowsTheHeadIsNotCounted() {
        String head = "POST / HTTP/1.1\r\nHost: h\r\n\r\n";
        assertThat(bytes(head + "body\n".repeat(100))).isEqualTo(bytes(head));
    }

    @Example
    void emptyLinesBeforeARequestAreNotItsEnd() {
        assertThat(bytes("\r\n\r\n")).isZero();
        assertThat(bytes("\r\nGET / HTTP/1.1\r\n\r\n")).isEqualTo(bytes("GET / HTTP/1.1\r\n\r\n"));
    }
}
