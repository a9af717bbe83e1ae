package org.fuchsiaford.entry.member;

import java.util.List;
import org.fuchsiaford.peer.PeerAddress;
import org.fuchsiaford.peer.PeerClient;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.time.Ticker;

/**
 * All parts of membership, wired together. Immutable; the parts are thread-safe.
 *
 * @param membership what the host acts on
 * @param directory who holds which slot
 * @param handler answers other hosts
 * @param claimer claims slots
 * @param tasks runs the periodic work
 */
public record MembershipModule(
        Membership membership,
        SlotDirectory directory,
        MembershipHandler handler,
        SlotClaimer claimer,
        MembershipTasks tasks) {

    /** Wires the parts of one host. */
    public static MembershipModule create(
            HostAddresses addresses,
            List<PeerAddress> seeds,
            List<String> signingKeys,
            PeerClient peers,
            Store store,
            Ticker ticker) {
        Membership membership = new Membership(addresses.host(), ticker);
        SlotDirectory directory = new SlotDirectory();
        BundleLoader loader = new BundleLoader(store, peers, signingKeys);
        HeadFollower follower = new HeadFollower(membership, loader, directory, peers, seeds);
        HostProbe deathProof = new HostProbe(addresses, peers);
        GrantorNotifier informer =
                new GrantorNotifier(membership, directory, deathProof, peers, ticker);
        SlotClaimer claimer =
                new SlotClaimer(
                        membership,
                        new SlotFencing(loader, informer, deathProof, store),
                        deathProof,
                        store,
                        addresses,
                        ticker);
        MembershipTasks loop =
                new MembershipTasks(
                        membership,
                        directory,
                        follower,
                        new LeaseRenewer(membership, directory, follower, peers, store, ticker),
                        claimer,
                        new HeadAcceptor(membership, directory, loader, informer, store),
                        new LivenessKey(membership, store, ticker),
                        store);
        MembershipHandler handler = new MembershipHandler(membership, directory, follower, loader);
        return new MembershipModule(membership, directory, handler, claimer, loop);
    }
}
