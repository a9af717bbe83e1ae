package org.fuchsiaford.order;

/**
 * One host's right to give orders, and from when to when.
 *
 * <p>It rests on a lease of the store whose life counts from before the call that granted or
 * renewed it, on the steady clock. Invariant: nobody gives orders in the first {@code waitNanos},
 * so that a former holder's last order has arrived, nor in the last part of the lease. Immutable.
 *
 * @param fence the store's revision of the holder's record; later holders have higher ones
 * @param fromNanos from when orders may be given
 * @param untilNanos until when orders may be given unless the lease is renewed
 */
public record OrderLeaseTerm(long fence, long fromNanos, long untilNanos) {
    /** Returns whether an order may be sent now. */
    public boolean mayOrder(long nowNanos) {
        return nowNanos - fromNanos >= 0 && nowNanos - untilNanos < 0;
    }

    /** Returns the tenure after a renewal. */
    public OrderLeaseTerm renewedUntil(long newUntilNanos) {
        return new OrderLeaseTerm(fence, fromNanos, newUntilNanos);
    }
}
