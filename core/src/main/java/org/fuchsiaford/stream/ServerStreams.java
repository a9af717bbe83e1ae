package org.fuchsiaford.stream;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.backend.BackendServerId;

/**
 * Which servers began the latest streams of this host, as far as they have not stated their run
 * since. A registration may be out of date when a stream begins, if the server has just been
 * replaced under its ID.
 *
 * <p>Invariant: a stream is kept for {@link #RETENTION_NANOS}. Thread-safe.
 */
public final class ServerStreams {
    /** Streams are taken up within this time; the store may be away as long. */
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final Deque<Entry> mEntries = new ArrayDeque<>();

    private record Entry(StreamKey stream, BackendServerId server, long begunNanos) {}

    /** Records that a server has begun a stream. */
    public synchronized void record(StreamKey stream, BackendServerId server, long nowNanos) {
        while (!mEntries.isEmpty()
                && nowNanos - mEntries.peekFirst().begunNanos() > RETENTION_NANOS) {
            mEntries.removeFirst();
        }
        mEntries.addLast(new Entry(stream, server, nowNanos));
    }

    /**
     * Returns the streams that a server began since a time.
     *
     * @param sinceNanos a time on the monotonic clock
     */
    public synchronized List<StreamKey> begunSince(BackendServerId server, long sinceNanos) {
        return mEntries.stream()
                .filter(entry -> entry.server().equals(server))
                .filter(entry -> entry.begunNanos() - sinceNanos >= 0)
                .map(Entry::stream)
                .toList();
    }
}
