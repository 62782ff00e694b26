package dev.kumquatweir.gateway.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.failure.RequestFailure;
import java.util.OptionalLong;

/** Maps failures to HTTP status, Retry-After and JSON body. Holds no state. */
public final class ErrorResponse {
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

    private ErrorResponse() {}

    /** Returns the HTTP status of a failure. */
    public static int status(RequestFailure failure) {
        return switch (failure) {
            case RequestFailure.NotAuthenticated _ -> 401;
            case RequestFailure.Malformed _ -> 400;
            case RequestFailure.IdempotencyKeyMissing _ -> 400;
            case RequestFailure.UnknownName _ -> 404;
            case RequestFailure.InProgress _ -> 409;
            case RequestFailure.OutcomeUnknown _ -> 409;
            case RequestFailure.ResponseNotStored _ -> 410;
            case RequestFailure.BodyTooLarge _ -> 413;
            case RequestFailure.PromptTooLong _ -> 413;
            case RequestFailure.IdempotencyKeyReused _ -> 422;
            case RequestFailure.Quarantined _ -> 422;
            case RequestFailure.DeadlineTooShort _ -> 422;
            case RequestFailure.Overloaded _ -> 429;
            case RequestFailure.CallerDisconnected _ -> 499;
            case RequestFailure.UpstreamFailed _ -> 502;
            case RequestFailure.InstanceStopped _ -> 502;
            case RequestFailure.BodyMemoryFull _ -> 503;
            case RequestFailure.NoUpstream _ -> 503;
            case RequestFailure.NoConfigurationLease _ -> 503;
            case RequestFailure.NoQuorum _ -> 503;
            case RequestFailure.Draining _ -> 503;
            case RequestFailure.FailureDomainOut _ -> 503;
            case RequestFailure.DeadlineExceeded _ -> 504;
            case RequestFailure.RefusedBeforeClaim refused -> status(refused.cause());
        };
    }

    /**
     * Returns the time in milliseconds after which the caller may retry, empty if a retry would not
     * help.
     */
    public static OptionalLong retryAfterMillis(RequestFailure failure) {
        return switch (failure) {
            case RequestFailure.Overloaded overloaded ->
                    OptionalLong.of(overloaded.retryAfterMillis());
            case RequestFailure.BodyMemoryFull full -> OptionalLong.of(full.retryAfterMillis());
            case RequestFailure.NoUpstream noUpstream ->
                    OptionalLong.of(noUpstream.retryAfterMillis());
            case RequestFailure.RefusedBeforeClaim refused -> retryAfterMillis(refused.cause());
            case RequestFailure.NoConfigurationLease _,
                    RequestFailure.NoQuorum _,
                    RequestFailure.Draining _,
                    RequestFailure.InProgress _ ->
                    OptionalLong.of(DEFAULT_RETRY_AFTER_MILLIS);
            default -> OptionalLong.empty();
        };
    }

    /** Returns the value of the Retry-After header: seconds, rounded up, at least 1. */
    public static long retryAfterSeconds(long millis) {
        return Math.max(1, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }

    /** Returns the JSON body for a failure. */
    public static ObjectNode body(RequestFailure failure, String requestId) {
        ObjectNode root = JsonBodies.object();
        ObjectNode error = root.putObject("error");
        error.put("type", failure.code());
        error.put("message", failure.message());
        error.put("ran", failure.executed().wireName());
        retryAfterMillis(failure).ifPresent(millis -> error.put("retry_after_ms", millis));
        error.put("request_id", requestId);
        return root;
    }
}
