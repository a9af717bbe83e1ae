package org.fuchsiaford.peer;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Encodes frames as MessagePack, each prefixed with its length in four bytes. Unknown fields are
 * ignored when decoding. Thread-safe, since it has no state.
 */
final class PeerCodec {
    private static final int LENGTH_FIELD_BYTES = 4;
    private static final int MAX_FRAME_BYTES = 2 * 1024 * 1024;
    private static final ObjectMapper MAPPER =
            new MessagePackMapper()
                    .setSerializationInclusion(JsonInclude.Include.NON_NULL)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private PeerCodec() {}

    static void addFrameHandlers(ChannelPipeline pipeline) {
        pipeline.addFirst(
                "length-decoder",
                new LengthFieldBasedFrameDecoder(
                        MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES));
        pipeline.addFirst("length-prepender", new LengthFieldPrepender(LENGTH_FIELD_BYTES));
    }

    static ByteBuf encode(PeerFrame frame) throws IOException {
        return Unpooled.wrappedBuffer(MAPPER.writeValueAsBytes(frame));
    }

    static PeerFrame decode(ByteBuf buffer) throws IOException {
        return MAPPER.readValue(ByteBufUtil.getBytes(buffer), PeerFrame.class);
    }
}
