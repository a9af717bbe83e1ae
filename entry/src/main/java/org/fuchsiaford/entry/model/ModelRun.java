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
 * One model request on its way, over all its attempts.
 *
 * <p>Invariants: the caller gets each token once and in order; an answer counts as complete only
 * after its last chunk. Thread-safe.
 */
public final class ModelRun {
    private static final int MAX_ATTEMPTS = 4;

    /** How long after receipt a further attempt may start. */
    private static final long ATTEMPT_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(60);

    private static final long LEAST_FIRST_TOKEN_MILLIS = 1;

    private final ModelRequest mRequest;
    private final WorkspaceId mWorkspace;
    private final KeyHash mKey;
    private final long mReceivedNanos;
    private final RequestLifecycle mLife;
    private final TokenUsage mUsage = new TokenUsage();
    private final OutputProgress mProgress = new OutputProgress();
    private final StringBuilder mText = new StringBuilder();
    private boolean mComplete;

    /** Starts a run of an admitted request. */
    public ModelRun(ModelRequest request, WorkspaceId workspace, KeyHash key, long receivedNanos) {
        mRequest = request;
        mWorkspace = workspace;
        mKey = key;
        mReceivedNanos = receivedNanos;
        mLife = new RequestLifecycle(true, receivedNanos + ATTEMPT_WINDOW_NANOS, MAX_ATTEMPTS);
        mLife.admit();
    }

    /** Returns the request. */
    public ModelRequest request() {
        return mRequest;
    }

    /** Returns who pays. */
    public WorkspaceId workspace() {
        return mWorkspace;
    }

    /** Returns the hash of the caller's key. */
    public KeyHash key() {
        return mKey;
    }

    /** Returns when the request came. */
    public long receivedNanos() {
        return mReceivedNanos;
    }

    /** Returns the life cycle. */
    public RequestLifecycle lifecycle() {
        return mLife;
    }

    /** Returns what has been used. */
    public TokenUsage usage() {
        return mUsage;
    }

    /** Returns how many tokens the caller has. */
    public int deliveredTokens() {
        return mProgress.delivered();
    }

    synchronized String promptWithOutput() {
        return mRequest.prompt() + mText;
    }

    int remainingTokens() {
        return mRequest.maxTokens() - deliveredTokens();
    }

    /** The time left of the first-token target; a resumed answer gets the whole target again. */
    long remainingFirstTokenMillis(long nowNanos) {
        long target = mRequest.model().firstTokenTargetMillis();
        if (deliveredTokens() > 0 || mLife.runState() == org.fuchsiaford.failure.RunState.UNKNOWN) {
            return target;
        }
        long elapsed = TimeUnit.NANOSECONDS.toMillis(nowNanos - mReceivedNanos);
        return Math.max(target - elapsed, LEAST_FIRST_TOKEN_MILLIS);
    }

    EngineRequest engineRequest() {
        return new EngineRequest(
                mRequest.id(), mRequest.fields(), promptWithOutput(), remainingTokens());
    }

    /**
     * Takes a chunk of an engine's stream.
     *
     * @param position how far the stream has come
     * @return the chunk, or nothing if the caller has it already
     */
    synchronized Mono<CompletionChunk> accept(
            CompletionChunk chunk, StreamPosition position, BackendServerId engine) {
        int start = position.nextIndex();
        int end = position.advanceTo(chunk.completionTokens());
        return switch (mProgress.accept(start, end)) {
            case DUPLICATE -> Mono.empty();
            case GAP -> Mono.error(broken(engine, "the stream skips tokens at " + start));
            case FORWARD -> {
                mText.append(chunk.text());
                mUsage.recordCompletion(end);
                mComplete = chunk.isLast();
                yield Mono.just(chunk);
            }
        };
    }

    synchronized Mono<CompletionChunk> requireComplete(BackendServerId engine) {
        return mComplete
                ? Mono.empty()
                : Mono.error(broken(engine, "the stream ended before the answer"));
    }

    private static BackendException broken(BackendServerId engine, String message) {
        return new BackendException(
                Step.DECODE, engine, BackendException.Kind.BROKEN, message, null);
    }
}
