package org.fuchsiaford.entry.gateway.fleet;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.entry.gateway.state.ColdServerRecorder;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.prompt.PromptQuarantine;
import org.fuchsiaford.quota.FleetQuota;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.selection.EngineAnswer;
import org.fuchsiaford.selection.EngineRequest;
import org.fuchsiaford.selection.RequestAttributes;
import org.fuchsiaford.selection.SeatAnswer;
import org.fuchsiaford.selection.SeatRequest;
import org.fuchsiaford.serverlimit.ServerLimits;
import org.fuchsiaford.serverlimit.ServerRateLimiter;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Mono;

/**
 * Answers what other hosts ask of this one as a coordinator: places on engines, seats of plain
 * servers, tokens of rate limits, and permits for requests to limited servers. It answers every
 * host that asks, whether or not this host considers itself the first coordinator. Thread-safe.
 */
public final class CoordinatorHandler {
    private final EngineDispatcher mDispatcher;
    private final SeatDispatcher mSeats;
    private final PromptQuarantine mQuarantine;
    private final FleetQuota mQuota;
    private final ServerLimits mLimits;
    private final ColdServerRecorder mCold;
    private final ServerRateLimiter mLimiter;
    private final Runnable mUpdateShare;
    private final Ticker mTicker;

    /**
     * Creates a handler.
     *
     * @param updateShare updates the share of this host before it decides; must not block
     */
    public CoordinatorHandler(
            EngineDispatcher dispatcher,
            SeatDispatcher seats,
            PromptQuarantine quarantine,
            FleetQuota quota,
            ServerLimits limits,
            ColdServerRecorder cold,
            ServerRateLimiter limiter,
            Runnable updateShare,
            Ticker ticker) {
        mDispatcher = dispatcher;
        mSeats = seats;
        mQuarantine = quarantine;
        mQuota = quota;
        mLimits = limits;
        mCold = cold;
        mLimiter = limiter;
        mUpdateShare = updateShare;
        mTicker = ticker;
    }

    /** Grants engines to a request of another host. */
    public Mono<PeerMessage> handle(PeerMessage.AcquireEngines message) {
        Mono<EngineAnswer> answer =
                message.poll()
                        ? mDispatcher.pollRemote(message.host(), message.request())
                        : mDispatcher.submitRemote(toRequest(message, mTicker.nowNanos()));
        return answer.<PeerMessage>map(CoordinatorHandler::toResponse)
                .defaultIfEmpty(
                        new PeerMessage.EnginesResponse(
                                PeerMessage.EnginesResponse.State.UNKNOWN, null, null, 0, null));
    }

    private static EngineRequest toRequest(PeerMessage.AcquireEngines message, long nowNanos) {
        return new EngineRequest(
                message.host(),
                message.domain(),
                message.request(),
                message.service(),
                message.tokens(),
                message.promptParts(),
                message.priority(),
                Set.copyOf(message.failed()),
                Optional.ofNullable(message.version()),
                message.targetMillis(),
                nowNanos - TimeUnit.MILLISECONDS.toNanos(message.ageMillis()),
                nowNanos + TimeUnit.MILLISECONDS.toNanos(message.eventLeftMillis()),
                nowNanos + TimeUnit.MILLISECONDS.toNanos(message.leftMillis()),
                Optional.ofNullable(message.attributes()).orElse(RequestAttributes.NONE));
    }

    private static PeerMessage.EnginesResponse toResponse(EngineAnswer answer) {
        if (answer instanceof EngineAnswer.Granted granted) {
            return new PeerMessage.EnginesResponse(
                    PeerMessage.EnginesResponse.State.GRANTED,
                    granted.plan().decode().id(),
                    granted.plan().prefill().map(LiveServer::id).orElse(null),
                    0,
                    null);
        }
        if (answer instanceof EngineAnswer.Refused refused) {
            return new PeerMessage.EnginesResponse(
                    PeerMessage.EnginesResponse.State.REFUSED,
                    null,
                    null,
                    refused.retryMillis(),
                    refused.reason());
        }
        return new PeerMessage.EnginesResponse(
                PeerMessage.EnginesResponse.State.WAITING,
                null,
                null,
                ((EngineAnswer.Waiting) answer).waitMillis(),
                null);
    }

