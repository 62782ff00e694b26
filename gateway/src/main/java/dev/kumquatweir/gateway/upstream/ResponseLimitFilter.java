package dev.kumquatweir.gateway.upstream;

import dev.kumquatweir.core.event.EventLog;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.FilterableStreamingHttpConnection;
import io.servicetalk.http.api.StreamingHttpConnectionFilter;
import io.servicetalk.http.api.StreamingHttpConnectionFilterFactory;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;

/**
 * Closes a connection whose upstream sends bytes without end that are neither a head nor a part of
 * a body: headers, interim responses, chunk sizes or trailers. The library limits each line, but
 * not their number, and keeps them until the head is complete. Holds no state.
 */
final class ResponseLimitFilter implements StreamingHttpConnectionFilterFactory {
    /** Above the size of any head plus one read of the transport. */
    static final int MAXIMUM_BYTES = 256 << 10;

    @Override
    public StreamingHttpConnectionFilter create(FilterableStreamingHttpConnection connection) {
        UndeliveredBytes undelivered = new UndeliveredBytes();
        if (connection.connectionContext() instanceof NettyConnectionContext context) {
            context.nettyChannel().pipeline().addFirst(undelivered);
        }
        return new StreamingHttpConnectionFilter(connection) {
            @Override
            public Single<StreamingHttpResponse> request(StreamingHttpRequest request) {
                return delegate()
                        .request(request)
                        .map(
                                response -> {
                                    undelivered.reset();
                                    return response.transformPayloadBody(
                                            body -> body.beforeOnNext(part -> undelivered.reset()));
                                });
            }
        };
    }

    /** Counts the bytes received since the last part of a response. Confined to the I/O thread. */
    private static final class UndeliveredBytes extends ChannelInboundHandlerAdapter {
        private static final EventLog LOG = EventLog.of(ResponseLimitFilter.class);

        private long mBytes;

        void reset() {
            mBytes = 0;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            if (message instanceof ByteBuf bytes) {
                mBytes += bytes.readableBytes();
            }
            super.channelRead(context, message);
            if (mBytes > MAXIMUM_BYTES && context.channel().isOpen()) {
                LOG.warn(
                        "response_without_end",
                        "upstream",
                        String.valueOf(context.channel().remoteAddress()),
                        "undelivered_bytes",
                        mBytes);
                ChannelFuture unused = context.close();
            }
        }
    }
}
