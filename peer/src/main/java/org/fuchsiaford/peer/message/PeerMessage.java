package org.fuchsiaford.peer.message;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.fuchsiaford.backend.BackendServerId;
import org.fuchsiaford.backend.PoolId;
import org.fuchsiaford.backend.ServiceId;
import org.fuchsiaford.bundle.BundleHead;
import org.fuchsiaford.bundle.Digest;
import org.fuchsiaford.bundle.FailureDomainId;
import org.fuchsiaford.fairness.Kind;
import org.fuchsiaford.fleet.FleetSummary;
import org.fuchsiaford.fleet.HostHeartbeat;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.host.Incarnation;
import org.fuchsiaford.host.PromiseReply;
import org.fuchsiaford.host.PromiseRequest;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.host.SlotRecord;
import org.fuchsiaford.placement.PlacementDecision;
import org.fuchsiaford.placement.PlacementEvent;
import org.fuchsiaford.placement.PlacementRequest;
import org.fuchsiaford.prompt.PromptPartId;
import org.fuchsiaford.registry.SoftwareVersion;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.routing.TokenCounts;
import org.fuchsiaford.routing.TokenQuota;
import org.fuchsiaford.selection.EngineEvent;
import org.fuchsiaford.selection.RequestAttributes;
import org.fuchsiaford.serverlimit.ColdServer;
import org.fuchsiaford.serverlimit.NamedLimit;
import org.fuchsiaford.stream.StreamKey;
import org.fuchsiaford.workspace.GrantId;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * The messages between entry hosts. Each request has one type of response, named in its comment, or
 * {@link Failure}. All are immutable, except that byte arrays are not copied.
 *
 * <p>The tags and the names of the components are the wire format.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({
    @JsonSubTypes.Type(value = PeerMessage.RequestPromise.class, name = "p"),
    @JsonSubTypes.Type(value = PeerMessage.PromiseResponse.class, name = "P"),
    @JsonSubTypes.Type(value = PeerMessage.AnnounceHead.class, name = "h"),
    @JsonSubTypes.Type(value = PeerMessage.AnnounceSlotClaim.class, name = "s"),
    @JsonSubTypes.Type(value = PeerMessage.Acknowledgement.class, name = "A"),
    @JsonSubTypes.Type(value = PeerMessage.FetchHead.class, name = "f"),
    @JsonSubTypes.Type(value = PeerMessage.HeadResponse.class, name = "H"),
    @JsonSubTypes.Type(value = PeerMessage.FetchBundleChunk.class, name = "c"),
    @JsonSubTypes.Type(value = PeerMessage.BundleChunkResponse.class, name = "C"),
    @JsonSubTypes.Type(value = PeerMessage.FetchSlots.class, name = "d"),
    @JsonSubTypes.Type(value = PeerMessage.SlotsResponse.class, name = "S"),
    @JsonSubTypes.Type(value = PeerMessage.AcquireTokens.class, name = "t"),
    @JsonSubTypes.Type(value = PeerMessage.TokensResponse.class, name = "T"),
    @JsonSubTypes.Type(value = PeerMessage.ReturnTokens.class, name = "u"),
    @JsonSubTypes.Type(value = PeerMessage.RequestPlacement.class, name = "l"),
    @JsonSubTypes.Type(value = PeerMessage.PlacementResponse.class, name = "L"),
    @JsonSubTypes.Type(value = PeerMessage.CancelPlacement.class, name = "w"),
    @JsonSubTypes.Type(value = PeerMessage.ReportPlacementEvent.class, name = "r"),
    @JsonSubTypes.Type(value = PeerMessage.Identify.class, name = "i"),
    @JsonSubTypes.Type(value = PeerMessage.IdentityResponse.class, name = "I"),
    @JsonSubTypes.Type(value = PeerMessage.Heartbeat.class, name = "v"),
    @JsonSubTypes.Type(value = PeerMessage.FleetResponse.class, name = "V"),
    @JsonSubTypes.Type(value = PeerMessage.AcquireEngines.class, name = "g"),
    @JsonSubTypes.Type(value = PeerMessage.EnginesResponse.class, name = "G"),
    @JsonSubTypes.Type(value = PeerMessage.ReportEngineEvents.class, name = "n"),
    @JsonSubTypes.Type(value = PeerMessage.ChargeLimit.class, name = "q"),
    @JsonSubTypes.Type(value = PeerMessage.LimitResponse.class, name = "Q"),
    @JsonSubTypes.Type(value = PeerMessage.RefundLimit.class, name = "b"),
    @JsonSubTypes.Type(value = PeerMessage.AcquirePermit.class, name = "a"),
    @JsonSubTypes.Type(value = PeerMessage.AdmitPrompt.class, name = "j"),
    @JsonSubTypes.Type(value = PeerMessage.ReportCrash.class, name = "k"),
    @JsonSubTypes.Type(value = PeerMessage.ReportSurvival.class, name = "y"),
    @JsonSubTypes.Type(value = PeerMessage.FindOrigin.class, name = "o"),
    @JsonSubTypes.Type(value = PeerMessage.OriginResponse.class, name = "O"),
    @JsonSubTypes.Type(value = PeerMessage.FetchStoreEntries.class, name = "e"),
    @JsonSubTypes.Type(value = PeerMessage.StoreEntriesResponse.class, name = "E"),
    @JsonSubTypes.Type(value = PeerMessage.AcquireSeat.class, name = "z"),
    @JsonSubTypes.Type(value = PeerMessage.Success.class, name = "D"),
    @JsonSubTypes.Type(value = PeerMessage.Failure.class, name = "X"),
})
public sealed interface PeerMessage {
    /** Asks for a promise towards a serving lease; answered by {@link PromiseResponse}. */
    record RequestPromise(PromiseRequest request) implements PeerMessage {}

