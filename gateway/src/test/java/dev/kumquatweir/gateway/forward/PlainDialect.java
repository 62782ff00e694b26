package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.routing.Route;
import dev.kumquatweir.policy.placement.LimitNotice;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpRequestMetaData;
import io.servicetalk.http.api.HttpResponseMetaData;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** The fewest headers that forwarding needs. */
final class PlainDialect implements RequestDialect {
    static final String REQUEST_ID = "Request-Id";
    static final String RESUME_AFTER = "Resume-After";
    static final String NOT_EXECUTED = "Refused";
    static final String LEAVING = "Leaving";
    static final String PAUSE_MILLIS = "Pause";
    static final String REMAINING_MILLIS = "Remaining";

    private static final long CALLER_TIMEOUT_MILLIS = 5_000;

    @Override
    public CallerRequestHead decodeRequest(HttpRequestMetaData request) {
        return new CallerRequestHead(
                text(request.headers(), REQUEST_ID).orElse(""),
                text(request.headers(), "host").orElse(""),
                request.rawPath(),
                Optional.empty(),
                remaining(request.headers()),
                0,
                0,
                0,
                0,
                text(request.headers(), RESUME_AFTER).map(Long::parseLong).orElse(-1L),
                List.of(),
                "");
    }

    @Override
    public long callerTimeoutMillis(Route route) {
        return CALLER_TIMEOUT_MILLIS;
    }

    @Override
    public void encodeUpstreamRequest(
            HttpHeaders caller, UpstreamInstructions instructions, HttpHeaders target) {
        ForwardedHeaders.copy(caller, target);
        if (instructions.lastEventId() >= 0) {
            target.set(RESUME_AFTER, Long.toString(instructions.lastEventId()));
        }
    }

    @Override
    public void encodeRemaining(long remainingMillis, HttpHeaders target) {}

    @Override
    public UpstreamResponseHead decodeResponse(HttpResponseMetaData response) {
        return new UpstreamResponseHead(
                response.status().code(),
                text(response.headers(), REQUEST_ID),
                response.headers().contains(NOT_EXECUTED),
                false,
                "",
                response.headers().contains(LEAVING),
                text(response.headers(), PAUSE_MILLIS).map(Long::parseLong).orElse(0L),
                new LimitNotice.None());
    }

    private static OptionalLong remaining(HttpHeaders headers) {
        return text(headers, REMAINING_MILLIS).stream().mapToLong(Long::parseLong).findFirst();
    }

    private static Optional<String> text(HttpHeaders headers, String name) {
        return Optional.ofNullable(headers.get(name)).map(CharSequence::toString);
    }
}
