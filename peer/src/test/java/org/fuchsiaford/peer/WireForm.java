package org.fuchsiaford.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.util.List;
import org.fuchsiaford.peer.message.PeerMessage;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * A message and its wire form, as JSON.
 *
 * @param json the form, with the names and the order of its fields
 */
record WireForm(String json, PeerMessage message) {
    private static final ObjectMapper MESSAGE_PACK = new MessagePackMapper();
    private static final JsonMapper JSON = new JsonMapper();

    /** Returns the frame in MessagePack, in which byte arrays are binary and not base 64. */
    byte[] bytes() throws IOException {
        var tree = JSON.readTree("[7,true," + json + "]");
        for (String field : List.of("bytes", "value")) {
            for (JsonNode parent : tree.findParents(field)) {
                ((ObjectNode) parent).put(field, parent.path(field).binaryValue());
            }
        }
        return MESSAGE_PACK.writeValueAsBytes(tree);
    }

    /** Reads a message from its form, with single quotes. */
    static <T extends PeerMessage> T read(String json, Class<T> type) throws IOException {
        var bytes = new WireForm(json.replace('\'', '"'), null).bytes();
        return type.cast(PeerCodec.decode(Unpooled.wrappedBuffer(bytes)).message());
    }
}
