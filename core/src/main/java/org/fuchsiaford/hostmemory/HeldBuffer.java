package org.fuchsiaford.hostmemory;

import java.util.Arrays;

/**
 * A growing array whose capacity is charged to a holding before it is allocated. However many
 * pieces are appended, it costs no memory for each. Not thread-safe.
 */
public final class HeldBuffer {
    private static final int MIN_CAPACITY_BYTES = 512;
    private static final byte[] EMPTY = new byte[0];

    private final MemoryAccount.Holding mHolding;
    private final int mMaxBytes;
    private byte[] mArray = EMPTY;
    private int mSize;

    /** Copies bytes into an array. */
    public interface Source {
        /** Copies exactly the announced number of bytes to the offset. */
        void copyTo(byte[] target, int offset);
    }

    /**
     * Creates an empty buffer.
     *
     * @param maxBytes the largest size, which the capacity does not exceed either
     */
    public HeldBuffer(MemoryAccount.Holding holding, int maxBytes) {
        mHolding = holding;
        mMaxBytes = maxBytes;
    }

    /** Returns the number of bytes that were appended. */
    public int size() {
        return mSize;
    }

    /**
     * Charges and allocates a capacity.
     *
     * @return false, without effect, if the account has no room
     */
    public boolean tryReserve(int capacityBytes, long nowNanos) {
        if (capacityBytes <= mArray.length) {
            return true;
        }
        // Both arrays exist while the bytes are copied.
        if (!mHolding.tryResize((long) mArray.length + capacityBytes, nowNanos)) {
            return false;
        }
        mArray = Arrays.copyOf(mArray, capacityBytes);
        mHolding.tryResize(capacityBytes, nowNanos);
        return true;
    }

    /**
     * Appends bytes, which must not exceed the maximum size.
     *
     * @return false, without effect, if the account has no room
     */
    public boolean tryAppend(int bytes, Source source, long nowNanos) {
        int size = Math.addExact(mSize, bytes);
        if (size > mMaxBytes) {
            throw new IllegalArgumentException("the buffer exceeds " + mMaxBytes + " bytes");
        }
        if (size > mArray.length) {
            long doubled = Math.max(MIN_CAPACITY_BYTES, 2L * mArray.length);
            int capacity = (int) Math.min(mMaxBytes, Math.max(size, doubled));
            if (!tryReserve(capacity, nowNanos)) {
                return false;
            }
        }
        source.copyTo(mArray, mSize);
        mSize = size;
        return true;
    }

    /**
     * Returns the bytes and empties the buffer; the holding then has their exact size.
     *
     * @return null if the account has no room for the copy that removes unused capacity
     */
    public byte[] take(long nowNanos) {
        byte[] bytes = mArray;
        if (mSize < mArray.length) {
            if (!mHolding.tryResize((long) mArray.length + mSize, nowNanos)) {
                return null;
            }
            bytes = Arrays.copyOf(mArray, mSize);
        }
        mArray = EMPTY;
        mHolding.tryResize(mSize, nowNanos);
        return bytes;
    }
}
