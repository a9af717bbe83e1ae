package org.fuchsiaford.serverlimit;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.fuchsiaford.registry.ServerRun;

/**
 * Servers that may have become cold without notice: a host that reaches neither the store nor
 * another host takes all servers for cold whose service declares what cold servers tolerate.
 * Thread-safe.
 */
public final class UnseenServers implements ServerRateSource {
    /** Contact is checked again after this time; the check counts the hosts of the fleet. */
    private static final long CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final ColdServers mCold;
    private final BooleanSupplier mIsCutOff;
    private boolean mWasCutOff;
    private boolean mIsChecked;
    private long mCheckedNanos;

    /**
     * Creates a source.
     *
     * @param isCutOff whether this host reaches neither the store nor another host
     */
    public UnseenServers(ColdServers cold, BooleanSupplier isCutOff) {
        mCold = cold;
        mIsCutOff = isCutOff;
    }

    @Override
    public ServerRate rate(ServerRun server, long nowNanos) {
        return isCutOff(nowNanos) ? mCold.rateIfCold(server, CHECK_NANOS) : ServerRate.UNLIMITED;
    }

    private synchronized boolean isCutOff(long nowNanos) {
        if (!mIsChecked || nowNanos - mCheckedNanos >= CHECK_NANOS) {
            mWasCutOff = mIsCutOff.getAsBoolean();
            mIsChecked = true;
            mCheckedNanos = nowNanos;
        }
        return mWasCutOff;
    }

    @Override
    public boolean isEmpty() {
        return !mIsCutOff.getAsBoolean();
    }
}
