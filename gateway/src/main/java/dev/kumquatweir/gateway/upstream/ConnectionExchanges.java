package dev.kumquatweir.gateway.upstream;

import com.codahale.metrics.Counter;
import dev.kumquatweir.core.event.EventLog;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.util.AttributeKey;
import io.servicetalk.http.api.HttpRequestMetaData;
import io.servicetalk.http.api.HttpResponseMetaData;
import io.servicetalk.transport.api.ConnectionContext;
import io.servicetalk.transport.netty.internal.CloseHandler;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;

/**
 * The requests and responses of one connection to an upstream. Closes the connection on bytes that
 * arrive while no request is outstanding. Confined to the I/O thread of the connection.
 */
public final class ConnectionExchanges {
    private static final EventLog LOG = EventLog.of(ConnectionExchanges.class);
    private static final AttributeKey<ConnectionExchanges> KEY =
            AttributeKey.valueOf(ConnectionExchanges.class, "exchanges");

    /** Lower ones are interim responses, which a final one follows. */
    private static final int FIRST_FINAL_STATUS = 200;

    private final Counter mClosed;
    private long mRequests;
    private long mResponses;
    private boolean mHeadReceived;

    /** Whether bytes follow those that the decoder reads at present. */
    private boolean mBytesFollow;

    private boolean mTainted;

    ConnectionExchanges(Counter closed) {
        mClosed = closed;
    }

    /**
     * Returns whether a connection has carried another request before the latest one. A connection
     * that isn't observed counts as reused.
     */
    public static boolean isReused(ConnectionContext connection) {
        if (connection instanceof NettyConnectionContext context) {
            ConnectionExchanges exchanges = context.nettyChannel().attr(KEY).get();
            return exchanges == null || exchanges.mRequests > 1;
        }
        return true;
    }

    /** Observes a channel whose pipeline is complete. */
    void install(Channel channel) {
        channel.attr(KEY).set(this);
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addFirst(new ReceivedBytes());
        pipeline.addBefore(pipeline.lastContext().name(), null, new DecodedMessages());
    }

    /** Returns whether bytes arrived that belong to no request. */
    boolean isTainted() {
        return mTainted;
    }

    private boolean isOutstanding() {
        return mRequests > mResponses;
    }

    private void taint(Channel channel, String when) {
        if (!mTainted) {
            mTainted = true;
            mClosed.inc();
            LOG.warn(
                    "unsolicited_response",
                    "upstream",
                    String.valueOf(channel.remoteAddress()),
                    "when",
                    when,
                    "requests",
                    mRequests);
        }
    }

    /** Drops the bytes that belong to no request. Stands before the decoder. */
    private final class ReceivedBytes extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            if (!(message instanceof ByteBuf bytes) || !bytes.isReadable()) {
                super.channelRead(context, message);
                return;
            }
            if (mTainted || !isOutstanding()) {
                bytes.release();
                taint(context.channel(), mRequests == 0 ? "before_request" : "idle");
                ChannelFuture unused = context.close();
                return;
            }
            if (bytes.readableBytes() == 1) {
                super.channelRead(context, bytes);
                return;
            }
            // The decoder doesn't tell whether it has read all bytes. A response that ends before
            // the last one is followed by bytes that don't belong to it.
            ByteBuf beginning = bytes.readRetainedSlice(bytes.readableBytes() - 1);
            mBytesFollow = true;
            try {
                super.channelRead(context, beginning);
            } finally {
                mBytesFollow = false;
            }
            if (mTainted) {
                bytes.release();
                ChannelFuture unused = context.close();
            } else {
                super.channelRead(context, bytes);
            }
        }
    }

    /** Counts requests and responses. Stands between the codec and the library's connection. */
    private final class DecodedMessages extends ChannelDuplexHandler {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            if (message instanceof HttpResponseMetaData head) {
                mHeadReceived = head.status().code() >= FIRST_FINAL_STATUS;
            }
            super.channelRead(context, message);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event)
                throws Exception {
            boolean responseEnded =
                    event == CloseHandler.InboundDataEndEvent.INSTANCE && mHeadReceived;
            if (responseEnded) {
                mHeadReceived = false;
                mResponses++;
                if (mBytesFollow) {
                    taint(context.channel(), "behind_response");
                }
            }
            super.userEventTriggered(context, event);
            if (responseEnded && !mTainted) {
                // The library doesn't read an idle connection. Bytes that arrive meanwhile would
                // be read as the response to the next request.
                context.read();
            }
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
                throws Exception {
            if (message instanceof HttpRequestMetaData) {
                mRequests++;
            }
            super.write(context, message, promise);
        }
    }
}
