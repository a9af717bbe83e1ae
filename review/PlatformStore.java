package review;

import java.io.IOException;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A stand-in for the store of the users' platform: revisions, watches, transactions, leases, and
 * drills in which it comes back from an earlier copy. Thread-safe.
 */
final class PlatformStore {
    private static final long ANSWER_MILLIS = 4;
    private static final long POLL_MILLIS = 5;

    private record Item(String value, long revision, long created, long lease) {}

    private record Event(String key, Item item, long revision) {}

    private record Lease(long ttlMillis, long untilNanos) {
        static Lease of(long ttlMillis) {
            return new Lease(ttlMillis, System.nanoTime() + ttlMillis * 1_000_000);
        }
    }

    /** What a backup holds. */
    record Copy(long revision, Map<String, Object> items, Map<Long, Long> leases) {}

    private final Listener mListener;
    private final ThreadLocal<String> mView = ThreadLocal.withInitial(() -> "127.0.0.1");
    private final CaseRecord mRecord;
    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Event> mEvents = new ArrayList<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private long mRevision = 1;
    private long mFirstRevision = 1;
    private long mLastLease;
    private long mEra = 1;
    private volatile boolean mDown;

    PlatformStore(CaseRecord record) throws IOException {
        mRecord = record;
        mListener = new Listener(this::handle);
        Threads.start(
                () -> {
                    while (true) {
                        expire();
                        Thread.sleep(50);
                    }
                });
    }

    String address() {
        return mListener.address();
    }

    /**
     * Opens another address of the store, for one host: there the entries of workers name a
     * loopback address on which only this host reaches them.
     */
    String openView(String workerIp) throws IOException {
        Listener view =
                new Listener(
                        (request, socket) -> {
                            mView.set(workerIp);
                            return handle(request, socket);
                        });
        return view.address();
    }

    Listener listener() {
        return mListener;
    }

    synchronized long revision() {
        return mRevision;
    }

    synchronized long revisionOf(String key) {
        Item item = mItems.get(key);
        return item == null ? 0 : item.revision();
    }

    synchronized boolean holds(String key, String value) {
        Item item = mItems.get(key);
        return item != null && item.value().equals(encode(value));
    }

    private static String encode(String value) {
        return Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    }

    /** Writes as an operator or a worker does; returns the revision. */
    synchronized long write(String key, String value) {
        return put(key, encode(value), 0);
    }

    /** Deletes as an operator or a worker does. */
    synchronized void delete(String key) {
        if (mItems.remove(key) != null) {
            mEvents.add(new Event(key, null, ++mRevision));
        }
    }

    synchronized Copy copy() {
        Map<Long, Long> leases = new HashMap<>();
        mLeases.forEach((id, lease) -> leases.put(id, lease.ttlMillis()));
        return new Copy(mRevision, new TreeMap<>(mItems), leases);
    }

    boolean isDown() {
        return mDown;
    }

    /** Goes away, with resets, and comes back as it was. */
    void outage(double seconds) throws IOException {
        mDown = true;
        mListener.close();
        mRecord.line("store: down");
        Threads.sleep(seconds);
        mListener.reopen();
        mDown = false;
        mRecord.line("store: up again");
    }

    /** Goes away for a moment and comes back from a copy, in the next era. */
    void drill(Copy copy, double awaySeconds) throws IOException {
        long before = revision();
        mListener.close();
        Threads.sleep(awaySeconds);
        synchronized (this) {
            mItems.clear();
            copy.items().forEach((key, item) -> mItems.put(key, (Item) item));
            mLeases.clear();
            copy.leases().forEach((id, ttlMillis) -> mLeases.put(id, Lease.of(ttlMillis)));
            mEvents.clear();
            mRevision = copy.revision();
            mFirstRevision = copy.revision();
            mEra++;
        }
        mListener.reopen();
        mRecord.line(
                "store: back from a copy at revision %d (was at %d), Store-Era %d",
                copy.revision(), before, mEra);
    }

    private long put(String key, String value, long lease) {
        Item last = mItems.get(key);
        mRevision++;
        Item item = new Item(value, mRevision, last == null ? mRevision : last.created(), lease);
        mItems.put(key, item);
        mEvents.add(new Event(key, item, mRevision));
        return mRevision;
    }

    private synchronized void expire() {
        long now = System.nanoTime();
        List<Long> ended =
                mLeases.entrySet().stream()
                        .filter(e -> now - e.getValue().untilNanos() >= 0)
                        .map(Map.Entry::getKey)
                        .toList();
        ended.forEach(this::endLease);
    }

    private boolean endLease(long lease) {
        boolean known = mLeases.remove(lease) != null;
        List.copyOf(mItems.entrySet()).stream()
                .filter(e -> e.getValue().lease() == lease)
                .forEach(e -> delete(e.getKey()));
        return known;
    }

    private boolean handle(HttpMessage request, Socket socket) throws IOException {
        String path = request.target().split("\\?")[0];
        Map<String, String> query = query(request.target());
        if (path.equals("/api/kv-watch")) {
            return watch(query, socket);
        }
        pause(ANSWER_MILLIS);
        synchronized (this) {
            return call(path, query, request, socket);
        }
    }

