package dev.kumquatweir.gateway.caller;

import dev.kumquatweir.gateway.dispatch.Work;
import io.servicetalk.http.api.HttpHeaders;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.StreamSupport;

/** Selects the headers of a caller's request to forward to a plain service. Holds no state. */
final class ForwardedHeaders {
    /** Hop-by-hop headers, Content-Length, Expect, and headers addressed to this system. */
    private static final Set<String> EXCLUDED_HEADERS =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "content-length",
                    "expect",
                    "authorization",
                    CallerHeaders.PROFILE,
                    CallerHeaders.TIMEOUT);

    private ForwardedHeaders() {}

    static List<Work.Header> of(HttpHeaders headers) {
        return StreamSupport.stream(headers.spliterator(), false)
                .map(
                        header ->
                                new Work.Header(
                                        header.getKey().toString().toLowerCase(Locale.ROOT),
                                        header.getValue().toString()))
                .filter(header -> !EXCLUDED_HEADERS.contains(header.name()))
                .toList();
    }
}
