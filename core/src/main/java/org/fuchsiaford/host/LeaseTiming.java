package org.fuchsiaford.host;

import java.util.concurrent.TimeUnit;

/**
 * The times that serving leases are built on. Clocks of different hosts may run at rates that
 * differ by at most two percent; nothing else is assumed of them.
 */
public final class LeaseTiming {
    /** How long a confirmation or a promise entitles its holder to act. */
    public static final long TERM_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

    /** How long to wait until no lease from before is valid, by any clock within the bound. */
    public static final long FENCING_WAIT_NANOS = TERM_NANOS + TERM_NANOS / 20;

    /** How often a holder asks for new promises. */
    public static final long RENEWAL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(950);

    /** A lease that is still short of this after a renewal is confirmed by the store. */
    public static final long STORE_RENEWAL_THRESHOLD_NANOS = TERM_NANOS * 3 / 5;

    private LeaseTiming() {}
}
