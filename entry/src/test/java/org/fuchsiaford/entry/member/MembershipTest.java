package org.fuchsiaford.entry.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.Example;
import org.fuchsiaford.bundle.Bundle;
import org.fuchsiaford.bundle.BundleHead;
import org.fuchsiaford.bundle.Digest;
import org.fuchsiaford.bundle.EntrySlot;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.bundle.Generation;
import org.fuchsiaford.bundle.Workspace;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.host.Incarnation;
import org.fuchsiaford.host.LeaseGrantor;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.workspace.HomeBuckets;
import org.fuchsiaford.workspace.WorkspaceId;

/** Which limits apply while a bundle is being taken over. */
class MembershipTest {
    private static final SlotId SLOT = new SlotId("s0");
    private static final WorkspaceId WORKSPACE = new WorkspaceId("w");
    private static final long SLOW = 10;
    private static final long FAST = 1_000;

    private static Bundle bundle(long version, long ratePerSecond) {
        return new Bundle(
                version,
                List.of(),
                List.of(new EntrySlot(SLOT, new FailureDomainId("d"))),
                List.of(),
                List.of(),
                List.of(),
                List.of(
                        new Workspace(
                                WORKSPACE,
                                ratePerSecond,
                                FAST,
                                1,
                                List.of(),
                                List.of(),
                                List.of())));
    }

    private static BundleHead head(long generation, boolean accepted) {
        Digest digest = Digest.of(new byte[] {(byte) generation});
        return new BundleHead(
                new Generation(generation), generation, digest, "signature", null, accepted);
    }

    @Example
    void lateNoticeOfAnEarlierAcceptanceDoesNotRaiseLimitsOfTheNext() {
        AtomicLong nowNanos = new AtomicLong();
        Membership membership = new Membership(new HostId("h"), nowNanos::get);
        membership.install(head(1, true), bundle(1, SLOW));
        HomeBuckets ledger = new HomeBuckets(SLOT);
        LeaseGrantor book = new LeaseGrantor(new Generation(1));
        membership.holdSlot(
                new HeldSlot(SLOT, new Incarnation(1), book, ledger), new Generation(1), 0);
        membership.install(head(2, false), bundle(2, FAST));
        membership.markAccepted(new Generation(1));
        nowNanos.addAndGet(TimeUnit.SECONDS.toNanos(1));
        assertThat(ledger.levelTokens(WORKSPACE, nowNanos.get())).isEqualTo(SLOW);
        membership.markAccepted(new Generation(2));
        nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(500));
        assertThat(ledger.levelTokens(WORKSPACE, nowNanos.get())).isEqualTo(SLOW + FAST / 2);
    }
}
