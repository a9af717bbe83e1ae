package org.fuchsiaford.entry.gateway.forward;

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
import reactor.netty.NettyPipeline;

/**
 * Makes a request with both {@code Content-Length} and {@code Transfer-Encoding} a bad one. The
 * codec drops the first of them without a word, but another proxy may have gone by it, and so see
 * other requests on the connection. Used by one connection's event loop.
 */
final class ConflictingLengthHandler extends ChannelInboundHandlerAdapter {
    private ConflictingLengthHandler() {}

    /** Replaces a connection's codec by one that notices. */
    static void addTo(ChannelPipeline pipeline, HttpDecoderConfig decoder) {
        HttpDecoderConfig noticing = decoder.clone().setHeadersFactory(new NoticingFactory());
        pipeline.replace(
                NettyPipeline.HttpCodec, NettyPipeline.HttpCodec, new HttpServerCodec(noticing));
        pipeline.addAfter(NettyPipeline.HttpCodec, null, new ConflictingLengthHandler());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpRequest request
                && request.headers() instanceof NoticingHeaders headers
                && headers.mHadTwoLengths) {
            request.setDecoderResult(
                    DecoderResult.failure(
                            new IllegalArgumentException(
                                    "both Content-Length and Transfer-Encoding")));
        }
        context.fireChannelRead(message);
    }

    private static final class NoticingFactory implements HttpHeadersFactory {
        @Override
        public HttpHeaders newHeaders() {
            return new NoticingHeaders();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return new NoticingHeaders();
        }
    }

    /** Headers of a request; the codec removes a length only if there is an encoding as well. */
    private static final class NoticingHeaders extends DefaultHttpHeaders {
        private boolean mHadTwoLengths;

        @Override
        public HttpHeaders remove(CharSequence name) {
            mHadTwoLengths |= HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name);
            return super.remove(name);
        }
    }
}
