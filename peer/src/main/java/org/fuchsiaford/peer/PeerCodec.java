package org.fuchsiaford.peer;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Encodes frames as MessagePack, each prefixed with its length in four bytes. Unknown fields are
 * ignored when decoding. Thread-safe, since it has no state.
 */
final class PeerCodec {
    private static final int LENGTH_FIELD_BYTES = 4;
    private static final int MAX_FRAME_BYTES = 2 * 1024 * 1024;

    /** The size of the messages that are kept until the other end reads, in bytes. */
    private static final long MAX_UNREAD_BYTES = 4L * 1024 * 1024;

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

    /** Fails with IOException if the bytes are not exactly one frame. */
    static PeerFrame decode(ByteBuf buffer) throws IOException {
        byte[] bytes = ByteBufUtil.getBytes(buffer);
        try {
            requireOneValue(bytes);
            return MAPPER.readValue(bytes, PeerFrame.class);
        } catch (MessagePackException e) {
            throw new IOException("not MessagePack", e);
        }
    }

    /**
     * Checks that all values are as long as they announce. The mapper allocates the announced size
     * of a value, up to 2 GB, before it notices that the bytes end.
     */
    private static void requireOneValue(byte[] bytes) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            unpacker.skipValue();
            if (unpacker.getTotalReadBytes() != bytes.length) {
                throw new IOException("a frame is not exactly one value");
            }
        }
    }

    /**
     * Returns whether the other end has read so little that no more is kept for it. Only hosts that
     * send on without reading get there.
     */
    static boolean isUnread(Channel channel) {
        return channel.bytesBeforeWritable() > MAX_UNREAD_BYTES;
    }
}
