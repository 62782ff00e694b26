package dev.kumquatweir.gateway.caller;

import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.IdempotencyKey;
import dev.kumquatweir.core.identity.InvalidIdentifierException;
import dev.kumquatweir.core.identity.ProfileName;
import io.servicetalk.http.api.HttpHeaders;
import io.vavr.control.Either;
import java.util.Optional;

/**
 * Headers of a caller's request that this system evaluates. Immutable.
 *
 * @param apiKey API key of the team, empty if missing
 * @param profile profile that the caller selects
 * @param timeoutMillis time that the caller waits at most, {@link Long#MAX_VALUE} if missing
 * @param idempotencyKey idempotency key of a request that is not repeatable
 */
record CallerHeaders(
        String apiKey,
        Optional<ProfileName> profile,
        long timeoutMillis,
        Optional<IdempotencyKey> idempotencyKey) {
    static final String PROFILE = "kumquatweir-profile";
    static final String TIMEOUT = "kumquatweir-timeout-ms";
    static final String IDEMPOTENCY_KEY = "idempotency-key";
    private static final String AUTHORIZATION = "authorization";
    private static final String BEARER = "Bearer ";

    static Either<RequestFailure, CallerHeaders> parse(HttpHeaders headers) {
        String authorization = text(headers, AUTHORIZATION).orElse("");
        String apiKey =
                authorization.startsWith(BEARER) ? authorization.substring(BEARER.length()) : "";
        Optional<String> timeout = text(headers, TIMEOUT);
        if (timeout.isPresent() && !timeout.get().matches("[1-9][0-9]{0,9}")) {
            return Either.left(
                    new RequestFailure.Malformed(
                            "header " + TIMEOUT, "must be a whole number of milliseconds above 0"));
        }
        try {
            return Either.right(
                    new CallerHeaders(
                            apiKey,
                            text(headers, PROFILE).map(ProfileName::new),
                            timeout.map(Long::parseLong).orElse(Long.MAX_VALUE),
                            text(headers, IDEMPOTENCY_KEY)
                                    .map(CallerHeaders::unquoted)
                                    .map(IdempotencyKey::new)));
        } catch (InvalidIdentifierException exception) {
            return Either.left(
                    new RequestFailure.Malformed("header", String.valueOf(exception.getMessage())));
        }
    }

    private static Optional<String> text(HttpHeaders headers, String name) {
        return Optional.ofNullable(headers.get(name)).map(CharSequence::toString);
    }

    /** Removes the double quotes that the IETF draft requires (structured-field string). */
    private static String unquoted(String value) {
        boolean quoted = value.length() > 1 && value.startsWith("\"") && value.endsWith("\"");
        return quoted ? value.substring(1, value.length() - 1) : value;
    }
}
