package dev.kumquatweir.gateway.upstream;

import com.codahale.metrics.Counter;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.FilterableStreamingHttpConnection;
import io.servicetalk.http.api.StreamingHttpConnectionFilter;
import io.servicetalk.http.api.StreamingHttpConnectionFilterFactory;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;

/**
 * Closes a connection on which bytes arrive that belong to no request. The library would take them
 * for the response to the next request. Holds no state.
 */
final class UnsolicitedBytesFilter implements StreamingHttpConnectionFilterFactory {
    private final Counter mClosed;

    /**
     * @param closed counts the connections closed for such bytes
     */
    UnsolicitedBytesFilter(Counter closed) {
        mClosed = closed;
    }

    @Override
    public StreamingHttpConnectionFilter create(FilterableStreamingHttpConnection connection) {
        ConnectionExchanges exchanges = new ConnectionExchanges(mClosed);
        if (connection.connectionContext() instanceof NettyConnectionContext context) {
            exchanges.install(context.nettyChannel());
        }
        return new StreamingHttpConnectionFilter(connection) {
            @Override
            public Single<StreamingHttpResponse> request(StreamingHttpRequest request) {
                return delegate()
                        .request(request)
                        .map(response -> closing(response, exchanges, connection));
            }
        };
    }

    private static StreamingHttpResponse closing(
            StreamingHttpResponse response,
            ConnectionExchanges exchanges,
            FilterableStreamingHttpConnection connection) {
        return response.transformMessageBody(
                body ->
                        body.beforeFinally(
                                () -> {
                                    if (exchanges.isTainted()) {
                                        connection.closeAsync().subscribe();
                                    }
                                }));
    }
}
