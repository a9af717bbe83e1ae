package org.fuchsiaford.hostmemory;

import java.util.HashMap;
import java.util.Map;
import org.fuchsiaford.backend.BackendServerId;

/**
 * Bounds the bytes of requests that this host has in progress at one server. Answers servers that
 * read slowly, or that fail if the requests they hold exceed their memory. A request is always
 * taken while the server has none of this host. Thread-safe.
 */
public final class ServerByteLimit {
    private final long mMaxBytes;
    private final Map<BackendServerId, Long> mBytes = new HashMap<>();

    /** Creates a limit with the maximum sum of the bodies at one server, in bytes. */
    public ServerByteLimit(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Begins a call, unless it would exceed the limit; {@link #end} must follow if it began. */
    public synchronized boolean tryBegin(BackendServerId server, int bytes) {
        long before = mBytes.getOrDefault(server, 0L);
        if (before > 0 && before + bytes > mMaxBytes) {
            return false;
        }
        mBytes.put(server, before + bytes);
        return true;
    }

    /** Ends a call. */
    public synchronized void end(BackendServerId server, int bytes) {
        mBytes.computeIfPresent(server, (id, sum) -> sum > bytes ? sum - bytes : null);
    }

    /** Returns the bytes in progress at a server. */
    public synchronized long bytes(BackendServerId server) {
        return mBytes.getOrDefault(server, 0L);
    }
}
