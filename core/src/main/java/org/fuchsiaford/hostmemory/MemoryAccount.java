package org.fuchsiaford.hostmemory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The bytes that a host holds for requests and their responses. Decides who may take more, and
 * which incomplete body gives way.
 *
 * <p>Answers crowds of callers that send many heads or bodies of legal size at once and stop short
 * of their end, and servers that send large responses without end. Large bodies may fill half of
 * the account, other bodies and heads three quarters, large responses seven eighths, and small ones
 * all of it. So small requests and responses find room beside many large ones, and new requests
 * never displace a response.
 *
 * <p>Where there is no room, incomplete bodies that have stalled give way, those first that have
 * received least. A request that may have been sent to a server never does.
 *
 * <p>Invariant: the sum of all holdings never exceeds the maximum. Thread-safe; callbacks are made
 * without the lock.
 */
public final class MemoryAccount {
    /** A holding up to this size counts as small; most prompts and plain requests are smaller. */
    static final long SMALL_BYTES = 64 * 1024;

    /** A body that receives less than {@link #PROGRESS_BYTES} in this time has stalled. */
    static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** So that a body sent byte by byte does not count as making progress. */
    static final long PROGRESS_BYTES = 4 * 1024;

    private static final Comparator<Holding> LEAST_RECEIVED =
            Comparator.comparingLong(holding -> holding.mReceivedBytes);

    private final long mMaxBytes;
    private final Set<Holding> mArriving = new LinkedHashSet<>();
    private final Map<MemoryDirection, Long> mHeldBytes = new EnumMap<>(MemoryDirection.class);
    private final Map<MemoryDirection, Long> mRefusals = new EnumMap<>(MemoryDirection.class);
    private long mTotalBytes;
    private long mEvictions;

    /**
     * Creates an account.
     *
     * @param maxBytes the maximum sum of all holdings, in bytes
     */
    public MemoryAccount(long maxBytes) {
        mMaxBytes = maxBytes;
        for (MemoryDirection direction : MemoryDirection.values()) {
            mHeldBytes.put(direction, 0L);
            mRefusals.put(direction, 0L);
        }
    }

    /** Returns the maximum sum of all holdings, in bytes. */
    public long maxBytes() {
        return mMaxBytes;
    }

    /** Returns the bytes that are held in a direction. */
    public synchronized long heldBytes(MemoryDirection direction) {
        return mHeldBytes.get(direction);
    }

    /** Returns how often there was no room in a direction. */
    public synchronized long refusals(MemoryDirection direction) {
        return mRefusals.get(direction);
    }

    /** Returns the number of stalled bodies that have given way. */
    public synchronized long evictions() {
        return mEvictions;
    }

    /** Opens an empty holding that never gives way. */
    public Holding open(MemoryDirection direction) {
        return new Holding(direction, 0, () -> {});
    }

    /**
     * Opens an empty holding for a body that may give way to others until it is complete.
     *
     * @param onEvicted called at most once, when the body has to be given up; must not block
     */
    public Holding openArriving(long nowNanos, Runnable onEvicted) {
        Holding holding = new Holding(MemoryDirection.ARRIVING, nowNanos, onEvicted);
        synchronized (this) {
            mArriving.add(holding);
        }
        return holding;
    }

    private long limitBytes(MemoryDirection direction, long bytes) {
        boolean large = bytes > SMALL_BYTES;
        if (!direction.isBeforeRun()) {
            return large ? mMaxBytes / 8 * 7 : mMaxBytes;
        }
        return large && direction == MemoryDirection.ARRIVING ? mMaxBytes / 2 : mMaxBytes / 4 * 3;
    }

    private void add(MemoryDirection direction, long bytes) {
        mHeldBytes.merge(direction, bytes, Long::sum);
        mTotalBytes += bytes;
    }

    /**
     * Returns the stalled bodies to give up so that a holding can grow; null if that is not enough.
     */
    private List<Holding> makeRoom(Holding holding, long addedBytes, long bytes, long nowNanos) {
        long missingBytes = mTotalBytes + addedBytes - limitBytes(holding.mDirection, bytes);
        if (missingBytes <= 0) {
            return List.of();
        }
        List<Holding> stalled =
                mArriving.stream()
                        .filter(other -> other != holding && other.isStalled(nowNanos))
                        .sorted(LEAST_RECEIVED)
                        .toList();
        List<Holding> evicted = new ArrayList<>();
        for (Holding other : stalled) {
            if (missingBytes <= 0) {
                break;
            }
            missingBytes -= other.mBytes;
            evicted.add(other);
        }
        return missingBytes <= 0 ? evicted : null;
    }

    /** The bytes held for one head, body or response. Thread-safe. */
    public final class Holding implements AutoCloseable {
        private final Runnable mOnEvicted;
        private MemoryDirection mDirection;
        private long mBytes;
        private long mReceivedBytes;
        private long mProgressBytes;
        private long mProgressNanos;
        private boolean mClosed;

        private Holding(MemoryDirection direction, long nowNanos, Runnable onEvicted) {
            mDirection = direction;
            mProgressNanos = nowNanos;
            mOnEvicted = onEvicted;
        }

        /**
         * Sets the size of this holding, at the cost of stalled bodies if there is no room.
         *
         * @param bytes the new size, in bytes; a smaller one than before is always possible
         * @return false, without effect, if there is no room or the holding is closed
         */
        public boolean tryResize(long bytes, long nowNanos) {
            List<Holding> evicted;
            synchronized (MemoryAccount.this) {
                long addedBytes = bytes - mBytes;
                evicted =
                        mClosed
                                ? null
                                : addedBytes <= 0
                                        ? List.of()
                                        : makeRoom(this, addedBytes, bytes, nowNanos);
                if (evicted == null) {
                    mRefusals.merge(mDirection, 1L, Long::sum);
                    return false;
                }
                evicted.forEach(Holding::close);
                mEvictions += evicted.size();
                add(mDirection, addedBytes);
                mBytes = bytes;
            }
            evicted.forEach(other -> other.mOnEvicted.run());
            return true;
        }

        /** Records how much of a body has been received. */
        public void recordReceived(long receivedBytes, long nowNanos) {
            synchronized (MemoryAccount.this) {
                mReceivedBytes = receivedBytes;
                if (receivedBytes - mProgressBytes >= PROGRESS_BYTES) {
                    mProgressBytes = receivedBytes;
                    mProgressNanos = nowNanos;
                }
            }
        }

        private boolean isStalled(long nowNanos) {
            return nowNanos - mProgressNanos >= STALL_NANOS;
        }

        /**
         * Moves the bytes to another direction. From then on this holding gives way to nobody.
         *
         * @return false if the holding is closed, as it is if it has given way
         */
        public boolean moveTo(MemoryDirection direction) {
            synchronized (MemoryAccount.this) {
                if (!mClosed) {
                    mArriving.remove(this);
                    add(mDirection, -mBytes);
                    mDirection = direction;
                    add(mDirection, mBytes);
                }
                return !mClosed;
            }
        }

        /** Returns all bytes; without effect if already closed. */
        @Override
        public void close() {
            synchronized (MemoryAccount.this) {
                if (!mClosed) {
                    mClosed = true;
                    mArriving.remove(this);
                    add(mDirection, -mBytes);
                    mBytes = 0;
                }
            }
        }
    }
}
