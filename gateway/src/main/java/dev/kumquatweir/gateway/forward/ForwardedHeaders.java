package dev.kumquatweir.gateway.forward;

import io.servicetalk.http.api.HttpHeaders;
import java.util.Locale;
import java.util.Set;

/** Copies end-to-end headers from one message to another. Holds no state. */
public final class ForwardedHeaders {
    private static final Set<String> EXCLUDED_HEADERS =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "content-length");

    private ForwardedHeaders() {}

    /**
     * Adds all headers except hop-by-hop headers and Content-Length, which the sender sets itself.
     */
    public static void copy(HttpHeaders source, HttpHeaders target) {
        source.forEach(
                header -> {
                    String name = header.getKey().toString().toLowerCase(Locale.ROOT);
                    if (!EXCLUDED_HEADERS.contains(name)) {
                        target.add(header.getKey(), header.getValue());
                    }
                });
    }
}
