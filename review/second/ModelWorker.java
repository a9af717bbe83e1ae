import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.standin.platform.PlatformStoreStandin;

/**
 * A model worker with a stage: it reads prompts for others, or streams numbered events. It registers
 * in the platform's store and stays as it is. Thread-safe.
 */
final class ModelWorker {
    private static final long BEAT_MILLIS = 1_200;
    private static final int EVENTS = 7;
    private static final long EVENT_GAP_MILLIS = 40;
    private static final long FIRST_EVENT_MILLIS = 60;

    /** A request that has begun to run. */
    record Run(double atSeconds, String worker, String request, String tenant, long tokens) {}

    private final String mId;
    private final String mZone;
    private final String mStage;
    private final PlatformStoreStandin mStore;
    private final Timeline mTimeline;
    private final int mPort = Ports.free();
    private final long mBorn = System.currentTimeMillis();
    private final List<Run> mRuns = new ArrayList<>();
    private final ExecutorService mThreads = Executors.newCachedThreadPool(Threads2.DAEMON);
    private final ScheduledExecutorService mTimer =
            Executors.newScheduledThreadPool(1, Threads2.DAEMON);
    private int mSeq;

    ModelWorker(
            String id, String zone, String stage, PlatformStoreStandin store, Timeline timeline) {
        mId = id;
        mZone = zone;
        mStage = stage;
        mStore = store;
        mTimeline = timeline;
    }

    int port() {
        return mPort;
    }

    synchronized List<Run> runs() {
        return List.copyOf(mRuns);
    }

    void start() {
        ServerSocket listener;
        try {
            listener = new ServerSocket(mPort, 360, InetAddress.getByName("127.0.0.1"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        mThreads.execute(() -> accept(listener));
        mTimer.scheduleAtFixedRate(this::beat, 0, BEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void beat() {
        mStore.put(
                "servers/" + mId,
                String.format(
                        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
                                + "\"version\":\"1.0\",\"slots\":64,\"state\":\"ready\","
                                + "\"stage\":\"%s\",\"models\":[{\"name\":\"m\",\"version\":1,"
                                + "\"adapters\":[]}],\"coldRemainingMs\":0,\"seq\":%d,"
                                + "\"born\":%d}",
                        Site.MODEL_SERVICE, mPort, mZone, mStage, ++mSeq, mBorn));
    }

    private void accept(ServerSocket listener) {
        try {
            while (true) {
                Socket socket = listener.accept();
                mThreads.execute(() -> serve(socket));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (HttpHead request = HttpHead.read(in);
                    request != null;
                    request = HttpHead.read(in)) {
                request.readBody(in, false);
                answer(request, out);
            }
        } catch (IOException e) {
            // The other end has closed the channel, which ends the work on it.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void answer(HttpHead request, OutputStream out)
            throws IOException, InterruptedException {
        String id = request.header("Fuchsiaford-Request-Id");
        String expected = request.header("Fuchsiaford-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(mId)) {
            write(out, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
        } else if (request.target().equals("/api/report")) {
            json(
                    out,
                    String.format(
                            "{\"stage\":\"%s\",\"models\":[{\"name\":\"m\",\"version\":1,"
                                    + "\"adapters\":[]}],\"busy\":false,\"seq\":0,\"born\":%d}",
                            mStage, mBorn));
        } else if (request.target().startsWith("/api/")) {
            json(out, "{}");
        } else if (request.header("Fuchsiaford-Stage").equals("prefill")) {
            Thread.sleep(FIRST_EVENT_MILLIS);
            json(out, "{\"transferHandle\":\"h" + id + "\",\"tokens\":4932,\"version\":1}");
        } else {
            stream(request, id, out);
        }
    }

    private void stream(HttpHead request, String id, OutputStream out)
            throws IOException, InterruptedException {
        String[] counts = request.header("Fuchsiaford-Token-Counts").split(",");
        long tokens = Long.parseLong(counts[0].trim()) + Long.parseLong(counts[1].trim());
        record(id, request.header("Fuchsiaford-Tenant"), tokens);
        write(
                out,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nFuchsiaford-Request-Id: "
                        + id
                        + "\r\nFuchsiaford-Server-Signature: signed-by-"
                        + mId
                        + "\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; event <= EVENTS; event++) {
            Thread.sleep(event == 1 ? FIRST_EVENT_MILLIS : EVENT_GAP_MILLIS);
            String text = "id: " + event + "\ndata: token\n\n";
            write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        write(out, "0\r\n\r\n");
    }

    private synchronized void record(String id, String tenant, long tokens) {
        mRuns.add(new Run(mTimeline.seconds(), mId, id, tenant, tokens));
        mTimeline.write("worker %s runs %s of tenant %s, %d tokens", mId, id, tenant, tokens);
    }

    private static void json(OutputStream out, String text) throws IOException {
        write(
                out,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + text.length()
                        + "\r\n\r\n"
                        + text);
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
