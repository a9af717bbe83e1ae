package org.fuchsiaford.entry.gateway.log;

import java.util.List;

/**
 * What a host decided or came to believe, with the inputs that decided it. One record a kind; the
 * log renders all of them the same way. All are immutable.
 */
public sealed interface Decision {
    /**
     * An attempt goes to a backend server; loads are over all hosts, revision is the registry's.
     */
    record Placed(
            String request,
            String server,
            String prefillServer,
            int attempt,
            int serverRequests,
            long serverTokens,
            long promptTokens,
            long answerTokens,
            long leftMillis,
            long registryRevision)
            implements Decision {}

    /**
     * A request waits for room at an engine; tokens are those that wait here and can be on time.
     */
    record Queued(String request, long waitingTokens, long estimatedWaitMillis)
            implements Decision {}

    /** An order was sent to an engine. */
    record Ordered(String server, String stage, long fence, String outcome) implements Decision {}

    /** This host got or lost the right to give orders. */
    record OrderHolder(String state, long fence, String reason) implements Decision {}

    /** An attempt did not bring the answer, and what follows. */
    record AttemptFailed(String request, String server, String outcome, String reason, String next)
            implements Decision {}

    /** A stream goes on at another server after an event. */
    record Resumed(String request, String afterEvent) implements Decision {}

    /** A request has its final answer, or its caller has gone. */
    record Ended(
            String request,
            String route,
            String workspace,
            String outcome,
            int status,
            String reason,
            int sends,
            long elapsedMillis,
            long firstByteMillis,
            long retryAfterMillis,
            long tableVersion)
            implements Decision {}

    /** A declaration is in force at this host. */
    record TableInForce(long version, long revision) implements Decision {}

    /** What the host believes of a backend server has changed. */
    record ServerSeen(String server, String service, String state, String stage, long revision)
            implements Decision {}

    /** An entry of the store cannot be used; what was known before stays. */
    record EntryUnreadable(String key, long revision, String reason) implements Decision {}

    /** Another host came into touch or fell out of it. */
    record PeerSeen(String host, String address, String state) implements Decision {}

    /** State was taken from another host, since it knew more. */
    record StateCopied(String host, long fromRevision, long toRevision) implements Decision {}

    /** The part of every limit that this host and those it hears may use. */
    record LimitShare(double share, int reachableHosts, int presentHosts) implements Decision {}

    /** The store was lost or regained. */
    record StoreSeen(String state, String reason) implements Decision {}

    /** The process started, stops, or took new settings. */
    record Lifecycle(String state, String detail) implements Decision {}

    /** Lines left out in the last second, by kind. */
    record Dropped(List<String> kinds) implements Decision {}
}
