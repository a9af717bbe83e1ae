package org.fuchsiaford.entry.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.function.Consumer;
import org.fuchsiaford.hostmemory.ConnectionLimit;
import org.fuchsiaford.hostmemory.HeadCost;
import org.fuchsiaford.hostmemory.MemoryAccount;
import org.fuchsiaford.hostmemory.MemoryDirection;
import org.fuchsiaford.time.Ticker;
import reactor.netty.NettyPipeline;

/**
 * Charges to the account of the host what is held for one connection outside of bodies: the heads
 * of requests, from their first byte until their response was written, and the bytes of responses
 * that the caller has not read. Bounds the requests that are sent ahead.
 *
 * <p>A head without room is refused with 503 and the connection closed, if no other request is in
 * progress on it. Otherwise nothing more is read, and the connection is closed once the requests in
 * progress are answered; the others have not run. Confined to the event loop of one connection.
 */
final class ConnectionMemory {
    /** More than any HTTP client sends ahead of the responses. */
    private static final int MAX_REQUESTS_IN_PROGRESS = 8;

    private static final String REFUSAL =
            "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n"
                    + "Connection: close\r\n\r\n";

    private final MemoryAccount.Holding mHeads;
    private final MemoryAccount.Holding mOutbound;
    private final ConnectionLimit<Channel> mConnections;
    private final Consumer<Channel> mOnRefused;
    private final Ticker mTicker;
    private final Deque<Long> mRequestBytes = new ArrayDeque<>();
    private final HeadCost mPartialHead = new HeadCost();
    private ChannelHandlerContext mByteContext;
    private boolean mHeadExpected = true;
    private boolean mStopped;
    private long mOutboundBytes;

    private ConnectionMemory(
            MemoryAccount account,
            ConnectionLimit<Channel> connections,
            Consumer<Channel> onRefused,
            Ticker ticker) {
        mHeads = account.open(MemoryDirection.HEADS);
        mOutbound = account.open(MemoryDirection.OUTBOUND);
        mConnections = connections;
        mOnRefused = onRefused;
        mTicker = ticker;
    }

    /**
     * Adds the charging to a connection with an HTTP codec.
     *
     * @param onRefused called with a connection from which nothing more is read
     */
    static void addTo(
            ChannelPipeline pipeline,
            MemoryAccount account,
            ConnectionLimit<Channel> connections,
            Consumer<Channel> onRefused,
            Ticker ticker) {
        ConnectionMemory memory = new ConnectionMemory(account, connections, onRefused, ticker);
        pipeline.addFirst(memory.new ByteHandler());
        pipeline.addAfter(NettyPipeline.HttpCodec, null, memory.new MessageHandler());
    }

    private boolean tryCharge() {
        long bytes = mRequestBytes.stream().mapToLong(Long::longValue).sum();
        return mHeads.tryResize(bytes + mPartialHead.bytes(), mTicker.nowNanos());
    }

    private void stop() {
        mStopped = true;
        mOnRefused.accept(mByteContext.channel());
        if (mRequestBytes.isEmpty()) {
            mByteContext
                    .writeAndFlush(
                            Unpooled.wrappedBuffer(REFUSAL.getBytes(StandardCharsets.US_ASCII)))
                    .addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Sees the bytes of a head before the codec keeps them as objects. */
    private final class ByteHandler extends ChannelDuplexHandler {
        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            mByteContext = context;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (!mStopped && mHeadExpected && message instanceof ByteBuf bytes) {
                bytes.forEachByte(mPartialHead::add);
                if (!tryCharge()) {
                    stop();
                }
            }
            if (mStopped) {
                ReferenceCountUtil.release(message);
            } else {
                context.fireChannelRead(message);
            }
        }

        @Override
        public void read(ChannelHandlerContext context) {
            if (!mStopped) {
                context.read();
            }
        }

        @Override
        public void flush(ChannelHandlerContext context) {
            context.flush();
            chargeOutbound(context.channel());
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            chargeOutbound(context.channel());
            context.fireChannelWritabilityChanged();
        }

        /** What has no room is not charged: servers have sent it, and it is delivered. */
        private void chargeOutbound(Channel channel) {
            ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
            long bytes = buffer == null ? 0 : buffer.totalPendingWriteBytes();
            if (bytes != mOutboundBytes && mOutbound.tryResize(bytes, mTicker.nowNanos())) {
                mOutboundBytes = bytes;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mHeads.close();
            mOutbound.close();
            mConnections.remove(context.channel());
            context.fireChannelInactive();
        }
    }

    private final class MessageHandler extends ChannelDuplexHandler {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof HttpRequest request && !mStopped) {
                begin(context, request);
            }
            if (mStopped) {
                ReferenceCountUtil.release(message);
                return;
            }
            if (message instanceof LastHttpContent) {
                mHeadExpected = true;
            }
            context.fireChannelRead(message);
        }

        private void begin(ChannelHandlerContext context, HttpRequest request) {
            mHeadExpected = false;
            mPartialHead.reset();
            mConnections.setIdle(context.channel(), false);
            mRequestBytes.add(bytes(request));
            if (mRequestBytes.size() > MAX_REQUESTS_IN_PROGRESS || !tryCharge()) {
                mRequestBytes.removeLast();
                stop();
            }
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            boolean ends = message instanceof LastHttpContent && !isInformational(message);
            context.write(
                    message,
                    ends ? promise.unvoid().addListener(sent -> endFirst(context)) : promise);
        }

        private void endFirst(ChannelHandlerContext context) {
            mRequestBytes.poll();
            tryCharge();
            if (mRequestBytes.isEmpty()) {
                mConnections.setIdle(context.channel(), true);
                if (mStopped) {
                    context.close();
                }
            }
        }
    }

    private static boolean isInformational(Object message) {
        return message instanceof HttpResponse response
                && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    private static long bytes(HttpRequest request) {
        HeadCost cost = new HeadCost();
        cost.addLine(request.uri().length());
        for (Map.Entry<String, String> header : request.headers()) {
            cost.addLine(header.getKey().length() + header.getValue().length());
        }
        return cost.bytes();
    }
}
