package org.fuchsiaford.entry.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.fuchsiaford.bundle.Workspace;
import org.fuchsiaford.entry.member.HeldSlot;
import org.fuchsiaford.entry.member.Membership;
import org.fuchsiaford.entry.member.ServingView;
import org.fuchsiaford.entry.member.SlotDirectory;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.hash.Rendezvous;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.peer.PeerCalls;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.time.Ticker;
import org.fuchsiaford.workspace.GrantId;
import org.fuchsiaford.workspace.HomeLedger;
import org.fuchsiaford.workspace.HomeSlots;
import org.fuchsiaford.workspace.WorkspaceId;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Admits requests against the limits of workspaces: takes tokens from this host's own buckets, then
 * from the workspace's other home slots until there are enough.
 *
 * <p>Invariants: a request is admitted only with tokens for its whole cost, each taken from a home
 * slot before; tokens of another host are used only until their spending deadline; on refusal all
 * tokens go back. Thread-safe.
 */
public final class Admission {
    private static final Duration ACQUIRE_TIMEOUT = Duration.ofMillis(250);
    private static final Duration SETTLE_TIMEOUT = Duration.ofMillis(1_000);
    private static final int SETTLE_RETRIES = 2;
    private static final long SHORTEST_RETRY_MILLIS = 50;

    private final Membership mMembership;
    private final SlotDirectory mDirectory;
    private final PeerCalls mPeers;
    private final Ticker mTicker;
    private final AtomicLong mLastGrant = new AtomicLong();

    /** Creates admission for a host. */
    public Admission(
            Membership membership, SlotDirectory directory, PeerCalls peers, Ticker ticker) {
        mMembership = membership;
        mDirectory = directory;
        mPeers = peers;
        mTicker = ticker;
    }

    /**
     * Admits a request.
     *
     * @param view the view that the request was authenticated with
     * @param workspace who pays
     * @param costTokens the whole cost in tokens
     * @return what was charged; fails with {@link RefusalException} if there are not enough tokens
     */
    public Mono<Charge> admit(ServingView view, Workspace workspace, long costTokens) {
        if (costTokens > workspace.burstTokens()) {
            return Mono.error(tooLarge(workspace, costTokens));
        }
        long startNanos = mTicker.nowNanos();
        List<SlotId> homes = HomeSlots.of(workspace, view.index().bundle().entrySlots());
        List<Charge.Part> parts = new ArrayList<>();
        return Flux.fromIterable(ownFirst(workspace.id(), homes))
                .concatMap(home -> acquire(workspace.id(), home, costTokens - sum(parts)), 1)
                .doOnNext(parts::add)
                .takeUntil(part -> sum(parts) >= costTokens)
                .then(Mono.defer(() -> conclude(workspace, parts, costTokens, startNanos)));
    }

    /** This host's own bucket costs no message; the others are asked in an order of its own. */
    private List<SlotId> ownFirst(WorkspaceId workspace, List<SlotId> homes) {
        Optional<SlotId> own = mMembership.held().map(HeldSlot::slot).filter(homes::contains);
        List<SlotId> order =
                new ArrayList<>(Rendezvous.order(mMembership.host() + "/" + workspace, homes));
        own.ifPresent(order::remove);
        own.ifPresent(slot -> order.add(0, slot));
        return order;
    }

    private static long sum(List<Charge.Part> parts) {
        return parts.stream().mapToLong(Charge.Part::tokens).sum();
    }

    private Mono<Charge.Part> acquire(WorkspaceId workspace, SlotId home, long tokens) {
        GrantId grant =
                new GrantId(mMembership.host().value() + "/" + mLastGrant.incrementAndGet());
        Optional<HeldSlot> held = mMembership.held();
        if (held.filter(own -> own.slot().equals(home)).isPresent()) {
            HomeLedger ledger = held.get().ledger();
            long given = ledger.grantLocally(workspace, grant, tokens, mTicker.nowNanos());
            return part(home, grant, given);
        }
        PeerMessage request = new PeerMessage.Acquire(workspace, grant, tokens);
        return Mono.justOrEmpty(mDirectory.address(home))
                .flatMap(
                        peer ->
                                mPeers.call(
                                        peer, request, PeerMessage.Granted.class, ACQUIRE_TIMEOUT))
                .flatMap(granted -> part(home, grant, granted.tokens()))
                .onErrorResume(e -> Mono.empty());
    }

    private static Mono<Charge.Part> part(SlotId home, GrantId grant, long tokens) {
        return tokens > 0 ? Mono.just(new Charge.Part(home, grant, tokens)) : Mono.empty();
    }

    private Mono<Charge> conclude(
            Workspace workspace, List<Charge.Part> parts, long costTokens, long startNanos) {
        Charge charge = new Charge(workspace.id(), List.copyOf(parts));
        boolean inTime = mTicker.nowNanos() - startNanos < HomeLedger.SPEND_NANOS;
        if (charge.tokens() >= costTokens && inTime) {
            return Mono.just(charge);
        }
        settle(charge, 0);
        return Mono.error(overLimit(workspace, costTokens - charge.tokens()));
    }

    private static RefusalException overLimit(Workspace workspace, long missingTokens) {
        long millis = TimeUnit.SECONDS.toMillis(1) * missingTokens / workspace.ratePerSecond() + 1;
        return RefusalException.notRunRetry(
                RefusalReason.OVER_LIMIT,
                Math.max(millis, SHORTEST_RETRY_MILLIS),
                Step.ADMIT,
                "workspace " + workspace.id() + " is over its limit");
    }

    private static RefusalException tooLarge(Workspace workspace, long costTokens) {
        return RefusalException.notRun(
                RefusalReason.OVER_LIMIT,
                Step.ADMIT,
                "the request may cost "
                        + costTokens
                        + " tokens, more than the burst of workspace "
                        + workspace.id());
    }

    /**
     * Gives back what a request did not use.
     *
     * @param usedTokens what it used; may exceed the charge, and then the bucket goes into debt
     */
    public void settle(Charge charge, long usedTokens) {
        long usedLeft = usedTokens;
        List<Charge.Part> parts = charge.parts();
        for (int i = 0; i < parts.size(); i++) {
            Charge.Part part = parts.get(i);
            boolean last = i == parts.size() - 1;
            long used = last ? usedLeft : Math.min(usedLeft, part.tokens());
            usedLeft -= used;
            settle(charge.workspace(), part, part.tokens() - used);
        }
    }

    private void settle(WorkspaceId workspace, Charge.Part part, long unusedTokens) {
        Optional<HeldSlot> held = mMembership.held();
        if (held.filter(own -> own.slot().equals(part.home())).isPresent()) {
            HomeLedger ledger = held.get().ledger();
            ledger.settle(workspace, part.grant(), unusedTokens, mTicker.nowNanos());
            return;
        }
        PeerMessage request = new PeerMessage.Settle(workspace, part.grant(), unusedTokens);
        Mono.justOrEmpty(mDirectory.address(part.home()))
                .flatMap(peer -> mPeers.call(peer, request, PeerMessage.Done.class, SETTLE_TIMEOUT))
                .retry(SETTLE_RETRIES)
                .onErrorResume(e -> Mono.empty())
                .subscribe();
    }
}
