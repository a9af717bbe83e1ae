package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A stand-in for a worker: registers in the store, runs requests of a plain service, or prefills
 * prompts, streams events and accepts orders as a model engine. Thread-safe.
 */
class Worker {
    static final int HEARTBEAT_MILLIS = 1_200;
    private static final int RECONFIGURE_MILLIS = 1_000;
    private static final int EVENTS = 20;
    private static final int EVENT_GAP_MILLIS = 30;

    /** A request that began to run, or an order that arrived. */
    record Run(
            double second, String id, String path, String workspace, long fence, String holder) {}

    private final String mId;
    private final String mService;
    private final String mZone;
    private final PlatformStore mStore;
    private final CaseRecord mRecord;
    private final int mWorkMillis;
    private final long mStartNanos = System.nanoTime();
    private volatile long mBorn = System.currentTimeMillis();
    private volatile String mVersion = "1.0";
    private final long mColdMillis;
    private final Listener mListener;
    private final List<Run> mRuns = new CopyOnWriteArrayList<>();
    private final List<Run> mOrders = new CopyOnWriteArrayList<>();
    private volatile String mStage;
    private volatile boolean mRegistered = true;
    private volatile String mState = "ready";
    private volatile long mSeq;
    private String mLastEntry = "";

    Worker(
            String id,
            String service,
            String zone,
            String stage,
            int workMillis,
            long coldMillis,
            PlatformStore store,
            CaseRecord record)
            throws IOException {
        mId = id;
        mService = service;
        mZone = zone;
        mStage = stage;
        mWorkMillis = workMillis;
        mColdMillis = coldMillis;
        mStore = store;
        mRecord = record;
        mListener = new Listener(this::handle);
        Threads.start(
                () -> {
                    while (true) {
                        register();
                        Thread.sleep(HEARTBEAT_MILLIS);
                    }
                });
    }

    String id() {
        return mId;
    }

    /** Listens at another loopback address as well, at the same port. */
    Listener listenAt(String ip) throws IOException {
        return new Listener(this::handle, ip, mListener.port());
    }

    CaseRecord record() {
        return mRecord;
    }

    List<Run> runs() {
        return mRuns;
    }

    List<Run> orders() {
        return mOrders;
    }

    /** Writes the entry if it has changed or is missing. */
    synchronized void register() {
        if (!mRegistered || mStore.isDown()) {
            return;
        }
        String entry = Json.write(entry());
        if (!entry.equals(mLastEntry) || mStore.revisionOf("servers/" + mId) == 0) {
            mLastEntry = entry;
            mStore.write("servers/" + mId, entry);
        }
    }

    /** Writes the entry again if the store has lost it. */
    synchronized void registerAgain() {
        if (mRegistered && !mStore.holds("servers/" + mId, Json.write(entry()))) {
            mLastEntry = "";
            register();
        }
    }

    String version() {
        return mVersion;
    }

    /** Ends, and starts again under the same id with another software version. */
    void restart(String version, double downSeconds) throws IOException {
        mRegistered = false;
        mListener.close();
        mRecord.line("worker %s: ends", mId);
        Threads.sleep(downSeconds);
        mVersion = version;
        mBorn = System.currentTimeMillis();
        mSeq = 0;
        mListener.reopen();
        mRegistered = true;
        mRecord.line("worker %s: starts again under its id with version %s", mId, version);
        register();
    }

    private Map<String, Object> entry() {
        long ageMillis = (System.nanoTime() - mStartNanos) / 1_000_000;
        Map<String, Object> entry =
                Json.object(
                        "id", mId,
                        "service", mService,
                        "address", mListener.address(),
                        "zone", mZone,
                        "version", mVersion,
                        "slots", mStage == null ? 6 : 64,
                        "state", mState,
                        "coldRemainingMs", Math.max(0, mColdMillis - ageMillis),
                        "born", mBorn);
        if (mStage != null) {
            entry.put("stage", mStage);
        }
        return entry;
    }

    /** Leaves at once, as a worker that never reports draining: its entry is removed. */
    synchronized void leave() {
        mRegistered = false;
        mStore.delete("servers/" + mId);
    }

