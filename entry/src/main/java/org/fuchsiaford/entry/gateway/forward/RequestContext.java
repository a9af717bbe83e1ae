package org.fuchsiaford.entry.gateway.forward;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.attempt.RequestAttempts;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.entry.gateway.protocol.CallerRequest;
import org.fuchsiaford.entry.gateway.protocol.KvSource;
import org.fuchsiaford.entry.gateway.protocol.ServerRequest;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.RunState;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.routing.GatewayRoute;
import org.fuchsiaford.routing.TokenCounts;
import org.fuchsiaford.routing.WorkspaceDeclaration;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * An admitted request on its way: what it is, how long it may take and what was tried. Only its
 * counters change, by the signals of one request, one after another.
 */
final class RequestContext {
    /** The size that a model request without token counts is planned for. */
    private static final TokenCounts UNKNOWN_SIZE = new TokenCounts(1_000, 100);

    private final CallerRequest mCaller;
    private final byte[] mBody;
    private final GatewayRoute mRoute;
    private final ServiceId mService;
    private final Optional<WorkspaceDeclaration> mWorkspace;
    private final long mArrivedNanos;
    private final long mDeadlineNanos;
    private final RequestAttempts mAttempts;
    private int mSends;

    RequestContext(
            CallerRequest caller,
            byte[] body,
            GatewayRoute route,
            ServiceId service,
            Optional<WorkspaceDeclaration> workspace,
            long arrivedNanos,
            long deadlineNanos) {
        mCaller = caller;
        mBody = body;
        mRoute = route;
        mService = service;
        mWorkspace = workspace;
        mArrivedNanos = arrivedNanos;
        mDeadlineNanos = deadlineNanos;
        mAttempts = new RequestAttempts(route.kind(), route.maxServers());
    }

    CallerRequest caller() {
        return mCaller;
    }

    byte[] body() {
        return mBody;
    }

    GatewayRoute route() {
        return mRoute;
    }

    ServiceId service() {
        return mService;
    }

    Optional<WorkspaceId> workspaceId() {
        return mWorkspace.map(WorkspaceDeclaration::id);
    }

    /** Returns the size that the request is planned for. */
    TokenCounts tokens() {
        return mCaller.tokens().orElse(UNKNOWN_SIZE);
    }

    /** Returns the rank, zero first; that of the workspace goes before that of the route. */
    int priority() {
        return mWorkspace
                .map(WorkspaceDeclaration::priority)
                .filter(OptionalInt::isPresent)
                .map(OptionalInt::getAsInt)
                .orElse(mRoute.priority());
    }

    long arrivedNanos() {
        return mArrivedNanos;
    }

    long deadlineNanos() {
        return mDeadlineNanos;
    }

    RequestAttempts attempts() {
        return mAttempts;
    }

    /** Counts a send and returns how many there were before it. */
    int incrementSendCount() {
        return mSends++;
    }

    int sendCount() {
        return mSends;
    }

    long remainingMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(mDeadlineNanos - nowNanos);
    }

    /**
     * Returns the refusal for want of a backend server; it promises that nothing ran only if no
     * earlier attempt may have.
     */
    RefusalException placementRefusal(long retryMillis, String reason) {
        boolean mayHaveRun = mAttempts.mayHaveRun();
        return new RefusalException(
                mayHaveRun ? RefusalReason.BACKEND_FAILED : RefusalReason.BUSY,
                mayHaveRun ? RunState.UNKNOWN : RunState.NOT_RUN,
                mayHaveRun ? 0 : Math.max(1, retryMillis),
                Step.PLACE,
                RemoteName.SELF,
                reason);
    }

    /** Returns the request as one backend server gets it. */
    ServerRequest serverRequest(
            LiveServer server,
            ServerRequest.Purpose purpose,
            long leftMillis,
            Optional<KvSource> source,
            Optional<String> lastEventId) {
        return new ServerRequest(
                mCaller,
                server,
                purpose,
                leftMillis,
                workspaceId(),
                priority(),
                source,
                lastEventId);
    }
}
