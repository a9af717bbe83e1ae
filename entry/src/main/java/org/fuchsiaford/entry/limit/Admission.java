package org.fuchsiaford.entry.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
import org.fuchsiaford.hash.RendezvousHash;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.peer.PeerAddress;
import org.fuchsiaford.peer.PeerClient;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.time.Ticker;
import org.fuchsiaford.workspace.GrantId;
import org.fuchsiaford.workspace.HomeBuckets;
import org.fuchsiaford.workspace.WorkspaceId;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Admits requests against the limits of workspaces: takes tokens from the buckets at the home slots
 * of a workspace, one after the other, until there are enough.
 *
 * <p>Invariants: a request is admitted only after tokens for its whole cost have been taken from
 * home slots; tokens granted by another host are used only until {@link
 * HomeBuckets#GRANT_SPEND_NANOS} after its admission began; on refusal all tokens are returned.
 * Thread-safe.
 */
public final class Admission {
    private static final Duration ACQUIRE_CALL_TIMEOUT = Duration.ofMillis(80);
    private static final Duration SETTLE_CALL_TIMEOUT = Duration.ofMillis(1_000);
    private static final int SETTLE_RETRIES = 2;
    private static final long MIN_RETRY_AFTER_MILLIS = 50;
    private static final long UNREACHABLE_RETRY_AFTER_MILLIS = 1_000;

    /**
     * Factor for the level of this host's own bucket when home slots are ordered. The own bucket is
     * preferred even if it is somewhat emptier than another one, since using it needs no message.
     */
    private static final double OWN_BUCKET_LEVEL_FACTOR = 1.25;

    private final Membership mMembership;
    private final SlotDirectory mDirectory;
    private final PeerClient mPeers;
    private final Ticker mTicker;
    private final AtomicLong mLastGrant = new AtomicLong();
    private final BucketLevelEstimates mLevelEstimates = new BucketLevelEstimates();

    /** Creates the admission of a host. */
    public Admission(
            Membership membership, SlotDirectory directory, PeerClient peers, Ticker ticker) {
        mMembership = membership;
        mDirectory = directory;
        mPeers = peers;
        mTicker = ticker;
    }

    /**
     * Admits a request.
     *
     * @param view the view that the request was authenticated with
     * @param workspace the workspace that is charged
     * @param costTokens the whole cost in tokens
     * @return the charge; fails with {@link RefusalException} if there are not enough tokens
     */
    public Mono<Charge> admit(ServingView view, Workspace workspace, long costTokens) {
        if (costTokens > workspace.burstTokens()) {
            return Mono.error(tooLarge(workspace, costTokens));
        }
        TokenCollection collected =
                new TokenCollection(view, workspace, costTokens, mTicker.nowNanos());
        return collect(collected).then(Mono.defer(() -> conclude(collected)));
    }

    /** The tokens collected for one request. Used by one thread at a time. */
    private static final class TokenCollection {
        private final ServingView mView;
        private final Workspace mWorkspace;
        private final long mCostTokens;
        private final long mStartNanos;
        private final List<Charge.Part> mParts = new ArrayList<>();
        private boolean mHomeUnreachable;

        TokenCollection(ServingView view, Workspace workspace, long costTokens, long startNanos) {
            mView = view;
            mWorkspace = workspace;
            mCostTokens = costTokens;
            mStartNanos = startNanos;
        }

        long missingTokens() {
            return mCostTokens - mParts.stream().mapToLong(Charge.Part::tokens).sum();
        }

        boolean isComplete() {
            return missingTokens() <= 0;
        }

        Charge charge() {
            return new Charge(mWorkspace.id(), List.copyOf(mParts));
        }
    }

    private Mono<Void> collect(TokenCollection collected) {
        Workspace workspace = collected.mWorkspace;
        List<SlotId> homes = collected.mView.index().homes().homesOf(workspace);
        return Flux.fromIterable(fullestFirst(workspace, homes))
                .concatMap(home -> acquire(collected, home), 1)
                .doOnNext(collected.mParts::add)
                .takeUntil(part -> collected.isComplete())
                .then();
    }

    private static long accrualMillis(Workspace workspace, long tokens) {
        return TimeUnit.SECONDS.toMillis(1) * tokens / workspace.ratePerSecond() + 1;
    }

    /**
     * Orders home slots by the level of their buckets, fullest first; this host's own is preferred.
     */
    private List<SlotId> fullestFirst(Workspace workspace, List<SlotId> homes) {
        long nowNanos = mTicker.nowNanos();
        Optional<HeldSlot> held = mMembership.heldSlot();
        Map<SlotId, Double> levels = new HashMap<>();
        for (SlotId home : homes) {
            boolean own = held.filter(h -> h.slot().equals(home)).isPresent();
            double level =
                    own
                            ? OWN_BUCKET_LEVEL_FACTOR
                                    * held.get().buckets().levelTokens(workspace.id(), nowNanos)
                            : mLevelEstimates.levelTokens(workspace, home, homes.size(), nowNanos);
            levels.put(home, level);
        }
        List<SlotId> order =
                new ArrayList<>(
                        RendezvousHash.rank(mMembership.host() + "/" + workspace.id(), homes));
        order.sort(Comparator.comparingDouble(home -> -levels.get(home)));
        return order;
    }

    private Mono<Charge.Part> acquire(TokenCollection collected, SlotId home) {
        WorkspaceId workspace = collected.mWorkspace.id();
        long tokens = collected.missingTokens();
        GrantId grant =
                new GrantId(mMembership.host().value() + "/" + mLastGrant.incrementAndGet());
        Optional<HeldSlot> held = mMembership.heldSlot();
        if (held.filter(own -> own.slot().equals(home)).isPresent()) {
            HomeBuckets buckets = held.get().buckets();
            long grantedTokens = buckets.grantLocally(workspace, grant, tokens, mTicker.nowNanos());
            return part(home, grant, grantedTokens);
        }
        PeerMessage request = new PeerMessage.AcquireTokens(workspace, grant, tokens);
        return Mono.justOrEmpty(mDirectory.address(home))
                .flatMap(peer -> callHome(peer, request))
                .switchIfEmpty(Mono.fromRunnable(() -> collected.mHomeUnreachable = true))
                .doOnNext(response -> recordLevel(workspace, home, response))
                .flatMap(response -> part(home, grant, response.tokens()));
    }

    private Mono<PeerMessage.TokensResponse> callHome(PeerAddress peer, PeerMessage request) {
        return mPeers.call(peer, request, PeerMessage.TokensResponse.class, ACQUIRE_CALL_TIMEOUT)
                .onErrorResume(e -> Mono.empty());
    }

    private void recordLevel(
            WorkspaceId workspace, SlotId home, PeerMessage.TokensResponse response) {
        mLevelEstimates.record(workspace, home, response.levelTokens(), mTicker.nowNanos());
    }

    private static Mono<Charge.Part> part(SlotId home, GrantId grant, long tokens) {
        return tokens > 0 ? Mono.just(new Charge.Part(home, grant, tokens)) : Mono.empty();
    }

    private Mono<Charge> conclude(TokenCollection collected) {
        Charge charge = collected.charge();
        boolean inTime = mTicker.nowNanos() - collected.mStartNanos < HomeBuckets.GRANT_SPEND_NANOS;
        if (collected.isComplete() && inTime) {
            return Mono.just(charge);
        }
        settle(charge, 0);
        return Mono.error(
                collected.mHomeUnreachable
                        ? unreachable(collected.mWorkspace)
                        : overLimit(collected.mWorkspace, collected.missingTokens()));
    }

    private static RefusalException unreachable(Workspace workspace) {
        return RefusalException.notRunRetry(
                RefusalReason.LIMIT_UNREACHABLE,
                UNREACHABLE_RETRY_AFTER_MILLIS,
                Step.ADMIT,
                "a host that accrues tokens of workspace " + workspace.id() + " does not respond");
    }

    private static RefusalException overLimit(Workspace workspace, long missingTokens) {
        return RefusalException.notRunRetry(
                RefusalReason.OVER_LIMIT,
                Math.max(accrualMillis(workspace, missingTokens), MIN_RETRY_AFTER_MILLIS),
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
     * Settles a charge: returns the tokens that the request did not use.
     *
     * @param usedTokens the tokens used; if they exceed the charge, the bucket level may go
     *     negative
     */
    public void settle(Charge charge, long usedTokens) {
        long remainingUsed = usedTokens;
        List<Charge.Part> parts = charge.parts();
        for (int i = 0; i < parts.size(); i++) {
            Charge.Part part = parts.get(i);
            boolean last = i == parts.size() - 1;
            long used = last ? remainingUsed : Math.min(remainingUsed, part.tokens());
            remainingUsed -= used;
            settle(charge.workspace(), part, part.tokens() - used);
        }
    }

    private void settle(WorkspaceId workspace, Charge.Part part, long unusedTokens) {
        Optional<HeldSlot> held = mMembership.heldSlot();
        if (held.filter(own -> own.slot().equals(part.home())).isPresent()) {
            HomeBuckets buckets = held.get().buckets();
            buckets.settle(workspace, part.grant(), unusedTokens, mTicker.nowNanos());
            return;
        }
        PeerMessage request = new PeerMessage.ReturnTokens(workspace, part.grant(), unusedTokens);
        Mono.justOrEmpty(mDirectory.address(part.home()))
                .flatMap(
                        peer ->
                                mPeers.call(
                                        peer,
                                        request,
                                        PeerMessage.Success.class,
                                        SETTLE_CALL_TIMEOUT))
                .retry(SETTLE_RETRIES)
                .onErrorResume(e -> Mono.empty())
                .subscribe();
    }
}
