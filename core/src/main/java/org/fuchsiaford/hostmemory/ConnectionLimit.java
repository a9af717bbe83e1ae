package org.fuchsiaford.hostmemory;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Bounds the number of open connections of callers below the descriptor limit. Answers crowds of
 * connections without requests: the one that has been idle longest is closed first.
 *
 * <p>Invariant: after each call, at most the maximum number of connections is open, provided that
 * the caller closes those returned. Thread-safe.
 *
 * @param <C> the type of connections
 */
public final class ConnectionLimit<C> {
    private final int mMaxConnections;
    private final Set<C> mOpen = new LinkedHashSet<>();
    private final Set<C> mIdle = new LinkedHashSet<>();
    private long mClosed;

    /** Creates a limit with the maximum number of open connections. */
    public ConnectionLimit(int maxConnections) {
        mMaxConnections = maxConnections;
    }

    /** Adds a connection, which is idle; returns the connection to close, if there are too many. */
    public synchronized Optional<C> add(C connection) {
        mOpen.add(connection);
        mIdle.add(connection);
        if (mOpen.size() <= mMaxConnections) {
            return Optional.empty();
        }
        Iterator<C> idle = mIdle.iterator();
        C closed = idle.next();
        idle.remove();
        mOpen.remove(closed);
        mClosed++;
        return Optional.of(closed);
    }

    /** Records that a request begins or that all requests of a connection have ended. */
    public synchronized void setIdle(C connection, boolean idle) {
        if (!idle) {
            mIdle.remove(connection);
        } else if (mOpen.contains(connection)) {
            mIdle.add(connection);
        }
    }

    /** Removes a connection that was closed. */
    public synchronized void remove(C connection) {
        mOpen.remove(connection);
        mIdle.remove(connection);
    }

    /** Returns the number of open connections. */
    public synchronized int openConnections() {
        return mOpen.size();
    }

    /** Returns the number of connections that were closed because there were too many. */
    public synchronized long closedConnections() {
        return mClosed;
    }
}
