package org.fuchsiaford.entry.fleet;

import java.time.Duration;
import java.util.List;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.entry.limit.Admission;
import org.fuchsiaford.entry.limit.LimitHandler;
import org.fuchsiaford.entry.member.HostAddresses;
import org.fuchsiaford.entry.member.Membership;
import org.fuchsiaford.entry.member.MembershipHandler;
import org.fuchsiaford.entry.member.MembershipModule;
import org.fuchsiaford.entry.member.MembershipTasks;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.peer.PeerAddress;
import org.fuchsiaford.peer.PeerClient;
import org.fuchsiaford.peer.PeerException;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.store.Store;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Mono;

/** The membership and limit components of one entry host, connected to fakes. Not thread-safe. */
final class FakeHost {
    private final String mAddress;
    private final Ticker mClock;
    private final Membership mMembership;
    private final MembershipTasks mTasks;
    private final MembershipHandler mMembershipHandler;
    private final LimitHandler mLimitHandler;
    private final Admission mAdmission;

    FakeHost(
            FakeFleet fleet,
            String address,
            String name,
            FailureDomainId failureDomain,
            Ticker clock,
            Store store) {
        mAddress = address;
        mClock = clock;
        List<PeerAddress> seeds = fleet.addresses().stream().map(PeerAddress::parse).toList();
        PeerClient peers = new FakePeerClient(fleet);
        HostAddresses addresses =
                new HostAddresses(new HostId(name), failureDomain, address, address, address);
        MembershipModule members =
                MembershipModule.create(addresses, seeds, fleet.signingKeys(), peers, store, clock);
        mMembership = members.membership();
        mMembershipHandler = members.handler();
        mTasks = members.tasks();
        mLimitHandler = new LimitHandler(mMembership, clock);
        mAdmission = new Admission(mMembership, members.directory(), peers, clock);
    }

    /** Calls other hosts through the fake network of the fleet. */
    private final class FakePeerClient implements PeerClient {
        private final FakeFleet mFleet;

        FakePeerClient(FakeFleet fleet) {
            mFleet = fleet;
        }

        @Override
        public <T extends PeerMessage> Mono<T> call(
                PeerAddress peer, PeerMessage request, Class<T> type, Duration timeout) {
            return mFleet.network()
                    .call(
                            mAddress,
                            peer.toString(),
                            timeout,
                            () -> mFleet.deliver(peer.toString(), request))
                    .cast(type)
                    .onErrorMap(e -> new PeerException(peer, String.valueOf(e.getMessage()), e));
        }
    }

    Mono<PeerMessage> handle(PeerMessage message) {
        return Mono.justOrEmpty(
                mMembershipHandler.handle(message).or(() -> mLimitHandler.handle(message)));
    }

    void start() {
        mTasks.start();
    }

    void stop() {
        mTasks.stop();
    }

    Ticker clock() {
        return mClock;
    }

    Membership membership() {
        return mMembership;
    }

    Admission admission() {
        return mAdmission;
    }
}
