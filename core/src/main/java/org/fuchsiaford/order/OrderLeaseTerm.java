package org.fuchsiaford.order;

/**
 * The period in which one host may send stage orders.
 *
 * <p>It is backed by a lease of the store whose duration is measured on the monotonic clock from
 * before the call that granted or renewed it. Invariant: no orders are sent during an initial wait,
 * in which the last order of a former holder arrives, nor in the last part of the lease. Immutable.
 *
 * @param fence fencing token: the store revision of the holder's record, higher for later holders
 *     over all eras of the store
 * @param fromNanos from when orders may be sent
 * @param untilNanos until when orders may be sent unless the lease is renewed
 */
public record OrderLeaseTerm(long fence, long fromNanos, long untilNanos) {
    /** Returns whether an order may be sent now. */
    public boolean mayOrder(long nowNanos) {
        return nowNanos - fromNanos >= 0 && nowNanos - untilNanos < 0;
    }

    /** Returns the term after a renewal of the lease. */
    public OrderLeaseTerm renewedUntil(long newUntilNanos) {
        return new OrderLeaseTerm(fence, fromNanos, newUntilNanos);
    }
}
