package org.fuchsiaford.entry.gateway.forward;

import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.attempt.NextStep;
import org.fuchsiaford.attempt.RetryObstacle;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.metrics.ServiceMetrics;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.RunState;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.prompt.PromptPartId;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.selection.OutcomeTally;
import org.fuchsiaford.selection.ServerHealth;
import org.fuchsiaford.time.Ticker;

/**
 * Records the attempts of requests in server health, retry budgets, metrics and decision log, and
 * decides how to proceed after a failure. Shared by buffered and streamed responses. Thread-safe.
 */
public final class AttemptRecorder {
    /** Time needed for a retry on another server; with less time left there is no retry. */
    private static final long MIN_RETRY_TIME_MILLIS = 30;

    /** Retry delay for callers if servers failed a request that has not run. */
    private static final long REFUSED_RETRY_MILLIS = 150;

    private final ServerHealth mHealth;
    private final RetryBudgets mBudgets;
    private final OutcomeTally mTally;
    private final ServiceMetrics mMetrics;
    private final BiConsumer<LiveServer, AttemptOutcome> mOnFailed;
    private final DecisionLog mLog;
    private final Ticker mTicker;

    /**
     * Creates a recorder.
     *
     * @param onFailed called with each server that failed a call; must not block
     */
    public AttemptRecorder(
            ServerHealth health,
            RetryBudgets budgets,
            OutcomeTally tally,
            ServiceMetrics metrics,
            BiConsumer<LiveServer, AttemptOutcome> onFailed,
            DecisionLog log,
            Ticker ticker) {
        mHealth = health;
        mBudgets = budgets;
        mTally = tally;
        mMetrics = metrics;
        mOnFailed = onFailed;
        mLog = log;
        mTicker = ticker;
    }

    /** Records the send of an attempt and returns the number of earlier sends of the request. */
    int recordSend(RequestContext context) {
        int previousSends = context.recordSend(mTicker.nowNanos());
        if (previousSends == 0) {
            mBudgets.recordRequest(context.service());
        }
        return previousSends;
    }

    /**
     * Records a complete response or the head of a stream.
     *
     * @param sentNanos when the request was sent, on the monotonic clock
     */
    void recordSuccess(LiveServer server, long sentNanos) {
        long nowNanos = mTicker.nowNanos();
        mHealth.recordSuccess(server.id(), nowNanos - sentNanos, nowNanos);
        mTally.recordAnswer(server.id(), nowNanos - sentNanos);
        mMetrics.count(server.service(), AttemptOutcome.ANSWERED);
        mMetrics.record(server.service(), nowNanos - sentNanos);
    }

    /** Records that a stream has ended, whether complete or not. */
    void recordStreamEnd(RequestContext context) {
        if (context.isOverGapTarget()) {
            mMetrics.countLongGap(context.service());
        }
    }

    /**
     * Returns whether the retry budget allows a prefill call, since a failed one counts as a retry.
     */
    boolean allowsPrefillCall(RequestContext context) {
        return mBudgets.canRetry(context.service());
    }

    /** Records a failed prefill call. It counts as a retry. */
    void recordPrefillFailure(
            RequestContext context, LiveServer server, BackendCallException failure) {
        if (failure.isCalled()) {
            recordServerFailure(server, failure.outcome());
        }
        boolean counted = mBudgets.tryAcquireRetry(context.service());
        mLog.write(
                new Decision.AttemptFailed(
                        context.caller().id().value(),
                        server.id().value(),
                        failure.outcome().name(),
                        failure.getMessage(),
                        null,
                        counted ? "decode-reads-prompt" : "decode-reads-prompt, budget used up",
                        null,
                        context.remainingMillis(mTicker.nowNanos()),
                        closedBy(failure),
                        null));
    }

    /** Returns who ended an attempt before its response was complete; null if nobody did. */
    private static String closedBy(BackendCallException failure) {
        if (failure.isBrokenOff()) {
            return "server";
        }
        boolean isComplete = !failure.responseParts().isEmpty();
        return failure.outcome() == AttemptOutcome.UNKNOWN && !isComplete ? "host" : null;
    }

    /** Records an attempt whose response is not forwarded, and returns how to proceed. */
    NextStep recordFailure(
            RequestContext context, LiveServer server, AttemptOutcome outcome, String reason) {
        recordServerFailure(server, outcome);
        return recordAttempt(context, server, outcome, reason, null, null);
    }

