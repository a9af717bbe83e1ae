package org.fuchsiaford.entry.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import reactor.netty.NettyPipeline;

/**
 * Ends a connection if the head of a request takes too long from its first byte, so that slow
 * senders cannot use up connections. Between requests the idle limit holds.
 *
 * <p>Invariant: the timer runs only between the first byte and the end of a head. Used by one
 * connection's event loop.
 */
final class HeaderTimeout {
    private static final String TOO_SLOW =
            "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

    private final LongSupplier mLimitMillis;
    private boolean mHeadExpected = true;
    private Future<?> mTimer;

    private HeaderTimeout(LongSupplier limitMillis) {
        mLimitMillis = limitMillis;
    }

    /**
     * Adds the deadline to a connection with an HTTP codec.
     *
     * @param limitMillis the time from the first byte to the end of a head, in milliseconds
     */
    static void addTo(ChannelPipeline pipeline, LongSupplier limitMillis) {
        HeaderTimeout deadline = new HeaderTimeout(limitMillis);
        pipeline.addFirst(deadline.new Bytes());
        pipeline.addAfter(NettyPipeline.HttpCodec, null, deadline.new Messages());
    }

    private final class Bytes extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (mHeadExpected && mTimer == null && message instanceof ByteBuf) {
                mTimer =
                        context.executor()
                                .schedule(
                                        () -> end(context),
                                        mLimitMillis.getAsLong(),
                                        TimeUnit.MILLISECONDS);
            }
            context.fireChannelRead(message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            stopTimer();
            context.fireChannelInactive();
        }
    }

    private final class Messages extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof HttpRequest) {
                mHeadExpected = false;
                stopTimer();
            }
            if (message instanceof LastHttpContent) {
                mHeadExpected = true;
            }
            context.fireChannelRead(message);
        }
    }

    private void stopTimer() {
        if (mTimer != null) {
            mTimer.cancel(false);
            mTimer = null;
        }
    }

    private static void end(ChannelHandlerContext context) {
        byte[] answer = TOO_SLOW.getBytes(StandardCharsets.US_ASCII);
        context.writeAndFlush(Unpooled.wrappedBuffer(answer))
                .addListener(ChannelFutureListener.CLOSE);
    }
}
