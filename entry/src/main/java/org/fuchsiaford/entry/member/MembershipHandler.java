package org.fuchsiaford.entry.member;

import java.util.Optional;
import org.fuchsiaford.bundle.BundleHead;
import org.fuchsiaford.host.PromiseReply;
import org.fuchsiaford.host.PromiseRequest;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.peer.message.PeerMessage;

/**
 * Answers the messages that concern bundles, slots and leases. Thread-safe.
 *
 * <p>Invariant: a promise or an acknowledgement is given only while this host holds its slot by a
 * valid lease.
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

    /** Returns the answer to a request, or nothing if it concerns something else. */
    public Optional<PeerMessage> handle(PeerMessage message) {
        if (message instanceof PeerMessage.RequestPromise promise) {
            return Optional.of(promise(promise.request()));
        }
        if (message instanceof PeerMessage.AnnounceHead inform) {
            mFollower.follow(inform.head());
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
        if (message instanceof PeerMessage.FetchPiece fetch) {
            return Optional.of(new PeerMessage.PieceResponse(mLoader.chunk(fetch.digest())));
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

    private PeerMessage promise(PromiseRequest request) {
        return mMembership
                .servingSlot()
                .map(held -> promised(held.slot(), held.grantor().answer(request, true)))
                .orElseGet(() -> promised(null, notServing()));
    }

    private PromiseReply notServing() {
        return new PromiseReply(
                PromiseReply.Outcome.MEMBER_NOT_SERVING, mMembership.newestGeneration());
    }

    private static PeerMessage promised(SlotId slot, PromiseReply reply) {
        return new PeerMessage.PromiseResponse(slot, reply);
    }

    /** Takes note of a head or a claim in this host's book. */
    static PeerMessage.Acknowledgement acknowledge(Membership membership, PeerMessage notice) {
        // The lease is looked at first: if the host is paused in between, a later holder of the
        // slot cannot have become able to promise before the notice was sent.
        Optional<HeldSlot> serving = membership.servingSlot();
        membership.heldSlot().ifPresent(held -> takeNote(held, notice));
        return new PeerMessage.Acknowledgement(serving.map(HeldSlot::slot).orElse(null));
    }

    private static void takeNote(HeldSlot held, PeerMessage notice) {
        if (notice instanceof PeerMessage.AnnounceHead inform) {
            held.grantor().observe(inform.head().generation());
        } else if (notice instanceof PeerMessage.AnnounceSlotClaim inform) {
            held.grantor().observe(inform.slot(), inform.incarnation());
        }
    }
}
