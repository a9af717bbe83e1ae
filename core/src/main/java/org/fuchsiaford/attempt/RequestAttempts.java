package org.fuchsiaford.attempt;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.routing.RequestKind;

/**
 * Tracks the attempts of one request and decides whether it may be retried.
 *
 * <p>Invariants: a request that is not repeatable is never resent once a server may have run it, at
 * most the maximum number of servers may run it, and a request is only rejected if no attempt may
 * have run it, finished or in progress. Thread-safe, since two attempts may be in progress at the
 * same time.
 */
public final class RequestAttempts {
    /**
     * Limit on attempts that the server refused or that never started. They do not count against
     * the maximum number of servers that may run the request.
     */
    private static final int MAX_UNEXECUTED_ATTEMPTS = 3;

    private final RequestKind mKind;
    private final int mMaxServers;
    private final Set<BackendServerId> mPossiblyRunOn = new HashSet<>();
    private final Set<BackendServerId> mFailedServers = new HashSet<>();
    private final List<BackendServerId> mInProgress = new ArrayList<>();
    private boolean mClosed;
    private int mUnexecutedAttempts;

    /**
     * Creates a tracker without attempts.
     *
     * @param kind whether the request is repeatable
     * @param maxServers the maximum number of backend servers that may run the request
     */
    public RequestAttempts(RequestKind kind, int maxServers) {
        mKind = kind;
        mMaxServers = maxServers;
    }

    /**
     * Begins an attempt, which may run from now on. Returns false if the kind, the number of
     * servers or the closing of the request do not allow it.
     */
    public synchronized boolean tryBegin(BackendServerId server) {
        boolean another = !possiblyRunOn().contains(server);
        if (mClosed
                || (mayHaveRun() && !mKind.isRepeatable())
                || (another && possiblyRunOn().size() >= mMaxServers)) {
            return false;
        }
        mInProgress.add(server);
        return true;
    }

    /** Prevents all further attempts. Returns false, without effect, if one may have run. */
    public synchronized boolean closeIfNotRun() {
        mClosed = mClosed || !mayHaveRun();
        return mClosed;
    }

    private Set<BackendServerId> possiblyRunOn() {
        return Stream.concat(mPossiblyRunOn.stream(), mInProgress.stream())
                .collect(Collectors.toSet());
    }

    /** Records the outcome of an attempt. */
    public synchronized void record(BackendServerId server, AttemptOutcome outcome) {
        mInProgress.remove(server);
        if (outcome.mayHaveRun()) {
            mPossiblyRunOn.add(server);
        } else {
            mUnexecutedAttempts++;
        }
        if (outcome != AttemptOutcome.ANSWERED) {
            mFailedServers.add(server);
        }
    }

    /** Returns the servers on which an attempt failed or is in progress. */
    public synchronized Set<BackendServerId> triedServers() {
        return Stream.concat(mFailedServers.stream(), mInProgress.stream())
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the servers at which an attempt is in progress. */
    public synchronized Set<BackendServerId> serversInProgress() {
        return Set.copyOf(mInProgress);
    }

    /** Returns whether any backend server may have started to process the request. */
    public synchronized boolean mayHaveRun() {
        return !mPossiblyRunOn.isEmpty() || !mInProgress.isEmpty();
    }

    /**
     * Decides how to proceed after the most recently recorded attempt.
     *
     * @param outcome the outcome of that attempt
     * @param retryAllowed whether the deadline and the retry budget allow another attempt
     */
    public synchronized NextStep nextStep(AttemptOutcome outcome, boolean retryAllowed) {
        if (outcome == AttemptOutcome.ANSWERED) {
            return NextStep.ANSWER;
        }
        if (retryAllowed && mayRetry()) {
            return NextStep.TRY_AGAIN;
        }
        if (outcome == AttemptOutcome.SERVER_ERROR) {
            return NextStep.ANSWER;
        }
        return mayHaveRun() ? NextStep.FAIL : NextStep.REFUSE;
    }

    /** Returns whether the request kind and the attempt limits allow another attempt. */
    public synchronized boolean mayRetry() {
        boolean kindAllowsRetry = !mayHaveRun() || mKind.isRepeatable();
        return kindAllowsRetry
                && possiblyRunOn().size() < mMaxServers
                && mUnexecutedAttempts < MAX_UNEXECUTED_ATTEMPTS;
    }
}
