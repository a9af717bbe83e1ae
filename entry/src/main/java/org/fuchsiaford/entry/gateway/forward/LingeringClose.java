package org.fuchsiaford.entry.gateway.forward;

import io.netty.buffer.ByteBufHolder;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import reactor.netty.NettyPipeline;

/**
 * Delays the close of a connection whose request is answered but still arrives: the rest of the
 * request is read and discarded first. A connection that is closed with unread bytes is reset, and
 * the caller may lose the response before it has read it.
 *
 * <p>Invariant: a connection lingers at most once, for at most {@link #MAX_LINGER_MILLIS}, and for
 * no more bytes than a body may have. Confined to the event loop of one connection.
 */
final class LingeringClose extends ChannelDuplexHandler {
    /** As long as a body may take that is not discarded. */
    private static final long MAX_LINGER_MILLIS = 10_000;

    private final BooleanSupplier mMayLinger;
    private final IntSupplier mMaxBytes;
    private final AtomicInteger mLingering;
    private boolean mRequestArrives;
    private boolean mIsLingering;
    private boolean mHasLingered;
    private long mDiscardedBytes;
    private Future<?> mTimer;

    private LingeringClose(
            BooleanSupplier mayLinger, IntSupplier maxBytes, AtomicInteger lingering) {
        mMayLinger = mayLinger;
        mMaxBytes = maxBytes;
        mLingering = lingering;
    }

    /**
     * Adds the handler to a connection with an HTTP codec.
     *
     * @param mayLinger whether a connection that is closed now may linger
     * @param maxBytes the most bytes of a body that are discarded
     * @param lingering counts the connections that linger
     */
    static void addTo(
            ChannelPipeline pipeline,
            BooleanSupplier mayLinger,
            IntSupplier maxBytes,
            AtomicInteger lingering) {
        pipeline.addAfter(
                NettyPipeline.HttpCodec, null, new LingeringClose(mayLinger, maxBytes, lingering));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpRequest) {
            mRequestArrives = true;
        }
        boolean isMalformed =
                message instanceof HttpObject object && object.decoderResult().isFailure();
        if (message instanceof LastHttpContent || isMalformed) {
            mRequestArrives = false;
        }
        if (mIsLingering) {
            discard(context, message);
        } else if (mHasLingered) {
            ReferenceCountUtil.release(message);
        } else {
            context.fireChannelRead(message);
        }
    }

    private void discard(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBufHolder holder) {
            mDiscardedBytes += holder.content().readableBytes();
        }
        ReferenceCountUtil.release(message);
        if (!mRequestArrives || mDiscardedBytes > mMaxBytes.getAsInt()) {
            context.close();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (mIsLingering) {
            context.read();
        }
        context.fireChannelReadComplete();
    }

    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) {
        if (!mRequestArrives || !context.channel().isActive() || !mMayLinger.getAsBoolean()) {
            context.close(promise);
            return;
        }
        context.channel().closeFuture().addListener(closed -> promise.trySuccess());
        if (!mHasLingered) {
            mHasLingered = true;
            mIsLingering = true;
            mLingering.incrementAndGet();
            mTimer =
                    context.executor()
                            .schedule(
                                    () -> context.close(),
                                    MAX_LINGER_MILLIS,
                                    TimeUnit.MILLISECONDS);
            context.read();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (mIsLingering) {
            mIsLingering = false;
            mTimer.cancel(false);
            mLingering.decrementAndGet();
        }
        context.fireChannelInactive();
    }
}
