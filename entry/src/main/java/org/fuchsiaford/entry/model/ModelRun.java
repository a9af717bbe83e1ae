package org.fuchsiaford.entry.model;

import java.util.concurrent.TimeUnit;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.entry.backend.BackendException;
import org.fuchsiaford.entry.backend.CompletionChunk;
import org.fuchsiaford.entry.backend.EngineRequest;
import org.fuchsiaford.failure.Step;
import org.fuchsiaford.request.OutputProgress;
import org.fuchsiaford.request.RequestLifecycle;
import org.fuchsiaford.workspace.KeyHash;
import org.fuchsiaford.workspace.WorkspaceId;
import reactor.core.publisher.Mono;

/**
 * The state of one model request over all its attempts.
 *
 * <p>Invariants: each token is delivered to the client at most once and in order; the output is
 * complete only after its final chunk. Thread-safe.
 */
public final class ModelRun {
    private static final int MAX_ATTEMPTS = 4;

    /** How long after receipt of the request a further attempt may start. */
    private static final long ATTEMPT_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(60);

    private static final long MIN_FIRST_TOKEN_MILLIS = 1;

    private final ModelRequest mRequest;
    private final WorkspaceId mWorkspace;
    private final KeyHash mKeyHash;
    private final long mReceivedNanos;
    private final RequestLifecycle mLifecycle;
    private final TokenUsage mUsage = new TokenUsage();
    private final OutputProgress mProgress = new OutputProgress();
    private final StringBuilder mDeliveredText = new StringBuilder();
    private boolean mComplete;

    /** Creates the state of an admitted request. */
    public ModelRun(ModelRequest request, WorkspaceId workspace, KeyHash key, long receivedNanos) {
        mRequest = request;
        mWorkspace = workspace;
        mKeyHash = key;
        mReceivedNanos = receivedNanos;
        mLifecycle = new RequestLifecycle(true, receivedNanos + ATTEMPT_WINDOW_NANOS, MAX_ATTEMPTS);
        mLifecycle.admit();
    }

    /** Returns the request. */
    public ModelRequest request() {
        return mRequest;
    }

    /** Returns the workspace that is charged. */
    public WorkspaceId workspace() {
        return mWorkspace;
    }

    /** Returns the hash of the client's API key. */
    public KeyHash key() {
        return mKeyHash;
    }

    /** Returns the time at which the request was received, in nanoseconds of the ticker. */
    public long receivedNanos() {
        return mReceivedNanos;
    }

    /** Returns the lifecycle. */
    public RequestLifecycle lifecycle() {
        return mLifecycle;
    }

    /** Returns the tokens used so far. */
    public TokenUsage usage() {
        return mUsage;
    }

    /** Returns the number of tokens delivered to the client. */
    public int deliveredTokens() {
        return mProgress.delivered();
    }

    synchronized String promptWithOutput() {
        return mRequest.prompt() + mDeliveredText;
    }

    int remainingTokens() {
        return mRequest.maxTokens() - deliveredTokens();
    }

    /**
     * Returns the time left until the first-token target, in milliseconds. A request that has been
     * sent to an engine before gets the whole target again.
     */
    long remainingFirstTokenMillis(long nowNanos) {
        long target = mRequest.model().firstTokenTargetMillis();
        if (deliveredTokens() > 0
                || mLifecycle.runState() == org.fuchsiaford.failure.RunState.UNKNOWN) {
            return target;
        }
        long elapsed = TimeUnit.NANOSECONDS.toMillis(nowNanos - mReceivedNanos);
        return Math.max(target - elapsed, MIN_FIRST_TOKEN_MILLIS);
    }

    EngineRequest engineRequest() {
        return new EngineRequest(
                mRequest.id(), mRequest.fields(), promptWithOutput(), remainingTokens());
    }

    /**
     * Processes a chunk of an engine's stream.
     *
     * @param position the position of the stream, which is advanced by the chunk
     * @return the chunk, or empty if its tokens have been delivered already; fails with {@link
     *     BackendException} if tokens before it are missing or it overlaps delivered tokens
     */
    synchronized Mono<CompletionChunk> accept(
            CompletionChunk chunk, StreamPosition position, BackendServerId engine) {
        int start = position.nextIndex();
        int end = position.advanceTo(chunk.completionTokens());
        return switch (mProgress.accept(start, end)) {
            case DUPLICATE -> Mono.empty();
            case GAP ->
                    Mono.error(
                            invalidStream(
                                    engine, "the stream has a gap or overlap at token " + start));
            case FORWARD -> {
                mDeliveredText.append(chunk.text());
                mUsage.recordCompletion(end);
                mComplete = chunk.isLast();
                yield Mono.just(chunk);
            }
        };
    }

    synchronized Mono<CompletionChunk> requireComplete(BackendServerId engine) {
        return mComplete
                ? Mono.empty()
                : Mono.error(invalidStream(engine, "the stream ended before the final chunk"));
    }

    private static BackendException invalidStream(BackendServerId engine, String message) {
        return new BackendException(
                Step.DECODE, engine, BackendException.Kind.BROKEN, message, null);
    }
}
