package org.fuchsiaford.entry.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Ends a connection whose first request begins and whose head does not come whole in time, so that
 * slow senders cannot use up connections. Later requests are bounded by the idle limit.
 *
 * <p>Invariant: once a whole head has come the handler is gone. Used by one connection's event
 * loop.
 */
final class FirstHeadDeadline extends ChannelInboundHandlerAdapter {
    private static final String TOO_SLOW =
            "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    private static final int HEAD_END_LENGTH = 4;
    private static final byte[] HEAD_END = {'\r', '\n', '\r', '\n'};

    private final LongSupplier mLimitMillis;
    private Future<?> mTimer;
    private int mMatched;

    /**
     * Creates a handler.
     *
     * @param limitMillis the time from the first byte to the end of the head, in milliseconds
     */
    FirstHeadDeadline(LongSupplier limitMillis) {
        mLimitMillis = limitMillis;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes) {
            if (mTimer == null) {
                mTimer =
                        context.executor()
                                .schedule(
                                        () -> end(context),
                                        mLimitMillis.getAsLong(),
                                        TimeUnit.MILLISECONDS);
            }
            bytes.forEachByte(
                    value -> {
                        mMatched = value == HEAD_END[mMatched] ? mMatched + 1 : restart(value);
                        return mMatched < HEAD_END_LENGTH;
                    });
        }
        if (mMatched == HEAD_END_LENGTH) {
            mTimer.cancel(false);
            context.pipeline().remove(this);
        }
        context.fireChannelRead(message);
    }

    private static int restart(byte value) {
        return value == HEAD_END[0] ? 1 : 0;
    }

    private static void end(ChannelHandlerContext context) {
        byte[] answer = TOO_SLOW.getBytes(StandardCharsets.US_ASCII);
        context.writeAndFlush(Unpooled.wrappedBuffer(answer))
                .addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (mTimer != null) {
            mTimer.cancel(false);
        }
        context.fireChannelInactive();
    }
}
