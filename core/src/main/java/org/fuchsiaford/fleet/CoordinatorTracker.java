package org.fuchsiaford.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.fuchsiaford.host.HostId;

/**
 * Tracks, from the point of view of one host, which hosts coordinate the fleet and which of them it
 * asks.
 *
 * <p>Coordinators grant places on engines and tokens of rate limits. Every host reports to all of
 * them, so the second one can take over at once. Hosts may disagree for a moment about who is the
 * first; two coordinators then grant at the same time, each knowing the other's grants from the
 * reports.
 *
 * <p>Invariant: a host whose last call failed is neither a coordinator nor asked until a later call
 * succeeds. Failing is a judgement of this host alone and has no consequence for the work that the
 * other host is running. Thread-safe.
 */
public final class CoordinatorTracker {
    /**
     * Time for which a coordinator must have been reachable before it is preferred over the next
     * one: by then every host has reported to it several times.
     */
    public static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** Interval at which a failing host is tried again. */
    private static final long PROBE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final FleetView mFleet;
    private final Map<HostId, Contact> mContacts = new HashMap<>();
    private boolean mIsChosen = true;
    private long mChosenSinceNanos;

    private static final class Contact {
        private boolean mFailing;
        private boolean mReached;
        private long mReachedSinceNanos;
        private long mLastTryNanos;
    }

    /**
     * Creates a tracker.
     *
     * @param startNanos when this host started
     */
    public CoordinatorTracker(FleetView fleet, long startNanos) {
        mFleet = fleet;
        mChosenSinceNanos = startNanos;
    }

    /** Records a response of a host. */
    public synchronized void recordSuccess(HostId host, long nowNanos) {
        Contact contact = mContacts.computeIfAbsent(host, id -> new Contact());
        if (contact.mFailing || !contact.mReached) {
            contact.mReachedSinceNanos = nowNanos;
        }
        contact.mFailing = false;
        contact.mReached = true;
        contact.mLastTryNanos = nowNanos;
    }

    /** Records a call without a response. Returns whether the host was not failing before. */
    public synchronized boolean recordFailure(HostId host, long nowNanos) {
        Contact contact = mContacts.computeIfAbsent(host, id -> new Contact());
        boolean changed = !contact.mFailing;
        contact.mFailing = true;
        contact.mReached = false;
        contact.mLastTryNanos = nowNanos;
        return changed;
    }

    /** Returns the coordinators in the order in which they are asked; may contain this host. */
    public synchronized List<HostRecord> coordinators() {
        return CoordinatorRanking.choose(known().filter(host -> !isFailing(host.id())).toList());
    }

    /**
     * Returns the failing hosts that are due to be tried again: those that would be coordinators.
     */
    public synchronized List<HostRecord> dueForProbe(long nowNanos) {
        List<HostRecord> due =
                CoordinatorRanking.choose(known().toList()).stream()
                        .filter(host -> isFailing(host.id()))
                        .filter(
                                host ->
                                        nowNanos - mContacts.get(host.id()).mLastTryNanos
                                                >= PROBE_NANOS)
                        .toList();
        due.forEach(host -> mContacts.get(host.id()).mLastTryNanos = nowNanos);
        return due;
    }

    /**
     * Returns the coordinator to ask: the first that has been reachable for {@link #SETTLE_NANOS},
     * otherwise the first reachable one, otherwise none.
     */
    public synchronized Optional<HostRecord> primary(long nowNanos) {
        List<HostRecord> coordinators = coordinators();
        recordChosen(coordinators.stream().anyMatch(this::isSelf), nowNanos);
        return coordinators.stream()
                .filter(host -> isSettled(host, nowNanos))
                .findFirst()
                .or(() -> coordinators.stream().filter(this::isReached).findFirst());
    }

    /** Other hosts report to this one only from when it is one of the coordinators. */
    private void recordChosen(boolean isChosen, long nowNanos) {
        if (isChosen && !mIsChosen) {
            mChosenSinceNanos = nowNanos;
        }
        mIsChosen = isChosen;
    }

    /** Returns whether this host is the coordinator that it asks itself. */
    public boolean isPrimary(long nowNanos) {
        return primary(nowNanos).map(HostRecord::id).equals(Optional.of(mFleet.self().id()));
    }

    /** Forgets hosts that are no longer known. */
    public synchronized void retainKnown() {
        List<HostId> known = known().map(HostRecord::id).toList();
        mContacts.keySet().retainAll(known);
    }

    private Stream<HostRecord> known() {
        return Stream.concat(Stream.of(mFleet.self()), mFleet.others().stream());
    }

    private boolean isFailing(HostId host) {
        Contact contact = mContacts.get(host);
        return contact != null && contact.mFailing;
    }

    private boolean isReached(HostRecord host) {
        Contact contact = mContacts.get(host.id());
        return isSelf(host) || contact != null && contact.mReached;
    }

    private boolean isSettled(HostRecord host, long nowNanos) {
        long sinceNanos =
                isSelf(host)
                        ? mChosenSinceNanos
                        : isReached(host) ? mContacts.get(host.id()).mReachedSinceNanos : nowNanos;
        return nowNanos - sinceNanos >= SETTLE_NANOS;
    }

    private boolean isSelf(HostRecord host) {
        return host.id().equals(mFleet.self().id());
    }
}
