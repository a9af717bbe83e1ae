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
 * @param loop runs the periodic work
 */
public record MemberModule(
        Membership membership,
        SlotDirectory directory,
        MemberHandler handler,
        SlotClaimer claimer,
        MemberLoop loop) {

    /** Wires the parts of one host. */
    public static MemberModule create(
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
        DeathProof deathProof = new DeathProof(addresses, peers);
        PanelInformer informer =
                new PanelInformer(membership, directory, deathProof, peers, ticker);
        SlotClaimer claimer =
                new SlotClaimer(
                        membership,
                        new SlotFencing(loader, informer, deathProof, store),
                        deathProof,
                        store,
                        addresses,
                        ticker);
        MemberLoop loop =
                new MemberLoop(
                        membership,
                        directory,
                        follower,
                        new LeaseRenewer(membership, directory, follower, peers, store, ticker),
                        claimer,
                        new AcceptanceDriver(membership, directory, loader, informer, store),
                        new LiveKey(membership, store, ticker),
                        store);
        MemberHandler handler = new MemberHandler(membership, directory, follower, loader);
        return new MemberModule(membership, directory, handler, claimer, loop);
    }
}
