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

/**
 * Tests which limits apply between the installation and the acceptance of a bundle. A late notice
 * that the previous generation is accepted must not raise limits to those of the next one.
 */
class MembershipTest {
    private static final SlotId SLOT = new SlotId("s0");
    private static final WorkspaceId WORKSPACE = new WorkspaceId("w");
    private static final long LOW_RATE = 10;
    private static final long HIGH_RATE = 1_000;

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
                                HIGH_RATE,
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
        membership.install(head(1, true), bundle(1, LOW_RATE));
        HomeBuckets buckets = new HomeBuckets(SLOT);
        LeaseGrantor grantor = new LeaseGrantor(new Generation(1));
        membership.holdSlot(
                new HeldSlot(SLOT, new Incarnation(1), grantor, buckets), new Generation(1), 0);
        membership.install(head(2, false), bundle(2, HIGH_RATE));
        membership.markAccepted(new Generation(1));
        nowNanos.addAndGet(TimeUnit.SECONDS.toNanos(1));
        assertThat(buckets.levelTokens(WORKSPACE, nowNanos.get())).isEqualTo(LOW_RATE);
        membership.markAccepted(new Generation(2));
        nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(500));
        assertThat(buckets.levelTokens(WORKSPACE, nowNanos.get()))
                .isEqualTo(LOW_RATE + HIGH_RATE / 2);
    }
}
