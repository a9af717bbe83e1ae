package org.fuchsiaford.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.fuchsiaford.peer.message.PeerMessage;

/**
 * A message with what matches answers to requests. Immutable.
 *
 * @param id chosen by the caller, unique on its connection
 * @param answer whether this is an answer
 * @param message the message
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"id", "answer", "message"})
record PeerFrame(long id, boolean answer, PeerMessage message) {}
