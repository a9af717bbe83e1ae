package org.fuchsiaford.entry.gateway.engine;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.fuchsiaford.attempt.AttemptOutcome;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.entry.gateway.protocol.EngineReport;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.RunEvidence;
import org.fuchsiaford.registry.ServerRun;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Mono;

/**
 * Finds out whether engines are still the runs that the registry describes. The registry may be out
 * of date, while an engine always states its own run correctly.
 *
 * <p>Invariant: an engine counts as the registered run for a stream only if it has said so after
 * the stream began, or if the registry is current and no connection to the run has failed.
 * Thread-safe.
 */
public final class EngineRuns {
    /** Joins the questions for streams that break off together. */
    private static final Duration ASK_DELAY = Duration.ofMillis(5);

    /** Joins the questions for streams that begin one after the other. */
    private static final Duration ASK_BEGUN_DELAY = Duration.ofMillis(500);

    /** The start of a run whose registration states none. */
    private static final long UNSTATED_MILLIS = 0;

    private final EngineReportClient mClient;
    private final BooleanSupplier mIsRegistryCurrent;
    private final Predicate<ServerRun> mIsRegistered;
    private final DecisionLog mLog;
    private final Ticker mTicker;
    private final RunEvidence mEvidence = new RunEvidence();

    /** The questions that are not sent yet. */
    private final Map<Question, Mono<Boolean>> mUnsent = new ConcurrentHashMap<>();

    private record Question(ServerRun run, Duration delay) {}

    /**
     * Creates the knowledge of one host.
     *
     * @param isRegistryCurrent whether the registry is up to date, as far as this host can tell
     * @param isRegistered whether the registry contains a run
     */
    public EngineRuns(
            EngineReportClient client,
            BooleanSupplier isRegistryCurrent,
            Predicate<ServerRun> isRegistered,
            DecisionLog log,
            Ticker ticker) {
        mClient = client;
        mIsRegistryCurrent = isRegistryCurrent;
        mIsRegistered = isRegistered;
        mLog = log;
        mTicker = ticker;
    }

    /** Records that a call has failed; the run may have ended if it broke the connection off. */
    public void recordFailure(LiveServer engine, AttemptOutcome outcome) {
        boolean mayHaveEnded =
                switch (outcome) {
                    case NOT_SENT, WRONG_SERVER, UNKNOWN -> true;
                    default -> false;
                };
        if (mayHaveEnded) {
            mEvidence.retain(mIsRegistered);
            mEvidence.addDoubt(engine.run(), mTicker.nowNanos());
        }
    }

    /** Asks an engine whether it is the registered run; false if it does not answer twice. */
    public Mono<Boolean> confirm(LiveServer engine) {
        return ask(engine, ASK_DELAY);
    }

    /** As {@link #confirm}, for a stream that has just begun at an engine. */
    public Mono<Boolean> confirmBegun(LiveServer engine) {
        return ask(engine, ASK_BEGUN_DELAY);
    }

    /** Returns whether an engine has stated the registered run when asked at a time or later. */
    public boolean isStatedSince(LiveServer engine, long nanos) {
        return mEvidence.isStatedSince(engine.run(), nanos);
    }

    /** Returns whether nothing speaks against an engine being the registered run. */
    public boolean isUndoubted(LiveServer engine) {
        return mIsRegistryCurrent.getAsBoolean() && !mEvidence.isDoubted(engine.run());
    }

    private Mono<Boolean> ask(LiveServer engine, Duration delay) {
        Question question = new Question(engine.run(), delay);
        return Mono.defer(
                () ->
                        mUnsent.computeIfAbsent(
                                question,
                                q ->
                                        Mono.delay(delay)
                                                .doOnNext(tick -> mUnsent.remove(question))
                                                .then(Mono.defer(() -> ask(engine)))
                                                .cache()));
    }

    private Mono<Boolean> ask(LiveServer engine) {
        long askedNanos = mTicker.nowNanos();
        return mClient.read(engine)
                .retry(1)
                .map(report -> recordReport(engine, report, askedNanos))
                .onErrorResume(
                        e -> {
                            log(engine, null, "no report: " + e.getMessage());
                            return Mono.just(false);
                        });
    }

    private boolean recordReport(LiveServer engine, EngineReport report, long askedNanos) {
        OptionalLong startedMillis = report.startedMillis();
        if (startedMillis.isEmpty() || engine.startedMillis() == UNSTATED_MILLIS) {
            boolean isUndoubted = isUndoubted(engine);
            log(engine, null, isUndoubted ? "not stated, no doubt" : "not stated, in doubt");
            return isUndoubted;
        }
        boolean isSame = startedMillis.getAsLong() == engine.startedMillis();
        if (isSame) {
            mEvidence.addStatement(engine.run(), askedNanos);
        } else {
            mEvidence.addDoubt(engine.run(), mTicker.nowNanos());
        }
        log(engine, startedMillis.getAsLong(), isSame ? "as registered" : "another run");
        return isSame;
    }

    private void log(LiveServer engine, Long statedMillis, String outcome) {
        mLog.write(
                new Decision.EngineAsked(
                        engine.id().value(), engine.startedMillis(), statedMillis, outcome));
    }
}
