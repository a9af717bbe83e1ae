package org.fuchsiaford.entry.gateway.forward;

import org.fuchsiaford.fleet.ServerLoad;
import org.fuchsiaford.registry.LiveServer;
import org.fuchsiaford.routing.TokenCounts;
import org.fuchsiaford.selection.LoadTracker;

/**
 * One request's part of the load of an engine. Invariant: it is taken away once, as it was added.
 * Thread-safe.
 */
final class Reservation {
    private final LoadTracker mLoads;
    private ServerLoad mHeld;

    private Reservation(LoadTracker loads, ServerLoad held) {
        mLoads = loads;
        mHeld = held;
        mLoads.add(held);
    }

    /** Reserves a seat and memory at a decode engine, and its time if it reads the prompt. */
    static Reservation decode(
            LoadTracker loads, LiveServer server, TokenCounts tokens, boolean readsPrompt) {
        long unread = readsPrompt ? tokens.promptTokens() : 0;
        return new Reservation(
                loads, new ServerLoad(server.id(), 1, tokens.plannedKvTokens(), unread));
    }

    /** Reserves the time of a prefill engine. */
    static Reservation prefill(LoadTracker loads, LiveServer server, TokenCounts tokens) {
        return new Reservation(
                loads,
                new ServerLoad(server.id(), 1, tokens.promptTokens(), tokens.promptTokens()));
    }

    /** Notes that the engine reads the prompt itself, since no other has read it. */
    synchronized void markUnread(long promptTokens) {
        if (mHeld != null && mHeld.unreadTokens() == 0) {
            ServerLoad unread = new ServerLoad(mHeld.server(), 0, 0, promptTokens);
            mLoads.add(unread);
            mHeld = mHeld.plus(unread);
        }
    }

    /** Notes that the prompt has been read. */
    synchronized void markRead() {
        if (mHeld != null && mHeld.unreadTokens() > 0) {
            mLoads.remove(new ServerLoad(mHeld.server(), 0, 0, mHeld.unreadTokens()));
            mHeld = new ServerLoad(mHeld.server(), mHeld.requests(), mHeld.tokens(), 0);
        }
    }

    /** Takes everything away that is still held. */
    synchronized void release() {
        if (mHeld != null) {
            mLoads.remove(mHeld);
            mHeld = null;
        }
    }
}
