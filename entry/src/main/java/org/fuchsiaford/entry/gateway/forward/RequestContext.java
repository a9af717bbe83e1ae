package org.fuchsiaford.entry.gateway.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.fuchsiaford.attempt.RequestAttempts;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.protocol.CallerRequest;
import org.fuchsiaford.entry.gateway.protocol.KvSource;
import org.fuchsiaford.entry.gateway.protocol.ServerRequest;
import org.fuchsiaford.failure.RefusalException;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.failure.RemoteName;
import org.fuchsiaford.failure.RunState;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.prompt.PromptPartId;
import org.fuchsiaford.prompt.RequestFingerprint;
import org.fuchsiaford.registry.AllowedRegions;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.registry.SoftwareVersion;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.GatewayRoute;
import org.fuchsiaford.routing.TokenCounts;
import org.fuchsiaford.routing.WorkspaceDeclaration;
import org.fuchsiaford.selection.StreamPace;
import org.fuchsiaford.stream.StreamKey;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * An admitted request with its route, deadline and attempts. Only the attempts, the progress and
 * the software version of the stream, and the sends change. What belongs to a stream is not
 * thread-safe, since its signals arrive sequentially; the attempts and the sends are.
 */
final class RequestContext {
    /** The token counts assumed for a model request that states none. */
    private static final TokenCounts DEFAULT_TOKENS = new TokenCounts(1_000, 100);

    private final CallerRequest mCaller;
    private final byte[] mBody;
    private final GatewayRoute mRoute;
    private final ServiceId mService;
    private final Optional<WorkspaceDeclaration> mWorkspace;
    private final long mArrivedNanos;
    private final long mDeadlineNanos;
    private final RequestAttempts mAttempts;
    private final StreamProgress mStreamProgress;
    private Optional<LiveServer> mBegunBy = Optional.empty();
    private boolean mBegunUndoubted;
    private long mBegunNanos;
    private Optional<SoftwareVersion> mVersion = Optional.empty();
    private final AtomicInteger mSendCount = new AtomicInteger();
    private final StreamGaps mGaps = new StreamGaps();
    private final AtomicBoolean mRaced = new AtomicBoolean();
    private volatile long mFirstSentNanos;
    private volatile long mLastSentNanos;
    private volatile Exchange mExchange;
    private volatile long mWaitingSinceNanos;
    private List<PromptPartId> mPromptParts;

    /**
     * What was received in the latest exchange with a server.
     *
     * @param bodyBytes the received part of the body, if the response is a stream
     * @param lastReceivedNanos when the server was last heard, at first when the request was sent
     */
    private record Exchange(BackendServerId server, long bodyBytes, long lastReceivedNanos) {}

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
        mWaitingSinceNanos = arrivedNanos;
        mDeadlineNanos = deadlineNanos;
        mAttempts = new RequestAttempts(route.kind(), route.maxServers());
        mStreamProgress = new StreamProgress(route.kind().isRepeatable(), caller.lastEventId());
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

    /** Returns the regions whose servers may serve the request. */
    AllowedRegions allowedRegions() {
        return RouteAdmission.allowedRegions(mRoute, mWorkspace);
    }

    /** Returns the token counts that the request is planned with. */
    TokenCounts tokens() {
        return mCaller.tokens().orElse(DEFAULT_TOKENS);
    }

    /**
     * Returns what identifies the request to the quarantine: the parts of its prompt, as far as the
     * caller stated them, and its fingerprint.
     */
    List<PromptPartId> promptParts() {
        if (mPromptParts == null) {
            String target = mCaller.method() + " " + mCaller.virtualHost() + mCaller.uri();
            PromptPartId fingerprint = RequestFingerprint.of(mCaller.key(), target, mBody);
            mPromptParts =
                    Stream.concat(mCaller.promptParts().stream(), Stream.of(fingerprint)).toList();
        }
        return mPromptParts;
    }

    /** Returns what identifies the stream of a request over all attempts of its caller. */
    static StreamKey streamKey(CallerRequest caller) {
        RequestId first = caller.lastEventId().flatMap(id -> caller.resumes()).orElse(caller.id());
        return StreamKey.of(caller.key(), caller.virtualHost() + caller.uri(), first);
    }

    /** Records that the stream began at a software version, and may go on at no other. */
    void bindTo(SoftwareVersion version) {
        mVersion = Optional.of(version);
    }

    /** Records that a server has begun the stream, unless it was bound before. */
    void bindTo(LiveServer server, long nowNanos) {
        if (mVersion.isEmpty()) {
            mVersion = Optional.of(server.version());
            mBegunBy = Optional.of(server);
            mBegunNanos = nowNanos;
        }
    }

    /** Returns the software version at which alone the stream may go on, if it has begun. */
    Optional<SoftwareVersion> version() {
        return mVersion;
    }

    /** Returns the server that began the stream for this attempt of the caller. */
    Optional<LiveServer> begunBy() {
        return mBegunBy;
    }

    /** Returns when it began the stream, on the monotonic clock; valid if one has. */
    long begunNanos() {
        return mBegunNanos;
    }

    /** Records that nothing spoke against that server being the registered run. */
    void recordBegunUndoubted() {
        mBegunUndoubted = true;
    }

