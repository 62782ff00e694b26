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
 * A request that has been read in full and may be forwarded. Immutable.
 *
 * @param head what the caller says of it
 * @param method HTTP method
 * @param target request target as sent, with its query
 * @param headers the caller's headers
 * @param body the body
 * @param route the route that it matches
 * @param service the service that runs it
 * @param team the caller's team, if the route needs one
 * @param arrivedNanos when its last byte was read
 * @param firstAttemptNanos when its caller is believed to have sent it first, earlier if it came
 *     back after a rejection
 * @param deadlineNanos when it must have its final answer
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
        long firstAttemptNanos,
        long deadlineNanos) {

    /** Returns a text that is the same whenever the same caller sends the same content. */
    String contentHash() {
        CRC32C checksum = new CRC32C();
        checksum.update(body.toArray());
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
