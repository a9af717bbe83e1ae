package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/** One of three engines sends bytes that are no answer without end, until its caller closes. */
final class EndlessAnswer extends Case {
    private static final String HOST = "notes.example";
    private static final String KEY = "key-macon";
    private static final double TROUBLE_S = 10;
    private static final double AFTER_S = 20;
    private static final int TIME_LIMIT_MILLIS = 14_000;
    private static final int ROUTE_TIMEOUT_MILLIS = 6_000;
    private static final double SLACK_S = 0.5;

    /** The link of a machine in the sheet: 1,000 Mbit/s. */
    private static final long LINK_BYTES_PER_SECOND = 125_000_000;

    /** A chunk of 16 bytes, over and over: a body that does not end. */
    private static final byte[] PIECE = Bytes.of("10\r\nerror in step 4\n\r\n".repeat(2_978));

    private static final int EVENTS = 68;
    private static final int EVENT_GAP_MILLIS = 25;

    private final AtomicBoolean mInTrouble = new AtomicBoolean();
    private final Map<Sent, Sent> mSent = new ConcurrentHashMap<>();

    /** A request of a client; answered also if its connection was closed. */
    private static final class Sent {
        private final String host;
        private final double sentSecond;
        private volatile boolean answered;
        private volatile double endSecond;

        Sent(String host, double sentSecond) {
            this.host = host;
            this.sentSecond = sentSecond;
        }
    }

    public static void main(String[] arguments) {
        new EndlessAnswer().play(arguments);
    }

    /** An engine that answers every request without end while it is in trouble. */
    private final class Engine extends Worker {
        private final boolean mMayFail;
        private final AtomicLong mFreeAtNanos = new AtomicLong(System.nanoTime());

        Engine(String id, String zone, boolean mayFail, PlatformStore store) throws IOException {
            super(id, "notes", zone, "decode", 40, 0, store, EndlessAnswer.this.record());
            mMayFail = mayFail;
        }

