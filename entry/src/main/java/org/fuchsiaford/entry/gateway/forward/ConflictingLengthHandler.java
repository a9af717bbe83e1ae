package org.fuchsiaford.entry.gateway.forward;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpServerCodec;
import java.util.function.BiConsumer;
import reactor.netty.NettyPipeline;

/**
 * Marks a request with both {@code Content-Length} and {@code Transfer-Encoding} as malformed. The
 * codec silently removes {@code Content-Length}, but a proxy in front of this server may have used
 * it to delimit the request, which allows request smuggling. Confined to the event loop of one
 * connection.
 */
final class ConflictingLengthHandler extends ChannelInboundHandlerAdapter {
    private final BiConsumer<Channel, Throwable> mOnMalformed;

    private ConflictingLengthHandler(BiConsumer<Channel, Throwable> onMalformed) {
        mOnMalformed = onMalformed;
    }

    /**
     * Replaces the HTTP codec of a connection and adds the check after it.
     *
     * @param onMalformed called for each request that the codec or this check finds malformed
     */
    static void addTo(
            ChannelPipeline pipeline,
            HttpDecoderConfig decoder,
            BiConsumer<Channel, Throwable> onMalformed) {
        HttpDecoderConfig recording =
                decoder.clone().setHeadersFactory(new RecordingHeadersFactory());
        pipeline.replace(
                NettyPipeline.HttpCodec, NettyPipeline.HttpCodec, new HttpServerCodec(recording));
        pipeline.addAfter(NettyPipeline.HttpCodec, null, new ConflictingLengthHandler(onMalformed));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpRequest request
                && request.headers() instanceof RecordingHeaders headers
                && headers.mContentLengthRemoved) {
            request.setDecoderResult(
                    DecoderResult.failure(
                            new IllegalArgumentException(
                                    "both Content-Length and Transfer-Encoding")));
        }
        if (message instanceof HttpRequest request && request.decoderResult().isFailure()) {
            mOnMalformed.accept(context.channel(), request.decoderResult().cause());
        }
        context.fireChannelRead(message);
    }

    private static final class RecordingHeadersFactory implements HttpHeadersFactory {
        @Override
        public HttpHeaders newHeaders() {
            return new RecordingHeaders();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return new RecordingHeaders();
        }
    }

    /**
     * Request headers that record the removal of {@code Content-Length}. The codec removes it only
     * if there is a {@code Transfer-Encoding} as well.
     */
    private static final class RecordingHeaders extends DefaultHttpHeaders {
        private boolean mContentLengthRemoved;

        @Override
        public HttpHeaders remove(CharSequence name) {
            mContentLengthRemoved |= HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name);
            return super.remove(name);
        }
    }
}
