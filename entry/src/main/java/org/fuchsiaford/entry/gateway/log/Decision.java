package org.fuchsiaford.entry.gateway.log;

import java.util.List;
import org.fuchsiaford.prompt.PromptPartId;

/**
 * An event of the decision log: a decision of this host, or a change of the state that decisions
 * are based on, with the inputs that led to it. All are immutable.
 *
 * <p>The names of the records and of their components are the event names and fields of the log.
 */
public sealed interface Decision {
    /**
     * An attempt is sent to a backend server. The loads are totals over all hosts; the revision is
     * that of the registry.
     *
     * @param serverVersion the version of the server's software, as the registry states it
     * @param serverStartedMillis the start of the server's run in Unix milliseconds, as the
     *     registry states it
     */
    record Placed(
            String request,
            String server,
            String serverVersion,
            long serverStartedMillis,
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
     * A request is queued for engine capacity; written by the host that schedules it. The tokens
     * are those of the requests queued there that can still meet their latency target.
     *
     * @param rank its place among the requests of its kind: {@code behind}, {@code even} or {@code
     *     over_share}
     */
    record Queued(String request, long waitingTokens, String rank, long estimatedWaitMillis)
            implements Decision {}

    /**
     * A plain request waits for a seat of a server, or was refused one; written by the host that
     * keeps the book of seats.
     *
     * @param state {@code waiting}, or why it was refused
     * @param millis the estimated wait, or the delay before a retry
     */
    record SeatAwaited(String request, String service, String state, long millis)
            implements Decision {}

    /** A stage order was sent to an engine. */
    record Ordered(String server, String stage, long fence, String outcome) implements Decision {}

    /**
     * The measured load calls for another number of prefill engines.
     *
     * @param server the engine that is to change next
     * @param stage the stage that it is to change to
     * @param wantedPrefillEngines the number that serves most
     * @param servedPerSecond the streams that start each second by the load, as it is now
     * @param wantedServedPerSecond the same after the change
     * @param apartFraction the fraction of the prompt tokens that must not be read beside running
     *     streams
     * @param kvTokens the mean KV cache planned for a request
     * @param runMillis the mean time from the first event of a stream to its end
     * @param prefillTokensPerMilli the speed of a prefill engine
     */
    record StageSplit(
            String service,
            String server,
            String stage,
            int prefillEngines,
            int decodeEngines,
            int wantedPrefillEngines,
            double servedPerSecond,
            double wantedServedPerSecond,
            double arrivalsPerSecond,
            long promptTokens,
            double apartFraction,
            long kvTokens,
            long runMillis,
            double prefillTokensPerMilli)
            implements Decision {}

    /** This host acquired or released the order lease, or a check for needed orders failed. */
    record OrderHolder(String state, long fence, String reason) implements Decision {}

    /**
     * An attempt failed.
     *
     * @param promptParts the parts of the prompt and the fingerprint of the request if the server
     *     broke the response off; else null
     * @param next the step that follows
     * @param retryObstacle why there is no other attempt; null if there is one or none is needed
     * @param leftMillis the time until the deadline of the request
     * @param closedBy whether the server or this host ended the attempt before its response was
     *     complete; null if neither did
     * @param receivedBytes how much of the body of a stream had been received; null if the response
     *     is no stream
     */
    record AttemptFailed(
            String request,
            String server,
            String outcome,
            String reason,
            List<PromptPartId> promptParts,
            String next,
            String retryObstacle,
            long leftMillis,
            String closedBy,
            Long receivedBytes)
            implements Decision {}

    /**
     * A request that a server was working on when this host ended its requests to stop.
     *
     * @param sentAfterStopMillis how long after the stop signal the request was first sent;
     *     negative if before it
     * @param longestMillis the longest duration of requests of the route lately; null if too few
     *     are known
     * @param receivedBytes how much of the body of a stream had been received; null if the response
     *     is no stream
     * @param silentMillis how long the server had sent nothing
     * @param leftMillis the time until the deadline of the request
     */
    record RequestCut(
            String request,
            String route,
            String server,
            long sentAfterStopMillis,
            Long longestMillis,
            Long receivedBytes,
            long silentMillis,
            long leftMillis)
            implements Decision {}

    /**
     * An engine was asked whether it is the run that the registry describes.
     *
     * @param registeredMillis the start of the registered run in Unix milliseconds
     * @param statedMillis the start of its run that the engine stated; null if it stated none
     */
    record EngineAsked(String server, long registeredMillis, Long statedMillis, String outcome)
            implements Decision {}

    /** A stream is resumed at another server after the given event. */
    record Resumed(String request, String afterEvent) implements Decision {}

    /**
     * A caller takes up a stream that has broken off.
     *
     * @param resumes the request that brought the first event of the stream; null if not stated
     * @param afterEvent the last event that the caller has received
     */
    record TakenUp(String request, String resumes, String afterEvent) implements Decision {}

    /**
     * At which software version a taken-up stream goes on.
     *
     * @param version the version that began it; null if it is not known
     * @param settled whether asking again will not give another answer
     */
    record OriginFound(String request, String version, boolean settled) implements Decision {}

    /**
     * The software versions of a service that serve streams were written to the store.
     *
     * @param outcome recorded, outdated if another host has changed them, or the failure
     */
    record VersionsRecorded(String service, List<String> versions, String outcome)
            implements Decision {}

    /** Records of where streams began could not be written or read. */
    record OriginRecordsFailed(String operation, String reason) implements Decision {}

    /**
     * A request has received its final response, or its caller has disconnected.
     *
     * @param framing how the backend server marked the end of the response
     * @param insideEvent true if the response is a stream that ended inside an event; else null
     * @param afterStopMillis how long after the stop signal the request arrived; null if before it
     * @param longestGapMillis the longest time between events of a stream, as this host received
     *     them; null if the response is no stream of two events or more
     * @param longestGapEndMillis when that time ended, from the arrival of the request
     */
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
            long tableVersion,
            String framing,
            Boolean insideEvent,
            Long afterStopMillis,
            Long longestGapMillis,
            Long longestGapEndMillis)
            implements Decision {}

