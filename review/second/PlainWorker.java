import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import org.fuchsiaford.standin.platform.PlatformStoreStandin;

/**
 * A worker of a plain service. It registers in the platform's store, runs some requests at once,
 * queues a few more, and crashes when it begins to run a request with a certain body; it is back at
 * the same address after a while. Thread-safe.
 */
final class PlainWorker {
    private static final long BEAT_MILLIS = 1_200;
    private static final long SILENCE_MILLIS = 3 * BEAT_MILLIS;
    private static final int QUEUE = 24;
    private static final int WORK_MILLIS = 30;
    private static final int CRASH_DELAY_MILLIS = 20;

    /** A request that has reached a worker. */
    record Arrival(
            double atSeconds,
            String worker,
            long born,
            String request,
            String target,
            String body,
            Map<String, String> headers,
            boolean run) {}

    private final String mName;
    private final String mZone;
    private final boolean mKeepsId;
    private final long mBackMillis;
    private final Predicate<String> mCrashesOn;
    private final PlatformStoreStandin mStore;
    private final Timeline mTimeline;
    private final int mPort = Ports.free();
    private final List<Arrival> mArrivals = new ArrayList<>();
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private final Semaphore mSlots = new Semaphore(Site.SLOTS, true);
    private final AtomicInteger mWaiting = new AtomicInteger();
    private final ExecutorService mThreads = Executors.newCachedThreadPool(Threads2.DAEMON);
    private final ScheduledExecutorService mTimer =
            Executors.newScheduledThreadPool(2, Threads2.DAEMON);
    private volatile ServerSocket mListener;
    private volatile String mId;
    private volatile long mBorn;
    private volatile boolean mUp;
    private boolean mLost;
    private int mStarts;
    private int mSeq;

    /**
     * Creates a worker.
     *
     * @param keepsId whether it starts again under the id that it had
     * @param backMillis how long it is away after a crash
     * @param crashesOn the bodies of requests that crash it
     */
    PlainWorker(
            String name,
            String zone,
            boolean keepsId,
            long backMillis,
            Predicate<String> crashesOn,
            PlatformStoreStandin store,
            Timeline timeline) {
        mName = name;
        mZone = zone;
        mKeepsId = keepsId;
        mBackMillis = backMillis;
        mCrashesOn = crashesOn;
        mStore = store;
        mTimeline = timeline;
    }

    int port() {
        return mPort;
    }

    String id() {
        return mId;
    }

    /** Returns the requests that have reached the worker, in order. */
    synchronized List<Arrival> arrivals() {
        return List.copyOf(mArrivals);
    }

    /** Starts a run. */
    synchronized void start() {
        try {
            mListener = new ServerSocket();
            mListener.setReuseAddress(true);
            mListener.bind(
                    new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), mPort), 96);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        mStarts++;
        mId = mKeepsId || mStarts == 1 ? mName : mName + "-" + mStarts;
        mBorn = System.currentTimeMillis();
        mUp = true;
        mTimeline.write("worker %s starts, id %s, born %d", mName, mId, mBorn);
        ServerSocket listener = mListener;
        mThreads.execute(() -> accept(listener));
        beat(mBorn);
    }

    /** Writes the entry now and about every check-in interval while this run lasts. */
    private synchronized void beat(long born) {
        if (mUp && mBorn == born) {
            mStore.put("servers/" + mId, entry());
            mTimer.schedule(() -> beat(born), BEAT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private String entry() {
        return String.format(
                "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"1.0\","
                        + "\"slots\":%d,\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":%d,"
                        + "\"born\":%d}",
                Site.SERVICE, mPort, mZone, Site.SLOTS, ++mSeq, mBorn);
    }

    /** Ends all channels by resets, and starts again later. Its entry is removed after silence. */
    private synchronized void crash(long born) {
        if (!mUp || mBorn != born) {
            return;
        }
        mUp = false;
        String id = mId;
        mTimeline.write("worker %s crashes, id %s, born %d", mName, id, born);
        close(mListener);
        mSockets.forEach(PlainWorker::reset);
        mSockets.clear();
        if (!mLost) {
            mTimer.schedule(this::start, mBackMillis, TimeUnit.MILLISECONDS);
        }
        mTimer.schedule(() -> removeEntry(id, born), SILENCE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Crashes and never starts again. */
    synchronized void loseForGood() {
        mLost = true;
        crash(mBorn);
    }

    private synchronized void removeEntry(String id, long born) {
        if (!id.equals(mId) || !mUp) {
            mStore.remove("servers/" + id);
        }
    }

    private static void close(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It has ended before.
        }
    }

    private void accept(ServerSocket listener) {
        try {
            while (true) {
                Socket socket = listener.accept();
                mSockets.add(socket);
                mThreads.execute(() -> serve(socket));
            }
        } catch (IOException e) {
            // The listener was closed by a crash.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (HttpHead request = HttpHead.read(in);
                    request != null;
                    request = HttpHead.read(in)) {
                String body = new String(request.readBody(in, false), StandardCharsets.UTF_8);
                answer(request, body, socket.getOutputStream());
            }
        } catch (IOException e) {
            // The other end has closed the channel, or this run has crashed.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            mSockets.remove(socket);
        }
    }

    private void answer(HttpHead request, String body, OutputStream out)
            throws IOException, InterruptedException {
        long born = mBorn;
        String id = request.header("Fuchsiaford-Request-Id");
        if (!request.header("Fuchsiaford-Expect-Instance").equals(mId)) {
            record(request, body, born, false);
            write(out, "421 Misdirected Request", id, Map.of("Fuchsiaford-Instance-Id", mId), "");
            return;
        }
        if (mWaiting.get() >= QUEUE) {
            record(request, body, born, false);
            write(
                    out,
                    "503 Service Unavailable",
                    id,
                    Map.of("Fuchsiaford-Not-Executed", "1"),
                    "");
            return;
        }
        mWaiting.incrementAndGet();
        mSlots.acquire();
        mWaiting.decrementAndGet();
        try {
            record(request, body, born, true);
            if (mCrashesOn.test(body)) {
                Thread.sleep(CRASH_DELAY_MILLIS);
                crash(born);
                return;
            }
            Thread.sleep(WORK_MILLIS);
        } finally {
            mSlots.release();
        }
        write(
                out,
                "200 OK",
                id,
                Map.of("Fuchsiaford-Server-Signature", "signed-by-" + mId),
                "answer to " + id);
    }

    private synchronized void record(HttpHead request, String body, long born, boolean run) {
        mArrivals.add(
                new Arrival(
                        mTimeline.seconds(),
                        mId,
                        born,
                        request.header("Fuchsiaford-Request-Id"),
                        request.firstLine,
                        body,
                        request.headers,
                        run));
        mTimeline.write(
                "worker %s %s request %s",
                mId, run ? "runs" : "rejects", request.header("Fuchsiaford-Request-Id"));
    }

    private static void write(
            OutputStream out, String status, String id, Map<String, String> headers, String body)
            throws IOException {
        StringBuilder text = new StringBuilder("HTTP/1.1 " + status + "\r\n");
        text.append("Fuchsiaford-Request-Id: " + id + "\r\n");
        headers.forEach((name, value) -> text.append(name + ": " + value + "\r\n"));
        text.append("Content-Length: " + body.length() + "\r\n\r\n" + body);
        out.write(text.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