    /** Grants a seat of a plain server to a request of another host. */
    public Mono<PeerMessage> handle(PeerMessage.AcquireSeat message) {
        Mono<SeatAnswer> answer =
                message.poll()
                        ? mSeats.poll(message.host(), message.request())
                        : mSeats.submit(toRequest(message, mTicker.nowNanos()));
        return answer.<PeerMessage>map(CoordinatorHandler::toResponse)
                .defaultIfEmpty(
                        new PeerMessage.EnginesResponse(
                                PeerMessage.EnginesResponse.State.UNKNOWN, null, null, 0, null));
    }

    private static SeatRequest toRequest(PeerMessage.AcquireSeat message, long nowNanos) {
        return new SeatRequest(
                message.host(),
                message.domain(),
                message.request(),
                message.service(),
                message.kind(),
                message.workspace(),
                Set.copyOf(message.excluded()),
                nowNanos + TimeUnit.MILLISECONDS.toNanos(message.targetLeftMillis()),
                nowNanos + TimeUnit.MILLISECONDS.toNanos(message.leftMillis()));
    }

    private static PeerMessage.EnginesResponse toResponse(SeatAnswer answer) {
        if (answer instanceof SeatAnswer.Granted granted) {
            return new PeerMessage.EnginesResponse(
                    PeerMessage.EnginesResponse.State.GRANTED,
                    granted.server().id(),
                    null,
                    0,
                    null);
        }
        if (answer instanceof SeatAnswer.Refused refused) {
            return new PeerMessage.EnginesResponse(
                    PeerMessage.EnginesResponse.State.REFUSED,
                    null,
                    null,
                    refused.retryMillis(),
                    refused.reason());
        }
        return new PeerMessage.EnginesResponse(
                PeerMessage.EnginesResponse.State.WAITING,
                null,
                null,
                ((SeatAnswer.Waiting) answer).waitMillis(),
                null);
    }

    /** Applies what another host reports about granted engines and seats. */
    public PeerMessage.Success handle(PeerMessage.ReportEngineEvents message) {
        mDispatcher.apply(message.events());
        mSeats.apply(message.events());
        return new PeerMessage.Success();
    }

    /** Grants tokens of a rate limit to a request of another host. */
    public PeerMessage.LimitResponse handle(PeerMessage.ChargeLimit message) {
        mUpdateShare.run();
        long waitNanos =
                mQuota.grant(
                        message.workspace(), message.quota(), message.tokens(), mTicker.nowNanos());
        return new PeerMessage.LimitResponse(
                waitNanos,
                waitNanos == 0 ? null : mQuota.describe(message.workspace(), mTicker.nowNanos()));
    }

    /** Permits a request of another host to a server that is limited or may be. */
    public PeerMessage.LimitResponse handle(PeerMessage.AcquirePermit message) {
        long nowNanos = mTicker.nowNanos();
        mLimits.merge(List.of(message.limit()), nowNanos);
        if (message.cold() != null) {
            mCold.merge(List.of(message.cold()), message.host().value());
        }
        long waitNanos = mLimiter.acquire(message.limit().server(), nowNanos);
        return new PeerMessage.LimitResponse(waitNanos, null);
    }

    /** Decides whether a plain request of another host may be tried again. */
    public PeerMessage.LimitResponse handle(PeerMessage.AdmitPrompt message) {
        long waitNanos = mQuarantine.admit(message.promptParts(), mTicker.nowNanos());
        mDispatcher.logQuarantine();
        return new PeerMessage.LimitResponse(waitNanos, null);
    }

    /** Records that a plain server broke off the response to a request of another host. */
    public PeerMessage.Success handle(PeerMessage.ReportCrash message) {
        long nowNanos = mTicker.nowNanos();
        if (message.survivedMillis() >= 0) {
            long beganNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(message.survivedMillis());
            mQuarantine.recordSurvival(message.promptParts(), beganNanos, nowNanos);
        }
        mQuarantine.recordBrokenStream(message.server(), message.promptParts(), nowNanos);
        mDispatcher.logQuarantine();
        return new PeerMessage.Success();
    }

    /** Records that a plain server has responded to a request of another host. */
    public PeerMessage.Success handle(PeerMessage.ReportSurvival message) {
        long nowNanos = mTicker.nowNanos();
        long beganNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(message.ageMillis());
        mQuarantine.recordSurvival(message.promptParts(), beganNanos, nowNanos);
        mDispatcher.logQuarantine();
        return new PeerMessage.Success();
    }

    /** Takes back tokens of a request of another host that has not run. */
    public PeerMessage.Success handle(PeerMessage.RefundLimit message) {
        mQuota.refundGrant(message.workspace(), message.tokens(), mTicker.nowNanos());
        return new PeerMessage.Success();
    }
}
