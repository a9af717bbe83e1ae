package org.fuchsiaford.entry.gateway.fleet;

import java.time.Duration;
import java.util.List;
import org.fuchsiaford.entry.gateway.state.GatewayState;
import org.fuchsiaford.entry.gateway.state.ServerPaceRecorder;
import org.fuchsiaford.peer.message.PeerMessage;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.serverlimit.ColdServer;
import org.fuchsiaford.serverlimit.ColdServers;
import org.fuchsiaford.serverlimit.DeniedPermits;
import org.fuchsiaford.serverlimit.NamedLimit;
import org.fuchsiaford.serverlimit.ServerLimits;
import org.fuchsiaford.serverlimit.ServerRateLimiter;
import org.fuchsiaford.time.Ticker;
import reactor.core.publisher.Mono;

/**
 * Obtains permits for the requests of this host to plain servers that name a limit, may be cold or
 * have started lately: from a coordinator, or here if this host is the coordinator or reaches none.
 * Other servers need no permit. The scheduler of engines obtains those for engines.
 *
 * <p>Where servers may be cold, a permit is asked for although this host takes the server for warm,
 * since a coordinator learns of a cold server up to a second before it.
 *
 * <p>Invariant: after a permit was denied, none is asked for until the time that the denial names,
 * unless the server names another limit or none. Thread-safe.
 */
public final class ServerPermits {
    /** Several round trips within a region; then the next coordinator is asked. */
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(150);

    private final CoordinatorCalls mCalls;
    private final ServerLimits mLimits;
    private final ColdServers mCold;
    private final ServerPaceRecorder mPace;
    private final ServerRateLimiter mLimiter;
    private final DeniedPermits mDenials;
    private final Ticker mTicker;

    /** Creates the permits of one host. */
    public ServerPermits(
            CoordinatorCalls calls,
            ServerLimits limits,
            GatewayState state,
            ServerRateLimiter limiter,
            Ticker ticker) {
        mCalls = calls;
        mLimits = limits;
        mCold = state.cold().servers();
        mPace = state.pace();
        mDenials = new DeniedPermits(limits);
        mLimiter = limiter;
        mTicker = ticker;
    }

    /** Obtains a permit for one request; emits false if it is denied. */
    public Mono<Boolean> acquire(LiveServer server) {
        return needsPermit(server)
                ? acquireLimited(server).map(waitNanos -> isPermitted(server, waitNanos))
                : Mono.just(true);
    }

    private boolean needsPermit(LiveServer server) {
        return mLimits.isLimited(server.run())
                || mCold.mayBeCold(server.service())
                || mPace.mayBePaced(server.run());
    }

    private Mono<Long> acquireLimited(LiveServer server) {
        long nowNanos = mTicker.nowNanos();
        NamedLimit limit = mLimits.find(server.run(), nowNanos);
        ColdServer cold = mCold.find(server.run(), nowNanos).orElse(null);
        return mCalls.ask(
                        new PeerMessage.AcquirePermit(mCalls.self().id(), limit, cold),
                        PeerMessage.LimitResponse.class,
                        CALL_TIMEOUT,
                        () -> acquireHere(server))
                .map(PeerMessage.LimitResponse::waitNanos);
    }

    private PeerMessage.LimitResponse acquireHere(LiveServer server) {
        return new PeerMessage.LimitResponse(
                mLimiter.acquire(server.run(), mTicker.nowNanos()), null);
    }

    private boolean isPermitted(LiveServer server, long waitNanos) {
        if (waitNanos > 0) {
            mDenials.record(server.run(), waitNanos, mTicker.nowNanos());
        }
        return waitNanos == 0;
    }

    /** Returns those of the servers that are not cold. */
    public List<LiveServer> warm(List<LiveServer> servers, long nowNanos) {
        return mLimiter.withoutStrictLimit(servers, nowNanos);
    }

    /** Returns the servers for which there may be a permit now. */
    public List<LiveServer> availableNow(List<LiveServer> servers, long nowNanos) {
        return mDenials.availableNow(servers, nowNanos);
    }

    /**
     * Returns the time until there may be a permit for the first of the servers, in milliseconds,
     * rounded up; zero if there may be one now or there is no server.
     */
    public long millisUntilFirst(List<LiveServer> servers, long nowNanos) {
        return mDenials.millisUntilFirst(servers, nowNanos);
    }
}
