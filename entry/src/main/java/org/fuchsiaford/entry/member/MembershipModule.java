package org.fuchsiaford.entry.member;

import java.util.List;
import org.fuchsiaford.peer.PeerAddress;
import org.fuchsiaford.peer.PeerClient;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.time.Ticker;

/**
 * The components of membership, wired together. Immutable; the components are thread-safe.
 *
 * @param membership the bundle and the slot that the host acts on
 * @param directory the holders of slots, for finding other hosts
 * @param handler handles messages of other hosts
 * @param claimer claims and vacates slots
 * @param tasks the periodic tasks
 */
public record MembershipModule(
        Membership membership,
        SlotDirectory directory,
        MembershipHandler handler,
        SlotClaimer claimer,
        MembershipTasks tasks) {

    /** Creates the components of one host. */
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
        HostProbe probe = new HostProbe(addresses, peers);
        GrantorNotifier notifier = new GrantorNotifier(membership, directory, probe, peers, ticker);
        SlotClaimer claimer =
                new SlotClaimer(
                        membership,
                        new SlotFencing(loader, notifier, probe, store),
                        probe,
                        store,
                        addresses,
                        ticker);
        MembershipTasks tasks =
                new MembershipTasks(
                        membership,
                        directory,
                        follower,
                        new LeaseRenewer(membership, directory, follower, peers, store, ticker),
                        claimer,
                        new HeadAcceptor(membership, directory, loader, notifier, store),
                        new LivenessKey(membership, store, ticker),
                        store);
        MembershipHandler handler = new MembershipHandler(membership, directory, follower, loader);
        return new MembershipModule(membership, directory, handler, claimer, tasks);
    }
}
