package dev.kumquatweir.gateway.upstream;

import dev.kumquatweir.gateway.http.ResponseFraming;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.FilterableStreamingHttpConnection;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.StreamingHttpConnectionFilter;
import io.servicetalk.http.api.StreamingHttpConnectionFilterFactory;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;

/**
 * Closes a connection at the end of a response that has neither a length nor chunks. The library
 * returns such a connection to its pool although the upstream has ended it, and the next request
 * there would fail with an unknown outcome. Holds no state.
 */
final class UnframedResponseFilter implements StreamingHttpConnectionFilterFactory {
    @Override
    public StreamingHttpConnectionFilter create(FilterableStreamingHttpConnection connection) {
        return new StreamingHttpConnectionFilter(connection) {
            @Override
            public Single<StreamingHttpResponse> request(StreamingHttpRequest request) {
                HttpRequestMethod method = request.method();
                return delegate()
                        .request(request)
                        .map(
                                response ->
                                        ResponseFraming.endsWithConnection(method, response)
                                                ? closing(response, connection)
                                                : response);
            }
        };
    }

    private static StreamingHttpResponse closing(
            StreamingHttpResponse response, FilterableStreamingHttpConnection connection) {
        return response.transformMessageBody(
                body -> body.beforeFinally(() -> connection.closeAsync().subscribe()));
    }
}
