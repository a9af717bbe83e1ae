package org.fuchsiaford.entry.member;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.fuchsiaford.bundle.Bundle;
import org.fuchsiaford.bundle.BundleHead;
import org.fuchsiaford.bundle.BundleIndex;
import org.fuchsiaford.bundle.Generation;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.host.GrantorSet;
import org.fuchsiaford.host.GrantorTable;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.host.LeaseSubject;
import org.fuchsiaford.host.ServingLease;
import org.fuchsiaford.time.Ticker;

/**
 * The state that this host acts on: the bundle in force, a newer bundle while its lease is not yet
 * confirmed, and the slot that the host holds.
 *
 * <p>Invariants: the generation acted on never decreases; a view is acted on only while its lease
 * is valid; taking or losing a slot replaces all leases by new ones, which are not valid until they
 * are confirmed. Thread-safe.
 */
public final class Membership {
    private static final long NOT_SERVING_RETRY_AFTER_MILLIS = 1_000;

    private final HostId mHost;
    private final Ticker mTicker;
    private ServingView mActive;
    private ServingView mPending;
    private HeldSlot mHeld;

    /** Creates the state of a host without a bundle and without a slot. */
    public Membership(HostId host, Ticker ticker) {
        mHost = host;
        mTicker = ticker;
    }

    /** Returns the ID of this host's process. */
    public HostId host() {
        return mHost;
    }

    /** Returns the view that this host may currently act on, if any. */
    public synchronized Optional<ServingView> servingView() {
        long nowNanos = mTicker.nowNanos();
        if (mPending != null && mPending.lease().isValid(nowNanos)) {
            mActive = mPending;
            mPending = null;
        }
        return Optional.ofNullable(mActive).filter(view -> view.lease().isValid(nowNanos));
    }

    /**
     * Returns the view that this host may currently act on.
     *
     * @throws RefusalException if there is none; the request has not been run
     */
    public ServingView requireServingView() throws RefusalException {
        return servingView()
                .orElseThrow(
                        () ->
                                RefusalException.notRunRetry(
                                        RefusalReason.HOST_NOT_SERVING,
                                        NOT_SERVING_RETRY_AFTER_MILLIS,
                                        Step.ADMIT,
                                        "this host may not serve now; use another one"));
    }

    /** Returns whether this host may currently serve, that is, has a view with a valid lease. */
    public boolean isServing() {
        return servingView().isPresent();
    }

    /** Returns the slot that this host holds, if the host's lease as its holder is valid. */
    public synchronized Optional<HeldSlot> servingSlot() {
        return servingView()
                .map(view -> view.lease().subject())
                .filter(subject -> mHeld != null)
                .filter(subject -> mHeld.slot().equals(subject.slot()))
                .map(subject -> mHeld);
    }

    /** Returns the views whose leases need renewal, the one in force first. */
    public synchronized List<ServingView> views() {
        return Stream.of(mActive, mPending).filter(view -> view != null).toList();
    }

    /** Returns the newest head that this host has loaded. */
    public synchronized Optional<BundleHead> newestHead() {
        return Optional.ofNullable(newest()).map(ServingView::head);
    }

    /** Returns the view of the newest bundle that this host has loaded. */
    public synchronized Optional<ServingView> newestView() {
        return Optional.ofNullable(newest());
    }

    /** Returns the generation of the newest head, or {@link Generation#NONE}. */
    public synchronized Generation newestGeneration() {
        return newestHead().map(BundleHead::generation).orElse(Generation.NONE);
    }

    private ServingView newest() {
        return mPending == null ? mActive : mPending;
    }

    /** Installs a loaded bundle; ignored unless it is newer than every installed one. */
    public synchronized void install(BundleHead head, Bundle bundle) {
        if (!newestGeneration().isBefore(head.generation())) {
            return;
        }
        GrantorTable grantorTable = new GrantorTable(bundle.entrySlots());
        BundleIndex index =
                newest() == null ? new BundleIndex(bundle) : newest().index().rebuild(bundle);
        ServingLease lease = newLease(head, grantorTable);
        mPending = new ServingView(head, index, grantorTable, lease);
        if (mActive == null) {
            mActive = mPending;
            mPending = null;
        }
        applyLimits();
    }

    /** Records that a generation is accepted; ignored unless its bundle is installed. */
    public synchronized void markAccepted(Generation generation) {
        boolean recorded =
                newestHead()
                        .filter(head -> head.generation().equals(generation))
                        .filter(BundleHead::accepted)
                        .isPresent();
        if (recorded) {
            return;
        }
        if (mPending != null && mPending.head().generation().equals(generation)) {
            mPending = mPending.asAccepted();
        } else if (mActive != null && mActive.head().generation().equals(generation)) {
            mActive = mActive.asAccepted();
        } else {
            return;
        }
        applyLimits();
    }

    /**
     * Applies the limits of the newest bundle; they are only lowered until that bundle is accepted.
     */
    private void applyLimits() {
        ServingView newest = newest();
        if (mHeld != null && newest != null) {
            mHeld.buckets().apply(newest.index(), newest.head().accepted(), mTicker.nowNanos());
        }
    }

    /**
     * Takes over a slot whose former holders are all fenced.
     *
     * @param shownGeneration the generation that the store showed after the claim was completed
     * @param sentNanos when the read of the store was sent
     */
    public synchronized void holdSlot(HeldSlot held, Generation shownGeneration, long sentNanos) {
        mHeld = held;
        replaceLeases();
        views().stream()
                .filter(view -> view.head().generation().equals(shownGeneration))
                .forEach(view -> view.lease().confirmByStore(sentNanos));
        applyLimits();
    }

    /** Stops acting as the holder of the slot, because the host is superseded or shuts down. */
    public synchronized void dropSlot() {
        mHeld = null;
        replaceLeases();
    }

    private void replaceLeases() {
        mActive = mActive == null ? null : withNewLease(mActive);
        mPending = mPending == null ? null : withNewLease(mPending);
    }

    private ServingView withNewLease(ServingView view) {
        return view.withLease(newLease(view.head(), view.grantorTable()));
    }

    private ServingLease newLease(BundleHead head, GrantorTable grantorTable) {
        Generation generation = head.generation();
        if (mHeld == null) {
            return new ServingLease(
                    new LeaseSubject(generation, null, null), grantorTable.grantorsForSpare(mHost));
        }
        GrantorSet grantors = grantorTable.grantorsOf(mHeld.slot());
        return new ServingLease(
                new LeaseSubject(generation, mHeld.slot(), mHeld.incarnation()), grantors);
    }

    /** Returns the slot that this host holds, if any. */
    public synchronized Optional<HeldSlot> heldSlot() {
        return Optional.ofNullable(mHeld);
    }
}