    private boolean call(
            String path, Map<String, String> query, HttpMessage request, Socket socket)
            throws IOException {
        Map<?, ?> body = request.method().equals("POST") ? Json.read(request.text()) : Map.of();
        if (path.equals("/api/kv-key")) {
            Item item = mItems.get(query.get("key"));
            Map<String, Object> answer =
                    item == null ? Json.object() : describe(query.get("key"), item);
            answer.put("currentRev", mRevision);
            return answer(socket, item == null ? 404 : 200, answer);
        }
        if (path.equals("/api/kv-range")) {
            String prefix = query.getOrDefault("pathPrefix", "");
            String after = query.getOrDefault("after", "");
            List<Object> items = new ArrayList<>();
            mItems.forEach(
                    (key, item) -> {
                        if (key.startsWith(prefix) && key.compareTo(after) > 0) {
                            items.add(describe(key, item));
                        }
                    });
            return answer(
                    socket,
                    200,
                    Json.object("items", items, "hasMore", false, "currentRev", mRevision));
        }
        if (path.equals("/api/kv-txn")) {
            return transact(body, socket);
        }
        if (path.equals("/api/kv-lease")) {
            long ttlMillis = (Long) body.get("ttlMs");
            mLeases.put(++mLastLease, Lease.of(ttlMillis));
            return answer(socket, 200, Json.object("lease", mLastLease, "ttlMs", ttlMillis));
        }
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        if (path.startsWith("/api/kv-keep/")) {
            Lease lease = mLeases.computeIfPresent(id, (i, l) -> Lease.of(l.ttlMillis()));
            return answer(socket, lease == null ? 404 : 200, Json.object());
        }
        return answer(socket, endLease(id) ? 200 : 404, Json.object());
    }

    private boolean transact(Map<?, ?> body, Socket socket) throws IOException {
        for (Object row : (List<?>) body.get("precondition")) {
            Map<?, ?> condition = (Map<?, ?>) row;
            if (revisionOf((String) condition.get("key")) != (Long) condition.get("revision")) {
                return answer(socket, 412, Json.object("items", List.of()));
            }
        }
        for (Object row : (List<?>) body.get("puts")) {
            Object lease = ((Map<?, ?>) row).get("lease");
            if (lease != null && (Long) lease != 0 && !mLeases.containsKey((Long) lease)) {
                return answer(socket, 404, Json.object());
            }
        }
        for (Object row : (List<?>) body.get("puts")) {
            Map<?, ?> put = (Map<?, ?>) row;
            Object lease = put.get("lease");
            put(
                    (String) put.get("key"),
                    (String) put.get("value"),
                    lease == null ? 0 : (Long) lease);
        }
        for (Object key : (List<?>) body.get("remove")) {
            delete((String) key);
        }
        return answer(socket, 200, Json.object("revision", mRevision));
    }

    private boolean watch(Map<String, String> query, Socket socket) throws IOException {
        String prefix = query.getOrDefault("pathPrefix", "");
        long after = Long.parseLong(query.get("after"));
        long untilNanos =
                System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
        while (true) {
            synchronized (this) {
                if (after < mFirstRevision && after != 0 || after > mRevision) {
                    return answer(socket, 410, Json.object());
                }
                List<Object> events =
                        mEvents.stream()
                                .filter(e -> e.revision() > after && e.key().startsWith(prefix))
                                .<Object>map(this::describe)
                                .toList();
                if (!events.isEmpty() || System.nanoTime() - untilNanos >= 0) {
                    return answer(
                            socket, 200, Json.object("events", events, "currentRev", mRevision));
                }
            }
            pause(POLL_MILLIS);
            if (socket.isClosed()) {
                return false;
            }
        }
    }

    private Map<String, Object> describe(Event event) {
        return event.item() == null
                ? Json.object("key", event.key(), "revision", event.revision(), "deleted", true)
                : describe(event.key(), event.item());
    }

    private Map<String, Object> describe(String key, Item item) {
        return Json.object(
                "key", key,
                "value", key.startsWith("servers/") ? inView(item.value()) : item.value(),
                "revision", item.revision(),
                "created", item.created(),
                "lease", item.lease());
    }

    private String inView(String value) {
        String entry = new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8);
        String seen = entry.replace("127.0.0.1:", mView.get() + ":");
        return Base64.getEncoder().encodeToString(seen.getBytes(StandardCharsets.UTF_8));
    }

    private boolean answer(Socket socket, int status, Map<String, Object> body)
            throws IOException {
        if (!mListener.isSilent(socket)) {
            byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
            String head =
                    "HTTP/1.1 "
                            + status
                            + " -\r\nContent-Type: application/json\r\nStore-Era: "
                            + mEra
                            + "\r\nContent-Length: "
                            + bytes.length
                            + "\r\n\r\n";
            socket.getOutputStream().write(Bytes.join(head, bytes));
        }
        return true;
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int start = target.indexOf('?');
        if (start >= 0) {
            for (String pair : target.substring(start + 1).split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private static void pause(long millis) {
        Threads.sleep(millis / 1e3);
    }
}
