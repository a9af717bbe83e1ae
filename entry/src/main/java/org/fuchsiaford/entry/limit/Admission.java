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
 * Admits requests against the limits of workspaces: takes tokens from this host's own buckets, then
 * from the workspace's other home slots until there are enough.
 *
 * <p>Invariants: a request is admitted only with tokens for its whole cost, each taken from a home
 * slot before; tokens of another host are used only until their spending deadline; on refusal all
 * tokens go back. Thread-safe.
 */
public final class Admission {
    private static final Duration ACQUIRE_TIMEOUT = Duration.ofMillis(80);
    private static final Duration SETTLE_TIMEOUT = Duration.ofMillis(1_000);
    private static final int SETTLE_RETRIES = 2;
    private static final long SHORTEST_RETRY_MILLIS = 50;
    private static final long UNREACHABLE_RETRY_MILLIS = 1_000;

    /** How much emptier than another bucket this host's own may be and still come first. */
    private static final double OWN_FAVOUR = 1.25;

    private final Membership mMembership;
    private final SlotDirectory mDirectory;
    private final PeerClient mPeers;
    private final Ticker mTicker;
    private final AtomicLong mLastGrant = new AtomicLong();
    private final BucketLevelEstimates mHints = new BucketLevelEstimates();

    /** Creates admission for a host. */
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
     * @param workspace who pays
     * @param costTokens the whole cost in tokens
     * @return what was charged; fails with {@link RefusalException} if there are not enough tokens
     */
    public Mono<Charge> admit(ServingView view, Workspace workspace, long costTokens) {
        if (costTokens > workspace.burstTokens()) {
            return Mono.error(tooLarge(workspace, costTokens));
        }
        Collection collection = new Collection(view, workspace, costTokens, mTicker.nowNanos());
        return collect(collection).then(Mono.defer(() -> conclude(collection)));
    }

    /** The tokens gathered for one request. Used by one thread at a time. */
    private static final class Collection {
        private final ServingView mView;
        private final Workspace mWorkspace;
        private final long mCostTokens;
        private final long mStartNanos;
        private final List<Charge.Part> mParts = new ArrayList<>();
        private boolean mHomeUnreached;

        Collection(ServingView view, Workspace workspace, long costTokens, long startNanos) {
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

    private Mono<Void> collect(Collection collection) {
        Workspace workspace = collection.mWorkspace;
        List<SlotId> homes = collection.mView.index().homes().homesOf(workspace);
        return Flux.fromIterable(fullestFirst(workspace, homes))
                .concatMap(home -> acquire(collection, home), 1)
                .doOnNext(collection.mParts::add)
                .takeUntil(part -> collection.isComplete())
                .then();
    }

    private static long accrualMillis(Workspace workspace, long tokens) {
        return TimeUnit.SECONDS.toMillis(1) * tokens / workspace.ratePerSecond() + 1;
    }

    /** The fullest bucket comes first; this host's own is favoured, since it costs no message. */
    private List<SlotId> fullestFirst(Workspace workspace, List<SlotId> homes) {
        long nowNanos = mTicker.nowNanos();
        Optional<HeldSlot> held = mMembership.heldSlot();
        Map<SlotId, Double> levels = new HashMap<>();
        for (SlotId home : homes) {
            boolean own = held.filter(h -> h.slot().equals(home)).isPresent();
            double level =
                    own
                            ? OWN_FAVOUR
                                    * held.get().buckets().levelTokens(workspace.id(), nowNanos)
                            : mHints.levelTokens(workspace, home, homes.size(), nowNanos);
            levels.put(home, level);
        }
        List<SlotId> order =
                new ArrayList<>(
                        RendezvousHash.rank(mMembership.host() + "/" + workspace.id(), homes));
        order.sort(Comparator.comparingDouble(home -> -levels.get(home)));
        return order;
    }

    private Mono<Charge.Part> acquire(Collection collection, SlotId home) {
        WorkspaceId workspace = collection.mWorkspace.id();
        long tokens = collection.missingTokens();
        GrantId grant =
                new GrantId(mMembership.host().value() + "/" + mLastGrant.incrementAndGet());
        Optional<HeldSlot> held = mMembership.heldSlot();
        if (held.filter(own -> own.slot().equals(home)).isPresent()) {
            HomeBuckets ledger = held.get().buckets();
            long given = ledger.grantLocally(workspace, grant, tokens, mTicker.nowNanos());
            return part(home, grant, given);
        }
        PeerMessage request = new PeerMessage.AcquireTokens(workspace, grant, tokens);
        return Mono.justOrEmpty(mDirectory.address(home))
                .flatMap(peer -> call(peer, request))
                .switchIfEmpty(Mono.fromRunnable(() -> collection.mHomeUnreached = true))
                .doOnNext(granted -> learn(workspace, home, granted))
                .flatMap(granted -> part(home, grant, granted.tokens()));
    }

    private Mono<PeerMessage.TokensResponse> call(PeerAddress peer, PeerMessage request) {
        return mPeers.call(peer, request, PeerMessage.TokensResponse.class, ACQUIRE_TIMEOUT)
                .onErrorResume(e -> Mono.empty());
    }

    private void learn(WorkspaceId workspace, SlotId home, PeerMessage.TokensResponse granted) {
        mHints.record(workspace, home, granted.levelTokens(), mTicker.nowNanos());
    }

    private static Mono<Charge.Part> part(SlotId home, GrantId grant, long tokens) {
        return tokens > 0 ? Mono.just(new Charge.Part(home, grant, tokens)) : Mono.empty();
    }

    private Mono<Charge> conclude(Collection collection) {
        Charge charge = collection.charge();
        boolean inTime =
                mTicker.nowNanos() - collection.mStartNanos < HomeBuckets.GRANT_SPEND_NANOS;
        if (collection.isComplete() && inTime) {
            return Mono.just(charge);
        }
        settle(charge, 0);
        return Mono.error(
                collection.mHomeUnreached
                        ? unreachable(collection.mWorkspace)
                        : overLimit(collection.mWorkspace, collection.missingTokens()));
    }

    private static RefusalException unreachable(Workspace workspace) {
        return RefusalException.notRunRetry(
                RefusalReason.LIMIT_UNREACHABLE,
                UNREACHABLE_RETRY_MILLIS,
                Step.ADMIT,
                "a host that accrues tokens of workspace " + workspace.id() + " does not answer");
    }

    private static RefusalException overLimit(Workspace workspace, long missingTokens) {
        return RefusalException.notRunRetry(
                RefusalReason.OVER_LIMIT,
                Math.max(accrualMillis(workspace, missingTokens), SHORTEST_RETRY_MILLIS),
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
        Optional<HeldSlot> held = mMembership.heldSlot();
        if (held.filter(own -> own.slot().equals(part.home())).isPresent()) {
            HomeBuckets ledger = held.get().buckets();
            ledger.settle(workspace, part.grant(), unusedTokens, mTicker.nowNanos());
            return;
        }
        PeerMessage request = new PeerMessage.ReturnTokens(workspace, part.grant(), unusedTokens);
        Mono.justOrEmpty(mDirectory.address(part.home()))
                .flatMap(
                        peer ->
                                mPeers.call(
                                        peer, request, PeerMessage.Success.class, SETTLE_TIMEOUT))
                .retry(SETTLE_RETRIES)
                .onErrorResume(e -> Mono.empty())
                .subscribe();
    }
}
