package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** Sends requests of clients, each on a connection of its own. Thread-safe. */
final class Caller {
    private static final AtomicLong LAST_ID = new AtomicLong();

    /**
     * What a client has seen.
     *
     * @param status the status; zero if the connection ended without a complete answer
     */
    record Answer(String id, double sentSecond, int status, String text, boolean signed) {}

    private final CaseRecord mRecord;

    Caller(CaseRecord record) {
        mRecord = record;
    }

    Answer get(String address, String path) {
        return send(address, "GET", "directory.example", path, "", 1_000, "");
    }

    Answer send(
            String address,
            String method,
            String host,
            String path,
            String key,
            int deadlineMillis,
            String moreHeaders) {
        String id = String.format("%08x", LAST_ID.incrementAndGet());
        double sent = mRecord.seconds();
        try (Socket socket = new Socket()) {
            socket.connect(socketAddress(address), 1_000);
            socket.setSoTimeout(deadlineMillis);
            socket.getOutputStream()
                    .write(
                            Bytes.of(
                                    method + " " + path + " HTTP/1.1\r\nHost: " + host
                                            + "\r\nFuchsiaford-Request-Id: " + id
                                            + "\r\nFuchsiaford-Deadline-Ms: " + deadlineMillis
                                            + "\r\nX-Api-Key: " + key + "\r\n" + moreHeaders
                                            + (method.equals("POST") ? "Content-Length: 0\r\n" : "")
                                            + "\r\n"));
            HttpMessage answer =
                    HttpMessage.read(new BufferedInputStream(socket.getInputStream()), true);
            return answer == null
                    ? new Answer(id, sent, 0, "closed without an answer", false)
                    : new Answer(
                            id,
                            sent,
                            answer.status(),
                            answer.text(),
                            answer.header("Fuchsiaford-Server-Signature") != null);
        } catch (IOException e) {
            return new Answer(id, sent, 0, e.toString(), false);
        }
    }

    private static InetSocketAddress socketAddress(String address) {
        String[] parts = address.split(":");
        return new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
    }
}
