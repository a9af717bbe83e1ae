package org.fuchsiaford.entry.gateway.fleet;

import java.time.Duration;
import java.util.Optional;
import org.fuchsiaford.fleet.HostRecord;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.quota.FleetQuota;
import org.fuchsiaford.routing.TokenQuota;
import org.fuchsiaford.time.Ticker;
import org.fuchsiaford.workspace.WorkspaceId;
import reactor.core.publisher.Mono;

/**
 * Charges requests of this host to the rate limits of workspaces: at a coordinator, or here if this
 * host is the coordinator or reaches none.
 *
 * <p>Invariant: what is charged is either counted at the coordinator or reported to it. A charge
 * whose response was lost may be counted there although another one was made. Thread-safe.
 */
public final class LimitCharging {
    /** Several round trips within a region; then the next coordinator is asked. */
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(150);

    private final CoordinatorCalls mCalls;
    private final FleetQuota mQuota;
    private final Runnable mUpdateShare;
    private final Ticker mTicker;

    /**
     * The decision on a charge. Immutable.
     *
     * @param waitNanos zero if charged, otherwise the time until there are enough tokens
     * @param coordinator the coordinator that decided; empty if this host did
     * @param detail the state behind a refusal; null if charged
     */
    public record Charge(long waitNanos, Optional<HostRecord> coordinator, String detail) {}

    /**
     * Creates the charging of one host.
     *
     * @param updateShare updates the share of this host before it decides; must not block
     */
    public LimitCharging(
            CoordinatorCalls calls, FleetQuota quota, Runnable updateShare, Ticker ticker) {
        mCalls = calls;
        mQuota = quota;
        mUpdateShare = updateShare;
        mTicker = ticker;
    }

    /** Charges tokens to the limit of a workspace. */
    public Mono<Charge> charge(WorkspaceId workspace, TokenQuota quota, long tokens) {
        return Mono.defer(
                () ->
                        mCalls.remoteCoordinator()
                                .map(c -> chargeAt(c, workspace, quota, tokens))
                                .orElseGet(() -> Mono.just(chargeHere(workspace, quota, tokens))));
    }

    private Mono<Charge> chargeAt(
            HostRecord coordinator, WorkspaceId workspace, TokenQuota quota, long tokens) {
        return mCalls.call(
                        coordinator,
                        new PeerMessage.ChargeLimit(mCalls.self().id(), workspace, quota, tokens),
                        PeerMessage.LimitResponse.class,
                        CALL_TIMEOUT)
                .map(
                        response ->
                                new Charge(
                                        response.waitNanos(),
                                        Optional.of(coordinator),
                                        response.detail()))
                .doOnNext(charge -> recordGranted(charge, coordinator, workspace, tokens))
                .onErrorResume(e -> charge(workspace, quota, tokens));
    }

    private void recordGranted(
            Charge charge, HostRecord coordinator, WorkspaceId workspace, long tokens) {
        if (charge.waitNanos() == 0) {
            mQuota.recordGranted(coordinator.id(), workspace, tokens, mTicker.nowNanos());
        }
    }

    private Charge chargeHere(WorkspaceId workspace, TokenQuota quota, long tokens) {
        mUpdateShare.run();
        long waitNanos = mQuota.admit(workspace, quota, tokens, mTicker.nowNanos());
        return new Charge(
                waitNanos,
                Optional.empty(),
                waitNanos == 0 ? null : mQuota.describe(workspace, mTicker.nowNanos()));
    }

    /** Returns the tokens of a request that has not run to where they were charged. */
    public void refund(Charge charge, WorkspaceId workspace, long tokens) {
        if (charge.coordinator().isEmpty()) {
            mQuota.refund(workspace, tokens, mTicker.nowNanos());
            return;
        }
        HostRecord coordinator = charge.coordinator().get();
        mQuota.recordGranted(coordinator.id(), workspace, -tokens, mTicker.nowNanos());
        // A lost refund only delays the workspace by the time in which the tokens accrue.
        mCalls.call(
                        coordinator,
                        new PeerMessage.RefundLimit(mCalls.self().id(), workspace, tokens),
                        PeerMessage.Success.class,
                        CALL_TIMEOUT)
                .onErrorComplete()
                .subscribe();
    }
}
