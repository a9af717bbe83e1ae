package org.fuchsiaford.registry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;

/**
 * The backend servers that are there, as the store reports them.
 *
 * <p>Invariant: an entry never goes back to an older revision. A server whose entry vanishes around
 * an outage of the store is kept for {@link #RETENTION_NANOS}, since entries that lapsed in the
 * outage come back within that time; at any other time it is gone at once. Thread-safe.
 */
public final class ServerRegistry {
    /** Entries that lapsed in an outage return within two seconds; the rest is reaction time. */
    public static final long RETENTION_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);

    private final Map<BackendServerId, Entry> mEntries = new HashMap<>();
    private long mHoldUntilNanos;
    private boolean mHolding;

    /** A server, or null if its entry was removed; and until when a missing one is kept. */
    private record Entry(LiveServer server, long revision, boolean missing, long goneAtNanos) {
        boolean isUsable(long nowNanos) {
            return server != null && (!missing || nowNanos - goneAtNanos < 0);
        }
    }

    /** Takes note of an entry. Returns whether it is news. */
    public synchronized boolean put(LiveServer server, long revision) {
        Entry last = mEntries.get(server.id());
        if (last != null && last.revision() >= revision) {
            return false;
        }
        mEntries.put(server.id(), new Entry(server, revision, false, 0));
        return true;
    }

    /** Takes note that an entry was removed. Returns whether it is news. */
    public synchronized boolean remove(BackendServerId id, long revision, long nowNanos) {
        Entry last = mEntries.get(id);
        if (last == null || last.revision() >= revision) {
            return false;
        }
        boolean held = mHolding && nowNanos - mHoldUntilNanos < 0 && last.server() != null;
        LiveServer kept = held && !last.server().draining() ? last.server() : null;
        mEntries.put(id, new Entry(kept, revision, true, mHoldUntilNanos));
        return true;
    }

    /** Keeps servers whose entries vanish from now on for {@link #RETENTION_NANOS}. */
    public synchronized void retainRemoved(long nowNanos) {
        mHolding = true;
        mHoldUntilNanos = nowNanos + RETENTION_NANOS;
    }

    /** Returns the servers of a service that take new work. */
    public synchronized List<LiveServer> usable(ServiceId service, long nowNanos) {
        return mEntries.values().stream()
                .filter(entry -> entry.isUsable(nowNanos))
                .map(Entry::server)
                .filter(server -> server.service().equals(service) && !server.draining())
                .toList();
    }

    /** Returns whether this very run of a server may still get new work. */
    public synchronized boolean isUsable(LiveServer server, long nowNanos) {
        return Optional.ofNullable(mEntries.get(server.id()))
                .filter(entry -> entry.isUsable(nowNanos))
                .map(Entry::server)
                .filter(now -> now.startedMillis() == server.startedMillis() && !now.draining())
                .isPresent();
    }
}
