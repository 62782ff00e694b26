package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.routing.Route;
import dev.kumquatweir.core.routing.RoutedTeam;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpRequestMethod;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.zip.CRC32C;

/**
 * A request that was read in full and passed all checks. Immutable.
 *
 * @param head decoded request line and headers
 * @param method HTTP method
 * @param target request target as sent, with its query
 * @param headers the caller's headers
 * @param body the body
 * @param route the route that it matches
 * @param service the service that runs it
 * @param team the caller's team, if the route requires an API key
 * @param arrivedNanos monotonic time at which its last byte was read
 * @param deadlineNanos time by which the response must be complete
 */
record ForwardedRequest(
        CallerRequestHead head,
        HttpRequestMethod method,
        String target,
        HttpHeaders headers,
        Bytes body,
        Route route,
        ServiceName service,
        Optional<RoutedTeam> team,
        long arrivedNanos,
        long deadlineNanos) {

    /**
     * Returns a hash of body, prompt, target and API key, which identifies retries of one caller.
     */
    String contentHash() {
        CRC32C checksum = new CRC32C();
        checksum.update(head.promptIdentity().getBytes(StandardCharsets.UTF_8));
        checksum.update(body.asReadOnlyBuffer());
        checksum.update(target.getBytes(StandardCharsets.UTF_8));
        checksum.update(head.apiKey().orElse("").getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(checksum.getValue()) + ":" + body.size();
    }

    int priority() {
        return team.map(RoutedTeam::priority)
                .filter(OptionalInt::isPresent)
                .map(OptionalInt::getAsInt)
                .orElse(route.priority());
    }
}
