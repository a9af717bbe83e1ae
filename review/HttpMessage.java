package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * An HTTP/1.1 message as read from a socket.
 *
 * @param first the request line or the status line
 * @param headers the headers by lower-case name
 * @param body the complete body
 */
record HttpMessage(String first, Map<String, String> headers, byte[] body) {

    /** Reads a message; returns null if the stream ends before its first byte. */
    static HttpMessage read(InputStream in, boolean isResponse) throws IOException {
        HttpMessage head = readHead(in);
        if (head == null) {
            return null;
        }
        return new HttpMessage(head.first, head.headers, readBody(in, head, isResponse));
    }

    /** Reads the first line and the headers of a message; returns null at the end of the stream. */
    static HttpMessage readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(in); ; line = readLine(in)) {
            if (line == null) {
                throw new EOFException("the head is incomplete");
            }
            if (line.isEmpty()) {
                return new HttpMessage(first, headers, new byte[0]);
            }
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
    }

    private static byte[] readBody(InputStream in, HttpMessage head, boolean isResponse)
            throws IOException {
        if ("chunked".equalsIgnoreCase(head.headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String line = readLine(in);
                if (line == null) {
                    throw new EOFException("the body is incomplete");
                }
                int size = Integer.parseInt(line.trim(), 16);
                body.writeBytes(readExactly(in, size));
                readLine(in);
                if (size == 0) {
                    return body.toByteArray();
                }
            }
        }
        String length = head.headers.get("content-length");
        if (length != null) {
            return readExactly(in, Integer.parseInt(length));
        }
        return isResponse ? in.readAllBytes() : new byte[0];
    }

    private static byte[] readExactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the body is incomplete");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); ; c = in.read()) {
            if (c < 0) {
                return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            }
            if (c == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
            }
            line.write(c);
        }
    }

    String method() {
        return first.split(" ")[0];
    }

    String target() {
        return first.split(" ")[1];
    }

    int status() {
        return Integer.parseInt(first.split(" ")[1]);
    }

    String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
