package org.fuchsiaford.host;

import java.util.concurrent.TimeUnit;

/**
 * Timing of serving leases. The only assumption about clocks is that the rates of the clocks of any
 * two hosts differ by at most 2%.
 */
public final class LeaseTiming {
    /** How long a confirmation by the store or by a majority of grantors is valid. */
    public static final long TERM_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

    /**
     * How long to wait until every older lease has expired. 5% longer than a term, which covers the
     * permitted difference of clock rates.
     */
    public static final long FENCING_WAIT_NANOS = TERM_NANOS + TERM_NANOS / 20;

    /** How often a holder renews its lease from its grantors. */
    public static final long RENEWAL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(950);

    /** If less than this remains after a renewal from the grantors, the store is asked as well. */
    public static final long STORE_RENEWAL_THRESHOLD_NANOS = TERM_NANOS * 3 / 5;

    private LeaseTiming() {}
}
