package dev.kumquatweir.gateway.http;

import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponseMetaData;
import io.servicetalk.http.api.HttpResponseStatus;

/** Status and end of a response, as HTTP defines them. Holds no state. */
public final class ResponseFraming {
    /**
     * RFC 9110 calls higher statuses invalid; some upstreams send them when they are in trouble.
     * The library refuses statuses that are not numbers of three digits.
     */
    public static final int HIGHEST_STATUS = 599;

    private ResponseFraming() {}

    /**
     * Returns whether a response has neither a length nor chunks, so that its body ends with the
     * connection.
     *
     * @param method method of the request
     */
    public static boolean endsWithConnection(
            HttpRequestMethod method, HttpResponseMetaData response) {
        boolean bodyless =
                method.equals(HttpRequestMethod.HEAD)
                        || response.status().equals(HttpResponseStatus.NO_CONTENT)
                        || response.status().equals(HttpResponseStatus.NOT_MODIFIED);
        return !bodyless
                && !response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                && !response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
    }
}
