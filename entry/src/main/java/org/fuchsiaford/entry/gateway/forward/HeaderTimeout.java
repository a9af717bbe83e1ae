package org.fuchsiaford.entry.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import reactor.netty.NettyPipeline;

/**
 * Closes a connection if the head of a request is not complete within a timeout after its first
 * byte, so that slow senders cannot exhaust connections. Between requests, the idle timeout of the
 * server applies.
 *
 * <p>Invariant: the timer runs only between the first byte and the end of a head. Confined to the
 * event loop of one connection.
 */
final class HeaderTimeout {
    private static final String TIMEOUT_RESPONSE =
            "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

    private final LongSupplier mTimeoutMillis;
    private final Consumer<Channel> mOnTimeout;
    private boolean mHeadExpected = true;
    private Future<?> mTimer;

    private HeaderTimeout(LongSupplier timeoutMillis, Consumer<Channel> onTimeout) {
        mTimeoutMillis = timeoutMillis;
        mOnTimeout = onTimeout;
    }

    /**
     * Adds the timeout to a connection with an HTTP codec.
     *
     * @param timeoutMillis the longest time from the first byte to the end of a head, in
     *     milliseconds; read for each request
     * @param onTimeout called with each connection that is closed
     */
    static void addTo(
            ChannelPipeline pipeline, LongSupplier timeoutMillis, Consumer<Channel> onTimeout) {
        HeaderTimeout timeout = new HeaderTimeout(timeoutMillis, onTimeout);
        pipeline.addFirst(timeout.new ByteHandler());
        pipeline.addAfter(NettyPipeline.HttpCodec, null, timeout.new MessageHandler());
    }

    private final class ByteHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (mHeadExpected && mTimer == null && message instanceof ByteBuf) {
                mTimer =
                        context.executor()
                                .schedule(
                                        () -> closeWithTimeout(context),
                                        mTimeoutMillis.getAsLong(),
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

    private final class MessageHandler extends ChannelInboundHandlerAdapter {
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

    private void closeWithTimeout(ChannelHandlerContext context) {
        mOnTimeout.accept(context.channel());
        byte[] response = TIMEOUT_RESPONSE.getBytes(StandardCharsets.US_ASCII);
        context.writeAndFlush(Unpooled.wrappedBuffer(response))
                .addListener(ChannelFutureListener.CLOSE);
    }
}
