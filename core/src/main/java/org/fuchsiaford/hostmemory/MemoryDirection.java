package org.fuchsiaford.hostmemory;

import java.util.Locale;

/** What the bytes that a host holds are part of. */
public enum MemoryDirection {
    /** Heads of requests, complete or not. */
    HEADS,
    /** Bodies of requests that are incomplete. */
    ARRIVING,
    /** Complete bodies of requests that are not answered. */
    WAITING,
    /** Responses of servers that are kept until they are complete. */
    RESPONSES,
    /** Bytes of responses, streams among them, that their callers have not read. */
    OUTBOUND;

    /** Returns the name in metrics and logs. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns whether the bytes belong to a request that no server can be running. */
    boolean isBeforeRun() {
        return this == HEADS || this == ARRIVING;
    }
}
