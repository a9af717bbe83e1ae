import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.fuchsiaford.standin.platform.PlatformStoreStandin;

/**
 * A model worker that streams numbered events and writes the version of its software into each. It
 * keeps its id over restarts. Its entry shows a start only after a while, for registrations lag,
 * and is removed after three check-in intervals of silence. Thread-safe.
 */
final class UpgradedWorker {
    private static final long BEAT_MILLIS = 1_200;
    private static final long SILENCE_MILLIS = 3 * BEAT_MILLIS;
    private static final int EVENTS = 15;
    private static final long EVENT_GAP_MILLIS = 46;

    private final String mId;
    private final String mZone;
    private final String mStage;
    private final PlatformStoreStandin mStore;
    private final Timeline mTimeline;
    private final int mPort = Ports.free();
    private final ExecutorService mThreads = Executors.newCachedThreadPool(Threads2.DAEMON);
    private final ScheduledExecutorService mTimer =
            Executors.newScheduledThreadPool(1, Threads2.DAEMON);
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket mListener;
    private volatile String mVersion;
    private volatile long mBorn;
    private ScheduledFuture<?> mBeats;
    private ScheduledFuture<?> mRemoval;
    private int mSeq;

    UpgradedWorker(
            String id, String zone, String stage, PlatformStoreStandin store, Timeline timeline) {
        mId = id;
        mZone = zone;
        mStage = stage;
        mStore = store;
        mTimeline = timeline;
    }

    /** Starts a run that serves at once and checks in after a while. */
    synchronized void start(String version, long firstBeatMillis) {
        mVersion = version;
        mBorn = System.currentTimeMillis();
        mListener = listen();
        mTimeline.write("worker %s starts at version %s, born %d", mId, version, mBorn);
        ServerSocket listener = mListener;
        mThreads.execute(() -> accept(listener));
        mBeats =
                mTimer.scheduleAtFixedRate(
                        this::beat, firstBeatMillis, BEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private ServerSocket listen() {
        while (true) {
            try {
                ServerSocket listener = new ServerSocket();
                listener.setReuseAddress(true);
                listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), mPort), 360);
                return listener;
            } catch (IOException e) {
                LockSupport.parkNanos(2_000_000);
            }
        }
    }

    private synchronized void beat() {
        if (mRemoval != null) {
            mRemoval.cancel(false);
        }
        mStore.put(
                "servers/" + mId,
                String.format(
                        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
                                + "\"version\":\"%s\",\"slots\":64,\"state\":\"ready\","
                                + "\"stage\":\"%s\",\"models\":[{\"name\":\"m\",\"version\":1,"
                                + "\"adapters\":[]}],\"coldRemainingMs\":0,\"seq\":%d,"
                                + "\"born\":%d}",
                        Site.MODEL_SERVICE, mPort, mZone, mVersion, mStage, ++mSeq, mBorn));
        mRemoval =
                mTimer.schedule(
                        () -> mStore.remove("servers/" + mId),
                        SILENCE_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** Ends the run: all its channels are reset. */
    synchronized void crash() {
        mTimeline.write("worker %s crashes, version %s, born %d", mId, mVersion, mBorn);
        mBeats.cancel(false);
        try {
            mListener.close();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        for (Socket socket : mSockets) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // It has ended before.
            }
        }
        mSockets.clear();
    }

    private void accept(ServerSocket listener) {
        try {
            while (true) {
                Socket socket = listener.accept();
                mSockets.add(socket);
                mThreads.execute(() -> serve(socket));
            }
        } catch (IOException e) {
            // The run has ended.
        }
    }

    private void serve(Socket socket) {
        String version = mVersion;
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (HttpHead request = HttpHead.read(in);
                    request != null;
                    request = HttpHead.read(in)) {
                request.readBody(in, false);
                answer(request, version, out);
            }
        } catch (IOException e) {
            // The other end has closed the channel, or this run has ended.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            mSockets.remove(socket);
        }
    }

    private void answer(HttpHead request, String version, OutputStream out)
            throws IOException, InterruptedException {
        String id = request.header("Fuchsiaford-Request-Id");
        String expected = request.header("Fuchsiaford-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(mId)) {
            write(out, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
        } else if (request.target().equals("/api/report")) {
            mTimeline.write("worker %s is asked for its report, version %s", mId, version);
            json(
                    out,
                    String.format(
                            "{\"stage\":\"%s\",\"models\":[{\"name\":\"m\",\"version\":1,"
                                    + "\"adapters\":[]}],\"busy\":false,\"seq\":0,\"born\":%d}",
                            mStage, mBorn));
        } else if (request.target().startsWith("/api/")) {
            json(out, "{}");
        } else if (request.header("Fuchsiaford-Stage").equals("prefill")) {
            Thread.sleep(EVENT_GAP_MILLIS);
            json(out, "{\"transferHandle\":\"h" + id + "\",\"tokens\":800,\"version\":1}");
        } else {
            stream(request, id, version, out);
        }
    }

    private void stream(HttpHead request, String id, String version, OutputStream out)
            throws IOException, InterruptedException {
        String last = request.header("Last-Event-Id");
        int from = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        mTimeline.write("worker %s runs %s from event %d, version %s", mId, id, from, version);
        write(
                out,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nFuchsiaford-Request-Id: "
                        + id
                        + "\r\nFuchsiaford-Server-Signature: signed-by-"
                        + mId
                        + "\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = from; event <= EVENTS; event++) {
            Thread.sleep(EVENT_GAP_MILLIS);
            String text = "id: " + event + "\ndata: version " + version + "\n\n";
            write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        write(out, "0\r\n\r\n");
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
