package org.fuchsiaford.peer.message;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.fuchsiaford.backend.PoolId;
import org.fuchsiaford.bundle.BundleHead;
import org.fuchsiaford.bundle.Digest;
import org.fuchsiaford.fleet.HostPulse;
import org.fuchsiaford.fleet.ServerLoad;
import org.fuchsiaford.fleet.WaitingWork;
import org.fuchsiaford.host.HostId;
import org.fuchsiaford.host.Incarnation;
import org.fuchsiaford.host.PromiseReply;
import org.fuchsiaford.host.PromiseRequest;
import org.fuchsiaford.host.SlotId;
import org.fuchsiaford.host.SlotRecord;
import org.fuchsiaford.placement.PlacementDecision;
import org.fuchsiaford.placement.PlacementEvent;
import org.fuchsiaford.placement.PlacementRequest;
import org.fuchsiaford.quota.WorkspaceTotal;
import org.fuchsiaford.request.RequestId;
import org.fuchsiaford.workspace.GrantId;
import org.fuchsiaford.workspace.WorkspaceId;

/**
 * The messages between entry hosts. Each request has one kind of answer, named in its comment. All
 * are immutable.
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
    @JsonSubTypes.Type(value = PeerMessage.FetchPiece.class, name = "c"),
    @JsonSubTypes.Type(value = PeerMessage.PieceResponse.class, name = "C"),
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
    @JsonSubTypes.Type(value = PeerMessage.LoadUpdate.class, name = "o"),
    @JsonSubTypes.Type(value = PeerMessage.FetchStoreEntries.class, name = "e"),
    @JsonSubTypes.Type(value = PeerMessage.StoreEntriesResponse.class, name = "E"),
    @JsonSubTypes.Type(value = PeerMessage.Success.class, name = "D"),
    @JsonSubTypes.Type(value = PeerMessage.Failure.class, name = "X"),
})
public sealed interface PeerMessage {
    /** Asks for a promise; answered by {@link PromiseResponse}. */
    record RequestPromise(PromiseRequest request) implements PeerMessage {}

    /** Answers for the slot that the answering host holds, null if it holds none. */
    record PromiseResponse(SlotId member, PromiseReply reply) implements PeerMessage {}

    /** Tells of a head; answered by {@link Acknowledgement}. */
    record AnnounceHead(BundleHead head) implements PeerMessage {}

    /** Tells of a claim to a slot; answered by {@link Acknowledgement}. */
    record AnnounceSlotClaim(SlotId slot, Incarnation incarnation) implements PeerMessage {}

    /** Says which slot's holder has taken note, null if the note may not be counted. */
    record Acknowledgement(SlotId member) implements PeerMessage {}

    /** Asks for the head that the host acts on; answered by {@link HeadResponse}. */
    record FetchHead() implements PeerMessage {}

    /** The head that the host acts on, null if it has none. */
    record HeadResponse(BundleHead head) implements PeerMessage {}

    /** Asks for a piece of a bundle; answered by {@link PieceResponse}. */
    record FetchPiece(Digest digest) implements PeerMessage {}

    /** The content of a piece, null if the host does not have it. */
    record PieceResponse(byte[] bytes) implements PeerMessage {}

    /** Asks for the slot records that the host knows; answered by {@link SlotsResponse}. */
    record FetchSlots() implements PeerMessage {}

    /** Slot records, and which holders are live as far as the host knows. */
    record SlotsResponse(List<SlotRecord> records, List<SlotId> live) implements PeerMessage {}

    /** Asks a home slot for tokens; answered by {@link TokensResponse}. */
    record AcquireTokens(WorkspaceId workspace, GrantId grant, long tokens)
            implements PeerMessage {}

    /** Tokens given, at most those asked for, and what the bucket holds now. */
    record TokensResponse(long tokens, long levelTokens) implements PeerMessage {}

    /** Gives back unused tokens of a grant; answered by {@link Success}. */
    record ReturnTokens(WorkspaceId workspace, GrantId grant, long unusedTokens)
            implements PeerMessage {}

    /** Asks the keeper of a pool for engines; answered by {@link PlacementResponse}. */
    record RequestPlacement(PoolId pool, PlacementRequest request) implements PeerMessage {}

    /** The keeper's decision. */
    record PlacementResponse(PlacementDecision decision) implements PeerMessage {}

    /** Tells the keeper that a request needs no engines any more; answered by {@link Success}. */
    record CancelPlacement(PoolId pool, RequestId request) implements PeerMessage {}

    /** Tells the keeper how a placed request goes on; answered by {@link Success}. */
    record ReportPlacementEvent(PoolId pool, PlacementEvent event) implements PeerMessage {}

    /** Asks who answers at an address; answered by {@link IdentityResponse}. */
    record Identify() implements PeerMessage {}

    /** Who answers; slot and incarnation are null for a spare host. */
    record IdentityResponse(HostId host, SlotId slot, Incarnation incarnation)
            implements PeerMessage {}

    /** Says how a host is; answered by the {@link Heartbeat} of the other. */
    record Heartbeat(HostPulse pulse) implements PeerMessage {}

    /** What changes between two pulses and others must know soon; answered by {@link Success}. */
    record LoadUpdate(
            HostId host,
            List<ServerLoad> loads,
            List<WaitingWork> waiting,
            List<WorkspaceTotal> admitted)
            implements PeerMessage {}

    /** Asks for all store entries that the host knows; answered by {@link StoreEntriesResponse}. */
    record FetchStoreEntries() implements PeerMessage {}

    /** Store entries, and the store's revision up to which they are complete. */
    record StoreEntriesResponse(long revision, List<StoreEntryCopy> entries)
            implements PeerMessage {}

    /** One store entry as a host knows it. */
    record StoreEntryCopy(String key, byte[] value, long revision) {}

    /** The request has been carried out. */
    record Success() implements PeerMessage {}

    /** The request could not be carried out. */
    record Failure(String reason) implements PeerMessage {}
}