        @Override
        boolean run(HttpMessage request, Socket socket) throws IOException {
            OutputStream out = socket.getOutputStream();
            recordRun(request);
            if (mMayFail && mInTrouble.get()) {
                sendWithoutEnd(request, out);
                return false;
            }
            out.write(
                    Bytes.of(
                            head(
                                    200,
                                    request,
                                    signature(request)
                                            + "Content-Type: text/event-stream\r\n"
                                            + "Transfer-Encoding: chunked\r\n",
                                    -1)));
            for (int event = 1; event <= EVENTS; event++) {
                Threads.sleep(EVENT_GAP_MILLIS / 1e3);
                String text = "id: " + event + "\ndata: token-" + event + "\n\n";
                out.write(Bytes.of(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
            }
            out.write(Bytes.of("0\r\n\r\n"));
            return true;
        }

        private void sendWithoutEnd(HttpMessage request, OutputStream out) throws IOException {
            out.write(Bytes.of(head(500, request, "Transfer-Encoding: chunked\r\n", -1)));
            long sent = 0;
            try {
                while (true) {
                    awaitLink();
                    out.write(PIECE);
                    sent += PIECE.length;
                }
            } catch (IOException e) {
                record().line(
                        "worker %s: %s closed by its caller after %d bytes",
                        id(), request.header("Fuchsiaford-Request-Id"), sent);
            }
        }

        /** All connections of the worker share its link. */
        private void awaitLink() {
            long pieceNanos = PIECE.length * 1_000_000_000L / LINK_BYTES_PER_SECOND;
            long now = System.nanoTime();
            long slot =
                    mFreeAtNanos.updateAndGet(
                            free -> Math.max(free, now - 2_000_000) + pieceNanos);
            if (slot > now) {
                Threads.sleep((slot - now) / 1e9);
            }
        }
    }

    @Override
    boolean isBroken(boolean trouble) throws IOException {
        Deployment deployment = deployment(3);
        PlatformStore store = deployment.store();
        new Engine("engine-1", "se-atl", true, store);
        new Engine("engine-2", "se-bhm", false, store);
        new Engine("engine-3", "se-chs", false, store);
        deployment.roll(
                Deployment.manifest(
                        1,
                        List.of(
                                Deployment.route(
                                        HOST,
                                        "/note/",
                                        "streaming",
                                        ROUTE_TIMEOUT_MILLIS,
                                        900,
                                        "notes",
                                        1)),
                        List.of(Deployment.engineService("notes")),
                        List.of(Deployment.workspace("macon", KEY))),
                "the first");
        deployment.start();
        Threads.sleep(4);
        startClients(deployment);
        Threads.sleep(5);
        mInTrouble.set(trouble);
        record().line("engine-1 is in trouble: %s", trouble);
        Threads.sleep(TROUBLE_S);
        mInTrouble.set(false);
        record().line("engine-1 is sound again");
        Threads.sleep(AFTER_S);
        for (EntryProcess host : deployment.hosts()) {
            long errors =
                    Files.readAllLines(host.log()).stream()
                            .filter(line -> line.contains("OutOfMemoryError"))
                            .count();
            record().line(
                    "%s, %.0f s after the trouble: process alive %s, answers its readiness check"
                            + " %s, lines with OutOfMemoryError in its log: %d",
                    host.name(), AFTER_S, host.isAlive(), deployment.isReady(host), errors);
        }
        return judge(deployment);
    }

    /** The rule: of the requests unanswered at the timeout, more than half are so 0.5 s later. */
    private boolean judge(Deployment deployment) {
        double timeout = ROUTE_TIMEOUT_MILLIS / 1e3;
        double now = record().seconds();
        int unanswered = 0;
        int late = 0;
        for (EntryProcess host : deployment.hosts()) {
            int sent = 0;
            int hostLate = 0;
            for (Sent request : mSent.values()) {
                if (!request.host.equals(host.name())) {
                    continue;
                }
                sent++;
                double until = request.answered ? request.endSecond : now;
                double waited = until - request.sentSecond;
                unanswered += waited > timeout ? 1 : 0;
                hostLate += waited > timeout + SLACK_S ? 1 : 0;
            }
            late += hostLate;
            record().line(
                    "%s: %d requests, %d without an answer %.1f s after they were sent",
                    host.name(), sent, hostLate, timeout + SLACK_S);
        }
        record().line(
                "unanswered at the route's timeoutMs of %d: %d; still so %.1f s later: %d",
                ROUTE_TIMEOUT_MILLIS, unanswered, SLACK_S, late);
        return late * 2 > unanswered;
    }

    private void startClients(Deployment deployment) {
        for (EntryProcess host : deployment.hosts()) {
            Threads.start(
                    () -> {
                        while (true) {
                            Threads.start(() -> ask(deployment, host));
                            Thread.sleep(400);
                        }
                    });
        }
    }

    private void ask(Deployment deployment, EntryProcess host) {
        Sent sent = new Sent(host.name(), record().seconds());
        mSent.put(sent, sent);
        Caller.Answer answer =
                deployment
                        .caller()
                        .send(
                                host.callers(),
                                "POST",
                                HOST,
                                "/note/1",
                                KEY,
                                TIME_LIMIT_MILLIS,
                                "Fuchsiaford-Model: m\r\nFuchsiaford-Token-Counts: 1000,100\r\n"
                                        + "Fuchsiaford-Prompt-Prefix: "
                                        + Long.toHexString(System.nanoTime())
                                        + ":1000\r\n");
        sent.endSecond = record().seconds();
        sent.answered = answer.status() != 0 || !answer.text().contains("timed out");
        record().line(
                "client: %s sent at %.3f to %s: %d, %d events%s",
                answer.id(),
                answer.sentSecond(),
                host.name(),
                answer.status(),
                answer.text().split("data: ").length - 1,
                answer.status() == 0 ? ", " + answer.text().lines().findFirst().orElse("") : "");
    }
}
