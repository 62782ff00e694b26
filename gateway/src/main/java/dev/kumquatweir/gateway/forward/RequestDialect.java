package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.routing.Route;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpRequestMetaData;
import io.servicetalk.http.api.HttpResponseMetaData;

/** The header names that callers and upstreams speak. Implementations only translate. */
public interface RequestDialect {
    /** Decodes what a caller says of a request; values that can't be read count as missing. */
    CallerRequestHead decodeRequest(HttpRequestMetaData request);

    /** Returns how long a caller of a route waits for the first event or the answer at most. */
    long callerTimeoutMillis(Route route);

    /**
     * Writes the headers that an upstream gets.
     *
     * @param caller the caller's headers
     * @param instructions what the upstream is told
     * @param target headers of the request to the upstream
     */
    void encodeUpstreamRequest(
            HttpHeaders caller, UpstreamInstructions instructions, HttpHeaders target);

    /** Decodes the head of an upstream's answer. */
    UpstreamResponseHead decodeResponse(HttpResponseMetaData response);
}
