package org.fuchsiaford.entry.gateway.forward;

import org.fuchsiaford.fleet.ServerLoad;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.routing.TokenCounts;
import org.fuchsiaford.selection.LoadTracker;

/**
 * The load that one request adds to an engine.
 *
 * <p>Invariant: exactly the added load is removed, once. Thread-safe.
 */
final class Reservation {
    private final LoadTracker mLoads;
    private ServerLoad mReserved;

    private Reservation(LoadTracker loads, ServerLoad reserved) {
        mLoads = loads;
        mReserved = reserved;
        mLoads.add(reserved);
    }

    /**
     * Reserves a seat and KV cache on a decode engine.
     *
     * @param prefillsPrompt whether the engine prefills the prompt itself, which adds the prompt to
     *     its prefill backlog
     */
    static Reservation decode(
            LoadTracker loads, LiveServer server, TokenCounts tokens, boolean prefillsPrompt) {
        long backlog = prefillsPrompt ? tokens.promptTokens() : 0;
        return new Reservation(
                loads, new ServerLoad(server.id(), 1, tokens.plannedKvTokens(), backlog));
    }

    /** Reserves a seat, KV cache and prefill time for a prompt on a prefill engine. */
    static Reservation prefill(LoadTracker loads, LiveServer server, TokenCounts tokens) {
        return new Reservation(
                loads,
                new ServerLoad(server.id(), 1, tokens.promptTokens(), tokens.promptTokens()));
    }

    /** Adds the prompt to the prefill backlog, since no other engine has prefilled it. */
    synchronized void addPrefillBacklog(long promptTokens) {
        if (mReserved != null && mReserved.unreadTokens() == 0) {
            ServerLoad backlog = new ServerLoad(mReserved.server(), 0, 0, promptTokens);
            mLoads.add(backlog);
            mReserved = mReserved.plus(backlog);
        }
    }

    /** Removes the prompt from the prefill backlog, since it has been prefilled. */
    synchronized void removePrefillBacklog() {
        if (mReserved != null && mReserved.unreadTokens() > 0) {
            mLoads.remove(new ServerLoad(mReserved.server(), 0, 0, mReserved.unreadTokens()));
            mReserved =
                    new ServerLoad(mReserved.server(), mReserved.requests(), mReserved.tokens(), 0);
        }
    }

    /** Removes the remaining load. Later calls have no effect. */
    synchronized void release() {
        if (mReserved != null) {
            mLoads.remove(mReserved);
            mReserved = null;
        }
    }
}
