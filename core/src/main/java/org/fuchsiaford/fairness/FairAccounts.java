package org.fuchsiaford.fairness;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * Compares which parts of the requests for a scarce resource have lately been served: of each kind,
 * and within a kind of each workspace, failure domain of callers and class of size.
 *
 * <p>Load pattern: seconds at twice the capacity, in which the most urgent kind has the longest
 * prompts, or one workspace asks for many times its usual load. Kinds are weighted by what they ask
 * for and by their urgency, so that the part served falls with the urgency, but no kind is starved.
 * What a workspace asks for beyond its share adds nothing to the weight of its kinds and is served
 * after the requests of the others, except for a floor. A part of a kind that is served notably
 * less often than the kind goes first.
 *
 * <p>Invariant: an account outlives the requests on it, so a caller that returns after a refusal
 * finds the account of its kind and workspace as it was. Not thread-safe.
 */
public final class FairAccounts {
    /** Time in which past requests lose their effect; as long as a usual burst. */
    private static final long DECAY_NANOS = TimeUnit.SECONDS.toNanos(5);

    /**
     * Part of the kind's served fraction under which a class of size goes first. The largest tenth
     * must be served at least half as often as the kind.
     */
    private static final double SIZE_BEHIND_FRACTION = 0.85;

    /**
     * The same for workspaces and failure domains, which have fewer requests each, so that chance
     * must not put most of them ahead.
     */
    private static final double BEHIND_FRACTION = 0.5;

    /** One large prompt alone may take a workspace some way beyond its share. */
    private static final double SHARE_TOLERANCE = 1.5;

    /**
     * Part of the kind's served fraction that is left to a workspace over its share. With it, such
     * a workspace takes at most this part of the capacity from the others, whatever it asks for.
     */
    private static final double OVER_SHARE_FLOOR = 0.25;

    private final ShareMeter<Account> mAsked = new ShareMeter<>(DECAY_NANOS, SHARE_TOLERANCE);
    private final ShareMeter<Account> mServed = new ShareMeter<>(DECAY_NANOS, SHARE_TOLERANCE);
    private final ShareMeter<WorkspaceId> mAskedByWorkspace =
            new ShareMeter<>(DECAY_NANOS, SHARE_TOLERANCE);
    private final ShareMeter<WorkspaceId> mServedByWorkspace =
            new ShareMeter<>(DECAY_NANOS, SHARE_TOLERANCE);
    private final Map<Kind, Set<WorkspaceId>> mWorkspaces = new HashMap<>();

    /** A part of a kind: of a workspace, a failure domain or a size class; null for all of it. */
    private record Account(Kind kind, Object part) {}

    /** What remains of a kind's requests after those of workspaces. */
    private enum NoWorkspace {
        INSTANCE
    }

    /** Records that a request asks, or asks again after a refusal. */
    public void recordAsked(Claim claim, long nowNanos) {
        record(mAsked, mAskedByWorkspace, claim, nowNanos);
        claim.workspace()
                .ifPresent(
                        workspace ->
                                mWorkspaces
                                        .computeIfAbsent(claim.kind(), k -> new HashSet<>())
                                        .add(workspace));
        mWorkspaces
                .values()
                .forEach(workspaces -> workspaces.removeIf(w -> mAskedByWorkspace.tokens(w) == 0));
        mWorkspaces.values().removeIf(Set::isEmpty);
    }

    /** Records that a request is granted what it asks for. */
    public void recordServed(Claim claim, long nowNanos) {
        record(mServed, mServedByWorkspace, claim, nowNanos);
    }

    private static void record(
            ShareMeter<Account> meter,
            ShareMeter<WorkspaceId> workspaces,
            Claim claim,
            long nowNanos) {
        accounts(claim).forEach(account -> meter.add(account, 1, claim.tokens(), nowNanos));
        claim.workspace()
                .ifPresent(w -> workspaces.add(w, claim.weight(), claim.tokens(), nowNanos));
    }

    private static Stream<Account> accounts(Claim claim) {
        return Stream.of(
                new Account(claim.kind(), null),
                workspace(claim),
                new Account(claim.kind(), claim.domain()),
                new Account(claim.kind(), claim.sizeClass()));
    }

    private static Account workspace(Claim claim) {
        return new Account(
                claim.kind(), claim.workspace().<Object>map(w -> w).orElse(NoWorkspace.INSTANCE));
    }

    /**
     * Returns the weight of a kind relative to others: what it asks for within the shares of its
     * workspaces, times its urgency.
     */
    public double weight(Kind kind) {
        double tokens = mAsked.tokens(new Account(kind, NoWorkspace.INSTANCE));
        for (WorkspaceId workspace : mWorkspaces.getOrDefault(kind, Set.of())) {
            tokens +=
                    mAskedByWorkspace.withinShare(workspace)
                            * mAsked.tokens(new Account(kind, workspace));
        }
        return Math.max(tokens, 1) * kind.urgency();
    }

    /** The place of a request among those of its kind; those of a lower one go first. */
    public enum Rank {
        /** A part of its kind is served notably less often than the kind. */
        BEHIND,

        /** The usual case. */
        EVEN,

        /** Its workspace has had its share; it goes after the requests of all other kinds, too. */
        OVER_SHARE
    }

    /** Returns the rank of a request. */
    public Rank rank(Claim claim) {
        double kind = servedFraction(new Account(claim.kind(), null), claim);
        double workspace = servedFraction(workspace(claim), claim);
        if (workspace >= kind * OVER_SHARE_FLOOR && isOverShare(claim)) {
            return Rank.OVER_SHARE;
        }
        boolean behind =
                workspace < kind * BEHIND_FRACTION
                        || isBehind(claim, claim.sizeClass(), kind * SIZE_BEHIND_FRACTION)
                        || isBehind(claim, claim.domain(), kind * BEHIND_FRACTION);
        return behind ? Rank.BEHIND : Rank.EVEN;
    }

    private boolean isOverShare(Claim claim) {
        return claim.workspace().filter(w -> mServedByWorkspace.withinShare(w) < 1).isPresent();
    }

    private boolean isBehind(Claim claim, Object part, double fraction) {
        return servedFraction(new Account(claim.kind(), part), claim) < fraction;
    }

    /** Returns the part of the requests on an account that is served if this one is. */
    private double servedFraction(Account account, Claim claim) {
        return (mServed.tokens(account) + claim.tokens())
                / Math.max(mAsked.tokens(account), claim.tokens());
    }
}
