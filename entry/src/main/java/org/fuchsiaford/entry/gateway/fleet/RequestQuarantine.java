package org.fuchsiaford.entry.gateway.fleet;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.prompt.PromptPartId;
import org.fuchsiaford.prompt.PromptQuarantine;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Mono;

/**
 * Keeps plain requests from servers that they would crash. Each host refuses what it knows to be in
 * quarantine; the coordinator finds the cause of crashes and decides which request is tried again.
 * Model requests are subject to the same quarantine in the scheduler of engines.
 *
 * <p>Invariant: while no request is in quarantine, a request causes no message unless its server
 * breaks off the response. Thread-safe.
 */
public final class RequestQuarantine {
    /** Several round trips within a region; then the next coordinator is asked. */
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(150);

    private static final long NEVER = -1;

    private final CoordinatorCalls mCalls;
    private final PromptQuarantine mQuarantine;
    private final CoordinatorHandler mLocalHandler;
    private final Ticker mTicker;

    /**
     * Creates the quarantine of one host.
     *
     * @param localHandler decides if this host is the coordinator or reaches none
     */
    public RequestQuarantine(
            CoordinatorCalls calls,
            PromptQuarantine quarantine,
            CoordinatorHandler localHandler,
            Ticker ticker) {
        mCalls = calls;
        mQuarantine = quarantine;
        mLocalHandler = localHandler;
        mTicker = ticker;
    }

    /**
     * Returns how long a request is to be kept from servers, in nanoseconds; zero if it may be
     * sent.
     *
     * @param promptParts what identifies the request; not called while none is in quarantine
     */
    public Mono<Long> admit(Supplier<List<PromptPartId>> promptParts) {
        if (mQuarantine.size() == 0) {
            return Mono.just(0L);
        }
        List<PromptPartId> parts = promptParts.get();
        long remainingNanos = mQuarantine.remainingNanos(parts, mTicker.nowNanos());
        if (remainingNanos > 0 || !mQuarantine.concerns(parts)) {
            return Mono.just(remainingNanos);
        }
        PeerMessage.AdmitPrompt message = new PeerMessage.AdmitPrompt(mCalls.self().id(), parts);
        return mCalls.ask(
                        message,
                        PeerMessage.LimitResponse.class,
                        CALL_TIMEOUT,
                        () -> mLocalHandler.handle(message))
                .map(PeerMessage.LimitResponse::waitNanos);
    }

    /** Records that a server broke off the response to a request, maybe by a crash. */
    public void recordCrash(BackendServerId server, List<PromptPartId> promptParts) {
        OptionalLong lastNanos = mQuarantine.lastSurvivalNanos(promptParts);
        long survivedMillis =
                lastNanos.isPresent()
                        ? TimeUnit.NANOSECONDS.toMillis(mTicker.nowNanos() - lastNanos.getAsLong())
                        : NEVER;
        PeerMessage.ReportCrash message =
                new PeerMessage.ReportCrash(
                        mCalls.self().id(), server, promptParts, survivedMillis);
        report(message, () -> mLocalHandler.handle(message));
    }

    /**
     * Records that a server has responded to a request.
     *
     * @param sentNanos when the request was sent
     */
    public void recordResponse(List<PromptPartId> promptParts, long sentNanos) {
        boolean wasConcerned = mQuarantine.size() > 0 && mQuarantine.concerns(promptParts);
        long nowNanos = mTicker.nowNanos();
        mQuarantine.recordSurvival(promptParts, sentNanos, nowNanos);
        if (wasConcerned) {
            long ageMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - sentNanos);
            PeerMessage.ReportSurvival message =
                    new PeerMessage.ReportSurvival(mCalls.self().id(), promptParts, ageMillis);
            report(message, () -> mLocalHandler.handle(message));
        }
    }

    private void report(PeerMessage message, Supplier<PeerMessage.Success> here) {
        mCalls.ask(message, PeerMessage.Success.class, CALL_TIMEOUT, here).subscribe();
    }
}