    /**
     * The quarantine of prompts that crash engines has changed.
     *
     * @param state started, adopted from another host, trial of one request, or ended
     * @param strikes how often requests with the parts have been admitted again and crashed an
     *     engine
     * @param millis how long requests with all of the parts are refused
     */
    record PromptQuarantined(String state, List<PromptPartId> promptParts, int strikes, long millis)
            implements Decision {}

    /** This host applied a new version of the routing table. */
    record TableInForce(long version, long revision) implements Decision {}

    /**
     * The registration of a backend server was added, changed or removed.
     *
     * @param startedMillis the start of its run in Unix milliseconds; null if it is gone
     */
    record ServerSeen(
            String server,
            String service,
            String state,
            String stage,
            String version,
            Long startedMillis,
            long revision)
            implements Decision {}

    /**
     * The evacuation of a failure domain has changed: no new request is sent to its servers until
     * it has ended.
     *
     * @param state begun, ended, or kept although a restored store lacks it
     */
    record Evacuation(String failureDomain, String state, long revision) implements Decision {}

    /**
     * A backend server has said that it is leaving, that it wants no requests from this host, or
     * how many it takes from all hosts.
     *
     * @param notice leaving, retry-after, limit, or limit-ended
     * @param source the request whose response said so, or the host that reported it
     * @param millis how long the server wants no requests; zero for other notices
     * @param requestsPerSecond the limit of the server; null for other notices
     */
    record ServerNoticed(
            String server, String notice, String source, long millis, Double requestsPerSecond)
            implements Decision {
        /** Creates the notice of a limit, which has ended if it is infinite. */
        public static ServerNoticed limit(String server, String source, double requestsPerSecond) {
            return Double.isInfinite(requestsPerSecond)
                    ? new ServerNoticed(server, "limit-ended", source, 0, null)
                    : new ServerNoticed(server, "limit", source, 0, requestsPerSecond);
        }
    }

    /**
     * A backend server counts as cold, so that all hosts together send it few requests for a while.
     *
     * @param source started, registered, unreachable, or evacuated if this host found it so; or the
     *     host that reported it
     * @param millis how long it is still cold
     * @param requestsPerSecond what all hosts together may send it
     */
    record ServerCold(
            String server, String service, String source, long millis, double requestsPerSecond)
            implements Decision {}

    /**
     * The pace at which a server that has started or recovered is sent requests is being found, as
     * a coordinator decides, or is no longer.
     *
     * @param state started or ended
     */
    record ServerPaced(String server, String service, String state) implements Decision {}

    /**
     * A store entry could not be decoded. An earlier routing table stays in force; a backend server
     * is removed from the registry.
     */
    record EntryUnreadable(String key, long revision, String reason) implements Decision {}

    /** Another host became reachable or stopped, or copying its state failed. */
    record PeerSeen(String host, String address, String state) implements Decision {}

    /** Store entries were copied from another host that had a later revision. */
    record StateCopied(String host, long fromRevision, long toRevision) implements Decision {}

    /** The share of each limit that this host and the hosts it can reach may use. */
    record LimitShare(double share, int reachableHosts, int presentHosts) implements Decision {}

    /** The coordinator that this host asks; null if it reaches none. */
    record Coordinator(String coordinator) implements Decision {}

    /**
     * A coordinator did not place a request, since it did not respond or named an engine that this
     * host does not know; the next one is asked, or this host decides if that is null.
     */
    record SchedulerChanged(String request, String from, String to) implements Decision {}

    /** A request was rejected before its head could be read, so that it has no ID. */
    record RequestRejected(String caller, int status, String reason) implements Decision {}

    /** The store became unavailable or available, was restored, or a watch of it ended. */
    record StoreSeen(String state, String reason) implements Decision {}

    /** The process started, is stopping or has stopped, or its settings file was checked again. */
    record Lifecycle(String state, String detail) implements Decision {}

    /** Lines omitted by the rate limit or a full queue, with their number for each kind. */
    record Dropped(List<String> kinds) implements Decision {}
}
