package dev.kumquatweir.gateway.upstream;

import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.gateway.http.HeadMeter;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.servicetalk.http.api.FilterableStreamingHttpConnection;
import io.servicetalk.http.api.HttpResponseMetaData;
import io.servicetalk.http.api.StreamingHttpConnectionFilter;
import io.servicetalk.http.api.StreamingHttpConnectionFilterFactory;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;

/**
 * Closes a connection whose upstream sends bytes without end that are neither a head nor a part of
 * a body: headers, interim responses, chunk sizes or trailers. The library limits each line, but
 * not their number, and keeps them until the head is complete. Holds no state.
 */
final class ResponseLimitFilter implements StreamingHttpConnectionFilterFactory {
    /** Above the size of any head plus one read of the transport. */
    static final int MAXIMUM_BYTES = 256 << 10;

    /** Above the fields of any head; a decoded field takes many times its bytes. */
    static final int MAXIMUM_LINES = 1_024;

    /** Lower ones are interim responses, which a final one follows. */
    private static final int FIRST_FINAL_STATUS = 200;

    @Override
    public StreamingHttpConnectionFilter create(FilterableStreamingHttpConnection connection) {
        if (connection.connectionContext() instanceof NettyConnectionContext context) {
            ChannelPipeline pipeline = context.nettyChannel().pipeline();
            HeadMeter meter = new HeadMeter(MAXIMUM_BYTES, MAXIMUM_LINES);
            pipeline.addFirst(new UndeliveredBytes(meter));
            pipeline.addBefore(pipeline.lastContext().name(), null, new DeliveredParts(meter));
        }
        return new StreamingHttpConnectionFilter(connection) {};
    }

    /** Notes what the decoder delivers, except interim responses. */
    private static final class DeliveredParts extends ChannelInboundHandlerAdapter {
        private final HeadMeter mMeter;

        DeliveredParts(HeadMeter meter) {
            mMeter = meter;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            if (!(message instanceof HttpResponseMetaData head)
                    || head.status().code() >= FIRST_FINAL_STATUS) {
                mMeter.reset();
            }
            super.channelRead(context, message);
        }
    }

    /** Counts the bytes received since the last part of a response. Confined to the I/O thread. */
    private static final class UndeliveredBytes extends ChannelInboundHandlerAdapter {
        private static final EventLog LOG = EventLog.of(ResponseLimitFilter.class);

        private final HeadMeter mMeter;

        UndeliveredBytes(HeadMeter meter) {
            mMeter = meter;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            if (message instanceof ByteBuf bytes) {
                mMeter.add(bytes);
            }
            super.channelRead(context, message);
            if ((mMeter.tooManyBytes() || mMeter.tooManyLines()) && context.channel().isOpen()) {
                LOG.warn(
                        "response_without_end",
                        "upstream",
                        String.valueOf(context.channel().remoteAddress()),
                        "undelivered_bytes",
                        mMeter.bytes());
                ChannelFuture unused = context.close();
            }
        }
    }
}
