package org.fuchsiaford.entry.gateway.forward;

import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.util.concurrent.ImmediateEventExecutor;
import java.util.function.LongSupplier;
import org.fuchsiaford.entry.gateway.log.Decision;
import org.fuchsiaford.entry.gateway.log.DecisionLog;
import org.fuchsiaford.failure.RefusalReason;
import org.fuchsiaford.hostmemory.ConnectionLimit;
import org.fuchsiaford.hostmemory.MemoryAccount;
import org.fuchsiaford.time.Ticker;

/**
 * The open connections of callers. Sets up what is checked of each before a request is handled:
 * malformed heads, their time and memory, and the number of connections.
 *
 * <p>Invariant: beyond the limit, the connection that has been idle longest is closed, or the new
 * one if none is idle. Thread-safe.
 */
public final class CallerConnections {
    private static final int MAX_LINE_BYTES = 8_192;

    /** The largest header size limit that a routing table may set. */
    private static final int MAX_HEADER_BYTES = 16_384;

    private static final HttpDecoderConfig DECODER =
            new HttpDecoderConfig()
                    .setMaxInitialLineLength(MAX_LINE_BYTES)
                    .setMaxHeaderSize(MAX_HEADER_BYTES);

    private final ChannelGroup mAll = new DefaultChannelGroup(ImmediateEventExecutor.INSTANCE);
    private final MemoryAccount mAccount;
    private final ConnectionLimit<Channel> mLimit;
    private final DecisionLog mLog;
    private final Ticker mTicker;

    /** Creates an empty set of connections. */
    public CallerConnections(
            MemoryAccount account, ConnectionLimit<Channel> limit, DecisionLog log, Ticker ticker) {
        mAccount = account;
        mLimit = limit;
        mLog = log;
        mTicker = ticker;
    }

    /** Returns the group that the server adds its connections to. */
    ChannelGroup all() {
        return mAll;
    }

    /**
     * Sets up a new connection with an HTTP codec.
     *
     * @param headerTimeoutMillis the timeout for the head of a request, in milliseconds
     */
    void add(Channel channel, LongSupplier headerTimeoutMillis) {
        ConflictingLengthHandler.addTo(
                channel.pipeline(),
                DECODER,
                (c, cause) -> logRejected(c, RefusalReason.MALFORMED, String.valueOf(cause)));
        HeaderTimeout.addTo(
                channel.pipeline(),
                headerTimeoutMillis,
                c ->
                        logRejected(
                                c,
                                RefusalReason.CALLER_TOO_SLOW,
                                "the head was not received in time"));
        ConnectionMemory.addTo(
                channel.pipeline(),
                mAccount,
                mLimit,
                c ->
                        logRejected(
                                c,
                                RefusalReason.HOST_FULL,
                                "no memory for the head, or too many requests sent ahead"),
                mTicker);
        mLimit.add(channel).ifPresent(this::closeSurplus);
    }

    private void closeSurplus(Channel channel) {
        logRejected(channel, RefusalReason.HOST_FULL, "too many open connections");
        channel.close();
    }

    private void logRejected(Channel channel, RefusalReason reason, String detail) {
        mLog.write(
                new Decision.RequestRejected(
                        String.valueOf(channel.remoteAddress()), reason.status(), detail));
    }

    /**
     * Closes all connections. Those that are idle would else stay open while the process exits, and
     * a request that is sent then would wait for an answer until its end.
     */
    void close() {
        mAll.close();
    }
}