    boolean isBegunUndoubted() {
        return mBegunUndoubted;
    }

    /** Returns the priority; zero is the highest. The workspace overrides the route. */
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

    /** Returns how much of the response was forwarded; used only if it is a stream. */
    StreamProgress streamProgress() {
        return mStreamProgress;
    }

    /** Records a send and returns the number of earlier ones. */
    int recordSend(long nowNanos) {
        if (mSendCount.get() == 0) {
            mFirstSentNanos = nowNanos;
        }
        mLastSentNanos = nowNanos;
        return mSendCount.getAndIncrement();
    }

    int sendCount() {
        return mSendCount.get();
    }

    /** Returns when the request was first sent, on the monotonic clock; valid after a send. */
    long firstSentNanos() {
        return mFirstSentNanos;
    }

    /** Returns when the request was last sent, on the monotonic clock; valid after a send. */
    long lastSentNanos() {
        return mLastSentNanos;
    }

    /** Records that an exchange with a server begins. */
    void recordExchange(BackendServerId server, long nowNanos) {
        mExchange = new Exchange(server, 0, nowNanos);
    }

    /** Records that a part of the body of a stream was received. */
    void recordReceived(long bytes, long nowNanos) {
        Exchange last = mExchange;
        mExchange = new Exchange(last.server(), last.bodyBytes() + bytes, nowNanos);
    }

    /** Records that events of a stream are passed on to its caller. */
    void recordEvents(long nowNanos) {
        mWaitingSinceNanos = nowNanos;
        mGaps.record(nowNanos);
    }

    /** Returns the longest time between events of the stream, once events arrived twice. */
    Optional<StreamGaps.Gap> longestGap() {
        return mGaps.longest();
    }

    /** Returns how the events of the stream followed each other, if one attempt sent them all. */
    StreamPace pace() {
        return sendCount() == 1 ? mGaps.pace() : StreamPace.UNKNOWN;
    }

    /** Returns whether events of the stream were further apart than its route's target. */
    boolean isOverGapTarget() {
        long targetNanos = TimeUnit.MILLISECONDS.toNanos(mRoute.targetGapMillis());
        return targetNanos > 0
                && longestGap().filter(gap -> gap.lengthNanos() > targetNanos).isPresent();
    }

    /** Returns when the caller got the last event, or sent the request if it got none. */
    long waitingSinceNanos() {
        return mWaitingSinceNanos;
    }

    /** Returns how much of the body of a stream was received in the latest exchange. */
    Optional<Long> receivedBytes() {
        return Optional.ofNullable(mExchange)
                .filter(exchange -> mRoute.kind().isStream())
                .map(Exchange::bodyBytes);
    }

    /**
     * Describes a request that a server is working on while this host stops.
     *
     * @param longestNanos the longest duration of requests of the route lately, if known
     */
    Decision.RequestCut describeCut(long stopNanos, OptionalLong longestNanos, long nowNanos) {
        Optional<Exchange> exchange = Optional.ofNullable(mExchange);
        long heardNanos = exchange.map(Exchange::lastReceivedNanos).orElse(mLastSentNanos);
        return new Decision.RequestCut(
                mCaller.id().value(),
                mRoute.name(),
                exchange.map(e -> e.server().value()).orElse(null),
                TimeUnit.NANOSECONDS.toMillis(mFirstSentNanos - stopNanos),
                longestNanos.isEmpty()
                        ? null
                        : TimeUnit.NANOSECONDS.toMillis(longestNanos.getAsLong()),
                receivedBytes().orElse(null),
                TimeUnit.NANOSECONDS.toMillis(nowNanos - heardNanos),
                remainingMillis(nowNanos));
    }

    /** Returns true once: for the attempt beside which another one may be made. */
    boolean startRace() {
        return mRaced.compareAndSet(false, true);
    }

    /** Returns the time until the deadline in milliseconds; negative after it. */
    long remainingMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(mDeadlineNanos - nowNanos);
    }

    /**
     * Returns the refusal of a request for which no backend server is available. It states that the
     * request has not run only if no earlier attempt may have run it.
     *
     * @param retryMillis the delay before a retry, in milliseconds; not used if the request may
     *     have run
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

    /** Returns a refusal that states what is known: an attempt may have run in the meantime. */
    RefusalException withRunState(RefusalException refusal) {
        return refusal.runState() == RunState.NOT_RUN && mAttempts.mayHaveRun()
                ? placementRefusal(0, refusal.getMessage())
                : refusal;
    }

    /**
     * Returns the request to send to a backend server.
     *
     * @param remainingMillis the time limit for the server, in milliseconds
     * @param source where the server fetches the KV cache of the prompt; empty if it prefills the
     *     prompt itself
     * @param lastEventId the event after which a stream is resumed; empty to start at the beginning
     */
    ServerRequest serverRequest(
            LiveServer server,
            ServerRequest.Purpose purpose,
            long remainingMillis,
            Optional<KvSource> source,
            Optional<String> lastEventId) {
        return new ServerRequest(
                mCaller,
                server,
                purpose,
                remainingMillis,
                workspaceId(),
                priority(),
                source,
                lastEventId);
    }
}
