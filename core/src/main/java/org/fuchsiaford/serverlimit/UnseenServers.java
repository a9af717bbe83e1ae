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
    /** Contact is checked again after this time. */
    private static final long CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final ColdServers mCold;
    private final BooleanSupplier mIsCutOff;

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
        return mIsCutOff.getAsBoolean()
                ? mCold.rateIfCold(server, CHECK_NANOS)
                : ServerRate.UNLIMITED;
    }

    @Override
    public boolean isEmpty() {
        return !mIsCutOff.getAsBoolean();
    }
}