    /**
     * Returns whether a request may be sent to another server while an attempt is in progress. If
     * so, the new attempt is in the budget.
     */
    boolean tryAcquireAlternative(RequestContext context) {
        return findObstacle(context, AttemptOutcome.UNKNOWN).isEmpty();
    }

    /** Returns whether a stream that is silent may be resumed, without consuming budget. */
    boolean allowsResumption(RequestContext context) {
        return context.attempts().mayRetry()
                && context.remainingMillis(mTicker.nowNanos()) >= MIN_RETRY_TIME_MILLIS
                && mBudgets.canRetry(context.service());
    }

    /** Records that a server has not answered before another one that was asked later. */
    void recordOvertaken(RequestContext context, LiveServer server) {
        recordServerFailure(server, AttemptOutcome.UNKNOWN);
        context.attempts().record(server.id(), AttemptOutcome.UNKNOWN);
        mLog.write(
                new Decision.AttemptFailed(
                        context.caller().id().value(),
                        server.id().value(),
                        AttemptOutcome.UNKNOWN.name(),
                        "another server that was asked later has answered",
                        null,
                        NextStep.ANSWER.name(),
                        null,
                        context.remainingMillis(mTicker.nowNanos()),
                        null,
                        null));
    }

    /** Records a failed attempt, and returns how to proceed. */
    NextStep recordFailure(
            RequestContext context, LiveServer server, BackendCallException failure) {
        if (failure.isCalled()) {
            recordServerFailure(server, failure.outcome());
        }
        return recordAttempt(
                context,
                server,
                failure.outcome(),
                failure.getMessage(),
                failure.isBrokenOff() ? context.promptParts() : null,
                closedBy(failure));
    }

    private NextStep recordAttempt(
            RequestContext context,
            LiveServer server,
            AttemptOutcome outcome,
            String reason,
            List<PromptPartId> promptParts,
            String closedBy) {
        context.attempts().record(server.id(), outcome);
        Optional<RetryObstacle> obstacle = findObstacle(context, outcome);
        NextStep next = context.attempts().nextStep(outcome, obstacle.isEmpty());
        mLog.write(
                new Decision.AttemptFailed(
                        context.caller().id().value(),
                        server.id().value(),
                        outcome.name(),
                        reason,
                        promptParts,
                        next.name(),
                        obstacle.map(RetryObstacle::name).orElse(null),
                        context.remainingMillis(mTicker.nowNanos()),
                        closedBy,
                        context.receivedBytes().orElse(null)));
        return next;
    }

    private void recordServerFailure(LiveServer server, AttemptOutcome outcome) {
        long nowNanos = mTicker.nowNanos();
        mMetrics.count(server.service(), outcome);
        mTally.record(server.id(), outcome);
        mHealth.recordOutcome(server.id(), outcome, 0, nowNanos);
        mOnFailed.accept(server, outcome);
    }

    /** Returns what prevents another attempt. If nothing does, the attempt is in the budget. */
    private Optional<RetryObstacle> findObstacle(RequestContext context, AttemptOutcome outcome) {
        if (!context.attempts().mayRetry()) {
            return Optional.of(RetryObstacle.ATTEMPTS);
        }
        if (context.remainingMillis(mTicker.nowNanos()) < MIN_RETRY_TIME_MILLIS) {
            return Optional.of(RetryObstacle.DEADLINE);
        }
        return outcome == AttemptOutcome.NOT_SENT || mBudgets.tryAcquireRetry(context.service())
                ? Optional.empty()
                : Optional.of(RetryObstacle.BUDGET);
    }

    /**
     * Returns the refusal of a request that no server has answered.
     *
     * @param next {@link NextStep#REFUSE} or {@link NextStep#FAIL}
     */
    RefusalException refusal(RequestContext context, LiveServer server, NextStep next) {
        RemoteName remote = new RemoteName(server.id().value());
        if (next == NextStep.REFUSE) {
            return new RefusalException(
                    RefusalReason.BUSY,
                    RunState.NOT_RUN,
                    REFUSED_RETRY_MILLIS,
                    Step.FORWARD,
                    remote,
                    "no backend server accepted the request");
        }
        boolean late = context.remainingMillis(mTicker.nowNanos()) <= 0;
        return new RefusalException(
                late ? RefusalReason.BACKEND_TIMEOUT : RefusalReason.BACKEND_FAILED,
                RunState.UNKNOWN,
                0,
                Step.FORWARD,
                remote,
                "the backend server did not send a complete response");
    }
}
