package dev.kumquatweir.gateway.http;

import io.netty.channel.ChannelOption;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import java.util.concurrent.TimeUnit;

/** Whether the callers of requests still wait for the responses. Holds no state. */
public final class CallerPresence {
    private static final long CLOSE_NOTICED_MILLIS = 50;

    private CallerPresence() {}

    /**
     * Closes the connection when the caller closes its sending side. With half-closed connections a
     * disconnect would be noticed only at the next write, while the request goes on.
     */
    public static void disableHalfClosure(HttpServiceContext context) {
        if (context instanceof NettyConnectionContext connection) {
            connection.nettyChannel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, false);
        }
    }

    /**
     * Completes once the I/O thread has noticed a close that followed the request. After a
     * suspension of the process, both wait in the socket.
     */
    public static Completable closeNoticed(HttpServiceContext context) {
        return context.executionContext()
                .ioExecutor()
                .timer(CLOSE_NOTICED_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns whether the connection of a request is open. A close that has arrived is noticed only
     * once the I/O thread has read it.
     */
    public static boolean waits(HttpServiceContext context) {
        return !(context instanceof NettyConnectionContext connection)
                || connection.nettyChannel().isActive();
    }
}
