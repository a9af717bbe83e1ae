import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** The first line and the headers of an HTTP message, with its body if it has a known end. */
final class HttpHead {
    private static final int MAX_BYTES = 1 << 20;

    final String firstLine;
    final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

    private HttpHead(String firstLine) {
        this.firstLine = firstLine;
    }

    /** Returns the next head, or null if the connection has ended before its first byte. */
    static HttpHead read(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        HttpHead head = new HttpHead(line);
        for (line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            head.headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
        }
        if (line == null) {
            throw new EOFException("the head is not complete");
        }
        return head;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                return bytes.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            }
            bytes.write(next);
        }
        if (bytes.size() > 0) {
            throw new EOFException("a line is not complete");
        }
        return null;
    }

    String header(String name) {
        return headers.getOrDefault(name, "");
    }

    /** Reads the body: by its length, in chunks, or, of a response only, to the end. */
    byte[] readBody(InputStream in, boolean toEnd) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.writeBytes(readExactly(in, size));
                readLine(in);
            }
            readLine(in);
        } else if (headers.containsKey("Content-Length")) {
            body.writeBytes(readExactly(in, Integer.parseInt(header("Content-Length"))));
        } else if (toEnd) {
            body.writeBytes(in.readNBytes(MAX_BYTES));
        }
        return body.toByteArray();
    }

    private static int chunkSize(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new EOFException("the body is not complete");
        }
        return Integer.parseInt(line.split(";")[0].trim(), 16);
    }

    private static byte[] readExactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the body is not complete");
        }
        return bytes;
    }

    /** Returns the second word of the first line: the target of a request. */
    String target() {
        return firstLine.split(" ")[1];
    }

    /** Returns the status of a response. */
    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }
}