    private boolean handle(HttpMessage request, Socket socket) throws IOException {
        String expected = request.header("Fuchsiaford-Expect-Instance");
        OutputStream out = socket.getOutputStream();
        if (expected != null && !expected.equals(mId)) {
            out.write(Bytes.of(head(421, request, "Fuchsiaford-Not-Executed: 1\r\n", 0)));
            return true;
        }
        if (request.target().equals("/api/report")) {
            return answerJson(
                    out,
                    200,
                    Json.object(
                            "stage", mStage == null ? "" : mStage,
                            "models", List.of(),
                            "busy", false,
                            "seq", mSeq,
                            "waiting", 0,
                            "running", 0,
                            "kvUsed", 0,
                            "kvTotal", 66_719,
                            "handles", 0,
                            "born", mBorn));
        }
        if (request.target().equals("/api/order")) {
            return order(request, out);
        }
        if (request.target().startsWith("/api/kv-handle/") || request.target().equals("/healthz")) {
            out.write(Bytes.of(head(200, request, "", 0)));
            return true;
        }
        return run(request, socket);
    }

    private boolean order(HttpMessage request, OutputStream out) throws IOException {
        Map<?, ?> order = Json.read(request.text());
        long fence = (Long) order.get("fence");
        mRecord.line(
                "worker %s: order %s %s arrives from holder %s with fencing token %d",
                mId, order.get("operation"), order.get("stage"), order.get("holder"), fence);
        mOrders.add(
                new Run(mRecord.seconds(), "", "", "", fence, (String) order.get("holder")));
        Object precondition = order.get("precondition");
        if (precondition != null && (Long) precondition != mSeq) {
            return answerJson(out, 409, Json.object());
        }
        mSeq++;
        String stage = (String) order.get("stage");
        Threads.start(
                () -> {
                    Thread.sleep(RECONFIGURE_MILLIS);
                    mStage = stage;
                    register();
                });
        return answerJson(out, 202, Json.object());
    }

    /** Runs a request; faulty workers override this. */
    boolean run(HttpMessage request, Socket socket) throws IOException {
        OutputStream out = socket.getOutputStream();
        if ("prefill".equals(request.header("Fuchsiaford-Stage"))) {
            Threads.sleep(0.05);
            return answerJson(
                    out,
                    200,
                    Json.object("transferHandle", mId + "h", "tokens", 1_000, "version", 1));
        }
        recordRun(request);
        if (mStage == null) {
            Threads.sleep(mWorkMillis / 1e3);
            byte[] body = Bytes.of("answer of " + mId + " (" + mService + ")");
            out.write(Bytes.join(head(200, request, signature(request), body.length), body));
            return true;
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
            chunk(out, "id: " + event + "\ndata: token-" + event + "\n\n");
        }
        out.write(Bytes.of("0\r\n\r\n"));
        return true;
    }

    void recordRun(HttpMessage request) {
        String id = request.header("Fuchsiaford-Request-Id");
        mRecord.line("worker %s (%s): runs %s %s", mId, mService, id, request.target());
        mRuns.add(
                new Run(
                        mRecord.seconds(),
                        id,
                        request.target(),
                        request.header("Fuchsiaford-Tenant"),
                        0,
                        ""));
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        out.write(Bytes.of(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
    }

    String signature(HttpMessage request) {
        return "Fuchsiaford-Server-Signature: sig."
                + mId
                + "."
                + request.header("Fuchsiaford-Request-Id")
                + "\r\n";
    }

    /** Returns a response head; a negative length adds none. */
    static String head(int status, HttpMessage request, String headers, int length) {
        String id = request.header("Fuchsiaford-Request-Id");
        return "HTTP/1.1 "
                + status
                + " -\r\n"
                + (id == null ? "" : "Fuchsiaford-Request-Id: " + id + "\r\n")
                + headers
                + (length < 0 ? "" : "Content-Length: " + length + "\r\n")
                + "\r\n";
    }

    private static boolean answerJson(OutputStream out, int status, Map<String, Object> body)
            throws IOException {
        byte[] bytes = Bytes.of(Json.write(body));
        out.write(
                Bytes.join(
                        "HTTP/1.1 "
                                + status
                                + " -\r\nContent-Type: application/json\r\nContent-Length: "
                                + bytes.length
                                + "\r\n\r\n",
                        bytes));
        return true;
    }
}
