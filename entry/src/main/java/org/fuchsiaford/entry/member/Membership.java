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
 * What this host acts on: the bundle in force and, while a newer one is being taken over, that one
 * too; and the slot that it holds.
 *
 * <p>Invariants: the generation acted on never falls; a view is acted on only while its lease is
 * valid; a new slot or a lost one gives new leases, which are not valid until confirmed.
 * Thread-safe.
 */
public final class Membership {
    private static final long NOT_SERVING_RETRY_MILLIS = 1_000;

    private final HostId mHost;
    private final Ticker mTicker;
    private ServingView mActive;
    private ServingView mPending;
    private HeldSlot mHeld;

    /** Creates the state of a host without bundle and slot. */
    public Membership(HostId host, Ticker ticker) {
        mHost = host;
        mTicker = ticker;
    }

    /** Returns the id of this host's process. */
    public HostId host() {
        return mHost;
    }

    /** Returns the view that this host may act on now, if any. */
    public synchronized Optional<ServingView> servingView() {
        long nowNanos = mTicker.nowNanos();
        if (mPending != null && mPending.lease().isValid(nowNanos)) {
            mActive = mPending;
            mPending = null;
        }
        return Optional.ofNullable(mActive).filter(view -> view.lease().isValid(nowNanos));
    }

    /**
     * Returns the view that this host may act on now.
     *
     * @throws RefusalException if there is none; the request has not run
     */
    public ServingView requireServingView() throws RefusalException {
        return servingView()
                .orElseThrow(
                        () ->
                                RefusalException.notRunRetry(
                                        RefusalReason.HOST_NOT_SERVING,
                                        NOT_SERVING_RETRY_MILLIS,
                                        Step.ADMIT,
                                        "this host may not serve now; use another one"));
    }

    /** Returns whether this host's own lease is valid. */
    public boolean isServing() {
        return servingView().isPresent();
    }

    /** Returns the slot that this host holds, if its lease as the slot's holder is valid. */
    public synchronized Optional<HeldSlot> servingSlot() {
        return servingView()
                .map(view -> view.lease().subject())
                .filter(subject -> mHeld != null)
                .filter(subject -> mHeld.slot().equals(subject.slot()))
                .map(subject -> mHeld);
    }

    /** Returns the views whose leases must be renewed. */
    public synchronized List<ServingView> views() {
        return Stream.of(mActive, mPending).filter(view -> view != null).toList();
    }

    /** Returns the newest head that this host has loaded. */
    public synchronized Optional<BundleHead> newestHead() {
        return Optional.ofNullable(newest()).map(ServingView::head);
    }

    /** Returns the newest bundle that this host has loaded. */
    public synchronized Optional<ServingView> newestView() {
        return Optional.ofNullable(newest());
    }

    /** Returns the generation of the newest head, or none. */
    public synchronized Generation newestGeneration() {
        return newestHead().map(BundleHead::generation).orElse(Generation.NONE);
    }

    private ServingView newest() {
        return mPending == null ? mActive : mPending;
    }

    /** Takes a loaded bundle over; ignored unless newer than all before. */
    public synchronized void install(BundleHead head, Bundle bundle) {
        if (!newestGeneration().isBefore(head.generation())) {
            return;
        }
        GrantorTable panels = new GrantorTable(bundle.entrySlots());
        BundleIndex index =
                newest() == null ? new BundleIndex(bundle) : newest().index().rebuild(bundle);
        ServingLease lease = newLease(head, panels);
        mPending = new ServingView(head, index, panels, lease);
        if (mActive == null) {
            mActive = mPending;
            mPending = null;
        }
        applyLimits();
    }

    /** Takes note that the newest head is accepted. */
    public synchronized void markAccepted(Generation generation) {
        boolean known =
                newestHead()
                        .filter(head -> head.generation().equals(generation))
                        .filter(BundleHead::accepted)
                        .isPresent();
        if (known) {
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

    /** The newest bundle's limits count in full only once that very bundle is accepted. */
    private void applyLimits() {
        ServingView newest = newest();
        if (mHeld != null && newest != null) {
            mHeld.buckets().apply(newest.index(), newest.head().accepted(), mTicker.nowNanos());
        }
    }

    /**
     * Takes a slot over, all of whose former holders are fenced.
     *
     * @param shown the generation that the store showed after the takeover
     * @param askedNanos when the store was asked
     */
    public synchronized void holdSlot(HeldSlot held, Generation shown, long askedNanos) {
        mHeld = held;
        replaceLeases();
        views().stream()
                .filter(view -> view.head().generation().equals(shown))
                .forEach(view -> view.lease().confirmByStore(askedNanos));
        applyLimits();
    }

    /** Gives the slot up, being superseded or stopping. */
    public synchronized void dropSlot() {
        mHeld = null;
        replaceLeases();
    }

    private void replaceLeases() {
        mActive = mActive == null ? null : renewedView(mActive);
        mPending = mPending == null ? null : renewedView(mPending);
    }

    private ServingView renewedView(ServingView view) {
        return view.withLease(newLease(view.head(), view.grantorTable()));
    }

    private ServingLease newLease(BundleHead head, GrantorTable panels) {
        Generation generation = head.generation();
        if (mHeld == null) {
            return new ServingLease(
                    new LeaseSubject(generation, null, null), panels.grantorsForSpare(mHost));
        }
        GrantorSet panel = panels.grantorsOf(mHeld.slot());
        return new ServingLease(
                new LeaseSubject(generation, mHeld.slot(), mHeld.incarnation()), panel);
    }

    /** Returns the slot that this host holds, if any. */
    public synchronized Optional<HeldSlot> heldSlot() {
        return Optional.ofNullable(mHeld);
    }
}