    /** The reply, and the slot for which the responding host gives it, null if it holds none. */
    record PromiseResponse(SlotId member, PromiseReply reply) implements PeerMessage {}

    /** Announces a bundle head; answered by {@link Acknowledgement}. */
    record AnnounceHead(BundleHead head) implements PeerMessage {}

    /** Announces a claim to a slot; answered by {@link Acknowledgement}. */
    record AnnounceSlotClaim(SlotId slot, Incarnation incarnation) implements PeerMessage {}

    /** The slot whose holder has recorded the announcement, null if it must not be counted. */
    record Acknowledgement(SlotId member) implements PeerMessage {}

    /** Asks for the bundle head in use at the host; answered by {@link HeadResponse}. */
    record FetchHead() implements PeerMessage {}

    /** The bundle head in use at the host, null if it has none. */
    record HeadResponse(BundleHead head) implements PeerMessage {}

    /** Asks for a bundle chunk by its digest; answered by {@link BundleChunkResponse}. */
    record FetchBundleChunk(Digest digest) implements PeerMessage {}

    /** The bytes of a bundle chunk, null if the host does not have it. */
    record BundleChunkResponse(byte[] bytes) implements PeerMessage {}

    /** Asks for the slot records known to the host; answered by {@link SlotsResponse}. */
    record FetchSlots() implements PeerMessage {}

    /** The slot records known to the host, and the slots whose holders it considers live. */
    record SlotsResponse(List<SlotRecord> records, List<SlotId> live) implements PeerMessage {}

    /**
     * Asks the holder of a home slot for tokens of a workspace; answered by {@link TokensResponse}.
     */
    record AcquireTokens(WorkspaceId workspace, GrantId grant, long tokens)
            implements PeerMessage {}

    /** The tokens granted, at most those requested, and the tokens left in the bucket. */
    record TokensResponse(long tokens, long levelTokens) implements PeerMessage {}

    /** Returns the unused tokens of a grant; answered by {@link Success}. */
    record ReturnTokens(WorkspaceId workspace, GrantId grant, long unusedTokens)
            implements PeerMessage {}

    /** Asks the host that schedules a pool for engines; answered by {@link PlacementResponse}. */
    record RequestPlacement(PoolId pool, PlacementRequest request) implements PeerMessage {}

    /** The decision of the host that schedules the pool. */
    record PlacementResponse(PlacementDecision decision) implements PeerMessage {}

    /**
     * Cancels the placement of a request that no longer needs engines; answered by {@link Success}.
     */
    record CancelPlacement(PoolId pool, RequestId request) implements PeerMessage {}

    /** Reports the progress of a placed request; answered by {@link Success}. */
    record ReportPlacementEvent(PoolId pool, PlacementEvent event) implements PeerMessage {}

    /** Asks for the identity of the host at an address; answered by {@link IdentityResponse}. */
    record Identify() implements PeerMessage {}

    /** The identity of a host; slot and incarnation are null if it holds no slot. */
    record IdentityResponse(HostId host, SlotId slot, Incarnation incarnation)
            implements PeerMessage {}

    /**
     * Reports the state of a host to a coordinator; answered by {@link FleetResponse}.
     *
     * @param wantsLoads whether the response should contain the loads of the fleet
     */
    record Heartbeat(HostHeartbeat pulse, boolean wantsLoads) implements PeerMessage {}

    /**
     * The state of the fleet as known to a coordinator.
     *
     * @param grantsSeats whether it answers {@link AcquireSeat}, as builds before this one do not
     */
    record FleetResponse(FleetSummary summary, boolean grantsSeats) implements PeerMessage {}

    /**
     * Asks a coordinator for engines; answered by {@link EnginesResponse}. Times are relative,
     * since hosts have no common clock.
     *
     * @param version the software version that began the stream; null if it has not begun
     * @param poll whether the request was sent before and is still waiting
     * @param attributes what else the engines are chosen by; null from hosts of an earlier build
     */
    record AcquireEngines(
            HostId host,
            FailureDomainId domain,
            RequestId request,
            ServiceId service,
            TokenCounts tokens,
            List<PromptPartId> promptParts,
            int priority,
            List<BackendServerId> failed,
            SoftwareVersion version,
            long targetMillis,
            long ageMillis,
            long eventLeftMillis,
            long leftMillis,
            boolean poll,
            RequestAttributes attributes)
            implements PeerMessage {}

