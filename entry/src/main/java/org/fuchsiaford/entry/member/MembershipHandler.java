package org.fuchsiaford.entry.member;

import java.util.Optional;
import org.fuchsiaford.bundle.BundleHead;
import org.fuchsiaford.host.PromiseReply;
import org.fuchsiaford.host.PromiseRequest;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.peer.message.PeerMessage;

/**
 * Handles peer messages about bundles, slots and leases. Thread-safe.
 *
 * <p>Invariant: this host gives a promise, or an acknowledgement that names its slot and thus
 * counts towards a majority, only while it holds the slot with a valid lease.
 */
public final class MembershipHandler {
    private final Membership mMembership;
    private final SlotDirectory mDirectory;
    private final HeadFollower mFollower;
    private final BundleLoader mLoader;

    /** Creates a handler. */
    public MembershipHandler(
            Membership membership,
            SlotDirectory directory,
            HeadFollower follower,
            BundleLoader loader) {
        mMembership = membership;
        mDirectory = directory;
        mFollower = follower;
        mLoader = loader;
    }

    /** Returns the response to a request, or nothing if the request is of another kind. */
    public Optional<PeerMessage> handle(PeerMessage message) {
        if (message instanceof PeerMessage.RequestPromise request) {
            return Optional.of(answerPromise(request.request()));
        }
        if (message instanceof PeerMessage.AnnounceHead announcement) {
            mFollower.follow(announcement.head());
            return Optional.of(acknowledge(mMembership, message));
        }
        if (message instanceof PeerMessage.AnnounceSlotClaim) {
            return Optional.of(acknowledge(mMembership, message));
        }
        return handleQuery(message);
    }

    private Optional<PeerMessage> handleQuery(PeerMessage message) {
        if (message instanceof PeerMessage.FetchHead) {
            BundleHead head = mMembership.newestHead().orElse(null);
            return Optional.of(new PeerMessage.HeadResponse(head));
        }
        if (message instanceof PeerMessage.FetchBundleChunk fetch) {
            return Optional.of(new PeerMessage.BundleChunkResponse(mLoader.chunk(fetch.digest())));
        }
        if (message instanceof PeerMessage.FetchSlots) {
            return Optional.of(
                    new PeerMessage.SlotsResponse(mDirectory.records(), mDirectory.liveSlots()));
        }
        if (message instanceof PeerMessage.Identify) {
            return Optional.of(identity());
        }
        return Optional.empty();
    }

    private PeerMessage identity() {
        Optional<HeldSlot> held = mMembership.heldSlot();
        return new PeerMessage.IdentityResponse(
                mMembership.host(),
                held.map(HeldSlot::slot).orElse(null),
                held.map(HeldSlot::incarnation).orElse(null));
    }

    private PeerMessage answerPromise(PromiseRequest request) {
        return mMembership
                .servingSlot()
                .map(held -> promiseResponse(held.slot(), held.grantor().answer(request, true)))
                .orElseGet(() -> promiseResponse(null, notServing()));
    }

    private PromiseReply notServing() {
        return new PromiseReply(
                PromiseReply.Outcome.MEMBER_NOT_SERVING, mMembership.newestGeneration());
    }

    private static PeerMessage promiseResponse(SlotId slot, PromiseReply reply) {
        return new PeerMessage.PromiseResponse(slot, reply);
    }

    /** Records an announced head or claim with this host's grantor, and acknowledges it. */
    static PeerMessage.Acknowledgement acknowledge(Membership membership, PeerMessage notice) {
        // The lease is checked before the notice is recorded: if the host is paused in between, no
        // later holder of the slot can have become able to give promises before the notice was
        // sent.
        Optional<HeldSlot> serving = membership.servingSlot();
        membership.heldSlot().ifPresent(held -> recordNotice(held, notice));
        return new PeerMessage.Acknowledgement(serving.map(HeldSlot::slot).orElse(null));
    }

    private static void recordNotice(HeldSlot held, PeerMessage notice) {
        if (notice instanceof PeerMessage.AnnounceHead announcement) {
            held.grantor().observe(announcement.head().generation());
        } else if (notice instanceof PeerMessage.AnnounceSlotClaim announcement) {
            held.grantor().observe(announcement.slot(), announcement.incarnation());
        }
    }
}
