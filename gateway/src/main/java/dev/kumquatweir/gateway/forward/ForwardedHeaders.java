package dev.kumquatweir.gateway.forward;

import io.servicetalk.http.api.HttpHeaders;
import java.util.Locale;
import java.util.Set;

/** Copies the headers that concern a message rather than one connection. */
public final class ForwardedHeaders {
    private static final Set<String> CONNECTION_HEADERS =
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
     * Adds the headers of a message to another one; the length of the body is set by its sender.
     */
    public static void copy(HttpHeaders source, HttpHeaders target) {
        source.forEach(
                header -> {
                    String name = header.getKey().toString().toLowerCase(Locale.ROOT);
                    if (!CONNECTION_HEADERS.contains(name)) {
                        target.add(header.getKey(), header.getValue());
                    }
                });
    }
}
