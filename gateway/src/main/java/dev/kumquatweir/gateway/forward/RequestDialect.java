package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.routing.Route;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpRequestMetaData;
import io.servicetalk.http.api.HttpResponseMetaData;

/**
 * Encodes and decodes the HTTP headers of the protocol with callers and upstreams. Implementations
 * take no decisions and hold no state.
 */
public interface RequestDialect {
    /** Decodes the head of a caller's request; values that can't be parsed count as missing. */
    CallerRequestHead decodeRequest(HttpRequestMetaData request);

    /**
     * Returns the longest time in milliseconds that a caller of a route waits for the first event,
     * or for the response if the route is not streamed.
     */
    long callerTimeoutMillis(Route route);

    /**
     * Writes the headers of the request to an upstream.
     *
     * @param caller the caller's headers
     * @param instructions instructions for the upstream
     * @param target headers of the request to the upstream
     */
    void encodeUpstreamRequest(
            HttpHeaders caller, UpstreamInstructions instructions, HttpHeaders target);

    /** Writes the time that is left for a request, as its caller does. */
    void encodeRemaining(long remainingMillis, HttpHeaders target);

    /** Decodes the head of an upstream's response. */
    UpstreamResponseHead decodeResponse(HttpResponseMetaData response);
}