    /**
     * The engines granted to a request, or the reason why none are.
     *
     * @param decode the decode engine, null unless granted
     * @param prefill the prefill engine, null if the decode engine reads the prompt itself
     * @param millis the estimated wait, or the delay before a retry
     * @param reason why the request was refused, null otherwise
     */
    record EnginesResponse(
            State state,
            BackendServerId decode,
            BackendServerId prefill,
            long millis,
            String reason)
            implements PeerMessage {
        /** The state of a request for engines. */
        public enum State {
            /** The engines are reserved for the request. */
            GRANTED,
            /** The request waits for capacity; ask again. */
            WAITING,
            /** The request cannot be served in time. */
            REFUSED,
            /** The coordinator does not know the request; send it anew. */
            UNKNOWN
        }
    }

    /** Reports events to the coordinator that granted engines; answered by {@link Success}. */
    record ReportEngineEvents(HostId host, List<EngineEvent> events) implements PeerMessage {}

    /** Asks a coordinator for tokens of a rate limit; answered by {@link LimitResponse}. */
    record ChargeLimit(HostId host, WorkspaceId workspace, TokenQuota quota, long tokens)
            implements PeerMessage {}

    /**
     * The decision on a charge or permit.
     *
     * @param waitNanos zero if granted, otherwise the time until it may be
     * @param detail the state behind the decision; null if there is nothing to tell
     */
    record LimitResponse(long waitNanos, String detail) implements PeerMessage {}

    /** Returns tokens charged for a request that has not run; answered by {@link Success}. */
    record RefundLimit(HostId host, WorkspaceId workspace, long tokens) implements PeerMessage {}

    /**
     * Asks a coordinator to permit a request to a server that is limited or may be; answered by
     * {@link LimitResponse}.
     *
     * @param limit the server and its limit as known to the sender
     * @param cold null if the server is not cold as far as the sender knows
     */
    record AcquirePermit(HostId host, NamedLimit limit, ColdServer cold) implements PeerMessage {}

    /**
     * Asks a coordinator for a seat of a plain server; answered by {@link EnginesResponse}, with
     * the server as the decode engine. Sent only to a coordinator that grants seats.
     *
     * @param request the id of the attempt of the request
     * @param workspace its workspace; null if it has none
     * @param excluded the servers that must not serve it
     * @param targetLeftMillis the time until its answer is late, in milliseconds
     * @param leftMillis the time until its deadline, in milliseconds
     * @param poll whether it was sent before
     */
    record AcquireSeat(
            HostId host,
            FailureDomainId domain,
            RequestId request,
            ServiceId service,
            Kind kind,
            WorkspaceId workspace,
            List<BackendServerId> excluded,
            long targetLeftMillis,
            long leftMillis,
            boolean poll)
            implements PeerMessage {}

    /**
     * Asks a coordinator whether a plain request in quarantine may be sent again; answered by
     * {@link LimitResponse}.
     */
    record AdmitPrompt(HostId host, List<PromptPartId> promptParts) implements PeerMessage {}

    /**
     * Reports that a plain server broke off the response to a request, maybe by a crash; answered
     * by {@link Success}.
     *
     * @param survivedMillis how long ago the host had the last response to the same request;
     *     negative if it knows of none
     */
    record ReportCrash(
            HostId host,
            BackendServerId server,
            List<PromptPartId> promptParts,
            long survivedMillis)
            implements PeerMessage {}

    /**
     * Reports that a plain server has responded to a request in quarantine; answered by {@link
     * Success}.
     *
     * @param ageMillis how long ago it was sent
     */
    record ReportSurvival(HostId host, List<PromptPartId> promptParts, long ageMillis)
            implements PeerMessage {}

    /** Asks a coordinator where a stream began; answered by {@link OriginResponse}. */
    record FindOrigin(HostId host, ServiceId service, StreamKey stream) implements PeerMessage {}

    /**
     * The software version that began a stream; null if it is not known.
     *
     * @param settled whether asking again will not give another answer
     */
    record OriginResponse(SoftwareVersion version, boolean settled) implements PeerMessage {}

    /** Asks for all store entries known to the host; answered by {@link StoreEntriesResponse}. */
    record FetchStoreEntries() implements PeerMessage {}

    /**
     * Store entries, and the store revision up to which they are complete.
     *
     * @param era the era of the revision; zero if the sender does not know eras
     */
    record StoreEntriesResponse(long revision, List<StoreEntryCopy> entries, long era)
            implements PeerMessage {}

    /**
     * A store entry as known to a host; the revision is that of its last change.
     *
     * @param era the era of the revision; zero if the sender does not know eras
     */
    record StoreEntryCopy(String key, byte[] value, long revision, long era) {}

    /** Confirms that the request has been carried out. */
    record Success() implements PeerMessage {}

    /** Reports that the request could not be carried out. */
    record Failure(String reason) implements PeerMessage {}
}
