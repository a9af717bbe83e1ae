package review;

import java.nio.charset.StandardCharsets;

/** Byte strings of HTTP messages. */
final class Bytes {
    private Bytes() {}

    static byte[] of(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static byte[] join(String head, byte[] body) {
        byte[] first = of(head);
        byte[] all = new byte[first.length + body.length];
        System.arraycopy(first, 0, all, 0, first.length);
        System.arraycopy(body, 0, all, first.length, body.length);
        return all;
    }
}
