package org.fuchsiaford.attempt;

import java.util.HashSet;
import java.util.Set;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.routing.RequestKind;

/**
 * The attempts at one request and what may follow.
 *
 * <p>Invariant: a request of a kind that is not repeatable is never sent again once it may have
 * run, and a refusal is only given if no attempt may have run it. Not thread-safe; one request's
 * signals come one after another.
 */
public final class RequestAttempts {
    /** Sends beyond the servers that may run a request: each was refused or never began. */
    private static final int MAX_FRUITLESS = 3;

    private final RequestKind mKind;
    private final int mMaxServers;
    private final Set<BackendServerId> mMayHaveRun = new HashSet<>();
    private final Set<BackendServerId> mFailed = new HashSet<>();
    private int mFruitless;

    /**
     * Starts with no attempt.
     *
     * @param maxServers how many backend servers may run the request
     */
    public RequestAttempts(RequestKind kind, int maxServers) {
        mKind = kind;
        mMaxServers = maxServers;
    }

    /** Notes the end of an attempt. */
    public void record(BackendServerId server, AttemptOutcome outcome) {
        if (outcome.mayHaveRun()) {
            mMayHaveRun.add(server);
        } else {
            mFruitless++;
        }
        if (outcome != AttemptOutcome.ANSWERED) {
            mFailed.add(server);
        }
    }

    /** Returns the servers that have failed the request. */
    public Set<BackendServerId> failedServers() {
        return Set.copyOf(mFailed);
    }

    /** Returns whether a backend server may have begun to work on the request. */
    public boolean mayHaveRun() {
        return !mMayHaveRun.isEmpty();
    }

    /**
     * Decides what follows the attempt recorded last.
     *
     * @param outcome its outcome
     * @param repeatAllowed whether time and the retry budget allow one more send
     */
    public NextStep nextStep(AttemptOutcome outcome, boolean repeatAllowed) {
        if (outcome == AttemptOutcome.ANSWERED) {
            return NextStep.ANSWER;
        }
        if (repeatAllowed && mayRetry()) {
            return NextStep.TRY_AGAIN;
        }
        if (outcome == AttemptOutcome.SERVER_ERROR) {
            return NextStep.ANSWER;
        }
        return mayHaveRun() ? NextStep.FAIL : NextStep.REFUSE;
    }

    /** Returns whether the rules of the route allow another send. */
    public boolean mayRetry() {
        boolean kindAllows = !mayHaveRun() || mKind.isRepeatable();
        return kindAllows && mMayHaveRun.size() < mMaxServers && mFruitless < MAX_FRUITLESS;
    }
}
