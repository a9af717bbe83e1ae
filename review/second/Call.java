import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** One request of a client on a channel of its own, and what came back. */
final class Call {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /** The status if the channel was refused or ended before a complete response. */
    static final int CLOSED = 0;

    /** The status if nothing came within the client's time limit. */
    static final int TIMED_OUT = -1;

    final int status;
    final Map<String, String> headers;
    final String body;
    final String error;

    private Call(int status, Map<String, String> headers, String body, String error) {
        this.status = status;
        this.headers = headers;
        this.body = body;
        this.error = error;
    }

    /** Sends a request and reads its response within the time limit. */
    static Call send(
            int port,
            String method,
            String target,
            Map<String, String> headers,
            String body,
            int timeoutMillis) {
        StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > 0) {
            head.append("Content-Length: " + bytes.length + "\r\n");
        }
        head.append("Connection: close\r\n\r\n");
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_TIMEOUT_MILLIS);
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().write(bytes);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            HttpHead response = HttpHead.read(in);
            if (response == null) {
                return new Call(CLOSED, Map.of(), "", "closed without a response");
            }
            String text = new String(response.readBody(in, true), StandardCharsets.UTF_8);
            return new Call(response.status(), response.headers, text, "");
        } catch (java.net.SocketTimeoutException e) {
            return new Call(TIMED_OUT, Map.of(), "", e.toString());
        } catch (IOException e) {
            return new Call(CLOSED, Map.of(), "", e.toString());
        }
    }

    boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
