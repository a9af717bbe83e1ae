package org.fuchsiaford.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.fuchsiaford.peer.message.PeerMessage;

/**
 * A message with the number that matches a response to its request. Immutable.
 *
 * @param id the number of the request, chosen by the caller and unique on the connection
 * @param answer whether the message is a response
 * @param message the message
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"id", "answer", "message"})
record PeerFrame(long id, boolean answer, PeerMessage message) {}
