package org.fuchsiaford.peer.message;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.fuchsiaford.backend.PoolId;
import org.fuchsiaford.bundle.BundleHead;
import org.fuchsiaford.bundle.Digest;
import org.fuchsiaford.fleet.HostHeartbeat;
import org.fuchsiaford.fleet.QueuedWork;
import org.fuchsiaford.fleet.ServerLoad;
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
    @JsonSubTypes.Type(value = PeerMessage.Promise.class, name = "p"),
    @JsonSubTypes.Type(value = PeerMessage.Promised.class, name = "P"),
    @JsonSubTypes.Type(value = PeerMessage.InformHead.class, name = "h"),
    @JsonSubTypes.Type(value = PeerMessage.InformSlot.class, name = "s"),
    @JsonSubTypes.Type(value = PeerMessage.Acknowledged.class, name = "A"),
    @JsonSubTypes.Type(value = PeerMessage.FetchHead.class, name = "f"),
    @JsonSubTypes.Type(value = PeerMessage.Head.class, name = "H"),
    @JsonSubTypes.Type(value = PeerMessage.FetchPiece.class, name = "c"),
    @JsonSubTypes.Type(value = PeerMessage.PieceContent.class, name = "C"),
    @JsonSubTypes.Type(value = PeerMessage.FetchSlots.class, name = "d"),
    @JsonSubTypes.Type(value = PeerMessage.Slots.class, name = "S"),
    @JsonSubTypes.Type(value = PeerMessage.Acquire.class, name = "t"),
    @JsonSubTypes.Type(value = PeerMessage.Granted.class, name = "T"),
    @JsonSubTypes.Type(value = PeerMessage.Settle.class, name = "u"),
    @JsonSubTypes.Type(value = PeerMessage.Place.class, name = "l"),
    @JsonSubTypes.Type(value = PeerMessage.Decided.class, name = "L"),
    @JsonSubTypes.Type(value = PeerMessage.Withdraw.class, name = "w"),
    @JsonSubTypes.Type(value = PeerMessage.Report.class, name = "r"),
    @JsonSubTypes.Type(value = PeerMessage.Identify.class, name = "i"),
    @JsonSubTypes.Type(value = PeerMessage.Identity.class, name = "I"),
    @JsonSubTypes.Type(value = PeerMessage.Pulse.class, name = "v"),
    @JsonSubTypes.Type(value = PeerMessage.Loads.class, name = "o"),
    @JsonSubTypes.Type(value = PeerMessage.FetchEntries.class, name = "e"),
    @JsonSubTypes.Type(value = PeerMessage.Entries.class, name = "E"),
    @JsonSubTypes.Type(value = PeerMessage.Done.class, name = "D"),
    @JsonSubTypes.Type(value = PeerMessage.Failed.class, name = "X"),
})
public sealed interface PeerMessage {
    /** Asks for a promise; answered by {@link Promised}. */
    record Promise(PromiseRequest request) implements PeerMessage {}

    /** Answers for the slot that the answering host holds, null if it holds none. */
    record Promised(SlotId member, PromiseReply reply) implements PeerMessage {}

    /** Tells of a head; answered by {@link Acknowledged}. */
    record InformHead(BundleHead head) implements PeerMessage {}

    /** Tells of a claim to a slot; answered by {@link Acknowledged}. */
    record InformSlot(SlotId slot, Incarnation incarnation) implements PeerMessage {}

    /** Says which slot's holder has taken note, null if the note may not be counted. */
    record Acknowledged(SlotId member) implements PeerMessage {}

    /** Asks for the head that the host acts on; answered by {@link Head}. */
    record FetchHead() implements PeerMessage {}

    /** The head that the host acts on, null if it has none. */
    record Head(BundleHead head) implements PeerMessage {}

    /** Asks for a piece of a bundle; answered by {@link PieceContent}. */
    record FetchPiece(Digest digest) implements PeerMessage {}

    /** The content of a piece, null if the host does not have it. */
    record PieceContent(byte[] bytes) implements PeerMessage {}

    /** Asks for the slot records that the host knows; answered by {@link Slots}. */
    record FetchSlots() implements PeerMessage {}

    /** Slot records, and which holders are live as far as the host knows. */
    record Slots(List<SlotRecord> records, List<SlotId> live) implements PeerMessage {}

    /** Asks a home slot for tokens; answered by {@link Granted}. */
    record Acquire(WorkspaceId workspace, GrantId grant, long tokens) implements PeerMessage {}

    /** Tokens given, at most those asked for, and what the bucket holds now. */
    record Granted(long tokens, long levelTokens) implements PeerMessage {}

    /** Gives back unused tokens of a grant; answered by {@link Done}. */
    record Settle(WorkspaceId workspace, GrantId grant, long unusedTokens) implements PeerMessage {}

    /** Asks the keeper of a pool for engines; answered by {@link Decided}. */
    record Place(PoolId pool, PlacementRequest request) implements PeerMessage {}

    /** The keeper's decision. */
    record Decided(PlacementDecision decision) implements PeerMessage {}

    /** Tells the keeper that a request needs no engines any more; answered by {@link Done}. */
    record Withdraw(PoolId pool, RequestId request) implements PeerMessage {}

    /** Tells the keeper how a placed request goes on; answered by {@link Done}. */
    record Report(PoolId pool, PlacementEvent event) implements PeerMessage {}

    /** Asks who answers at an address; answered by {@link Identity}. */
    record Identify() implements PeerMessage {}

    /** Who answers; slot and incarnation are null for a spare host. */
    record Identity(HostId host, SlotId slot, Incarnation incarnation) implements PeerMessage {}

    /** Says how a host is; answered by the {@link Pulse} of the other. */
    record Pulse(HostHeartbeat pulse) implements PeerMessage {}

    /** What changes between two pulses and others must know soon; answered by {@link Done}. */
    record Loads(
            HostId host,
            List<ServerLoad> loads,
            List<QueuedWork> waiting,
            List<WorkspaceTotal> admitted)
            implements PeerMessage {}

    /** Asks for all store entries that the host knows; answered by {@link Entries}. */
    record FetchEntries() implements PeerMessage {}

    /** Store entries, and the store's revision up to which they are complete. */
    record Entries(long revision, List<KnownEntry> entries) implements PeerMessage {}

    /** One store entry as a host knows it. */
    record KnownEntry(String key, byte[] value, long revision) {}

    /** The request has been carried out. */
    record Done() implements PeerMessage {}

    /** The request could not be carried out. */
    record Failed(String reason) implements PeerMessage {}
}
