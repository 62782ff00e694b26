package dev.kumquatweir.gateway.forward;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpRequest;

/** Builds the requests sent to upstreams. Holds no state. */
final class UpstreamRequests {
    private UpstreamRequests() {}

    static StreamingHttpRequest newRequest(
            StreamingHttpClient client,
            ForwardedRequest request,
            UpstreamInstructions instructions,
            ForwardingPorts ports) {
        StreamingHttpRequest upstreamRequest =
                client.newRequest(request.method(), request.target());
        ports.dialect()
                .encodeUpstreamRequest(request.headers(), instructions, upstreamRequest.headers());
        upstreamRequest.headers().remove(InstanceRelay.MARK);
        int size = request.body().size();
        boolean bodyAnnounced =
                request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                        || request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (size > 0) {
            Buffer content =
                    client.executionContext()
                            .bufferAllocator()
                            .wrap(request.body().asReadOnlyBuffer());
            upstreamRequest.payloadBody(Publisher.from(content));
        }
        if (size > 0 || bodyAnnounced) {
            upstreamRequest.setHeader(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(size));
        }
        return upstreamRequest;
    }
}
