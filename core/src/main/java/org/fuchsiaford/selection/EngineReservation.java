package org.fuchsiaford.selection;

import org.fuchsiaford.fleet.ServerLoad;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.routing.TokenCounts;

/**
 * The load that one request adds to the engines of its plan.
 *
 * <p>Invariant: exactly the added load is removed, once. Thread-safe.
 */
public final class EngineReservation {
    private final LoadSink mLoads;
    private final TokenCounts mTokens;
    private ServerLoad mDecode;
    private ServerLoad mPrefill;

    /** Reserves a seat, KV cache and prefill time on the engines of a plan. */
    public EngineReservation(LoadSink loads, EnginePlan plan, TokenCounts tokens) {
        mLoads = loads;
        mTokens = tokens;
        long decodeBacklog = plan.prefill().isEmpty() ? tokens.promptTokens() : 0;
        mDecode = added(plan.decode(), tokens.plannedKvTokens(), decodeBacklog);
        mPrefill =
                plan.prefill()
                        .map(engine -> added(engine, tokens.promptTokens(), tokens.promptTokens()))
                        .orElse(null);
    }

    private ServerLoad added(LiveServer engine, long tokens, long unreadTokens) {
        ServerLoad load = new ServerLoad(engine.id(), 1, tokens, unreadTokens);
        mLoads.add(load);
        return load;
    }

    /** Removes the load of the prefill engine, since its call has ended or is not needed. */
    public synchronized void endPrefill() {
        if (mPrefill != null) {
            mLoads.remove(mPrefill);
            mPrefill = null;
        }
    }

    /**
     * Removes the load of the prefill engine and adds the prompt to the prefill backlog of the
     * decode engine, since no other engine has prefilled it.
     */
    public synchronized void leavePromptToDecode() {
        endPrefill();
        if (mDecode != null && mDecode.unreadTokens() == 0) {
            ServerLoad backlog = new ServerLoad(mDecode.server(), 0, 0, mTokens.promptTokens());
            mLoads.add(backlog);
            mDecode = mDecode.plus(backlog);
        }
    }

    /** Removes the prompt from the prefill backlog, since it has been prefilled. */
    public synchronized void endPrefillBacklog() {
        if (mDecode != null && mDecode.unreadTokens() > 0) {
            mLoads.remove(new ServerLoad(mDecode.server(), 0, 0, mDecode.unreadTokens()));
            mDecode = new ServerLoad(mDecode.server(), mDecode.requests(), mDecode.tokens(), 0);
        }
    }

    /** Removes the remaining load. Later calls have no effect. */
    public synchronized void release() {
        endPrefill();
        if (mDecode != null) {
            mLoads.remove(mDecode);
            mDecode = null;
        }
    }
}
