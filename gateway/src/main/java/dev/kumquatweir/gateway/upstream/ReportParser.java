package dev.kumquatweir.gateway.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.configuration.UpstreamKind;
import dev.kumquatweir.core.failure.FailureException;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InvalidIdentifierException;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.CacheEvents;
import dev.kumquatweir.policy.registry.ColdLimit;
import dev.kumquatweir.policy.registry.LoadReport;
import dev.kumquatweir.policy.registry.UpstreamRole;
import io.vavr.control.Either;
import java.util.Arrays;
import java.util.Locale;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

/** Reads what upstreams report. Thread-safe: holds no state. */
final class ReportParser {
    private ReportParser() {}

    static Either<RequestFailure, Announcement> announcement(ObjectNode body) {
        return read(body, ReportParser::readAnnouncement);
    }

    static Either<RequestFailure, LoadReport> load(ObjectNode body) {
        return read(
                body,
                node ->
                        new LoadReport(
                                id(node),
                                number(node, "incarnation"),
                                number(node, "sequence"),
                                count(node, "running"),
                                count(node, "queued"),
                                number(node, "memory_used_tokens"),
                                number(node, "prefill_backlog_tokens"),
                                flag(node, "cold")));
    }

    static Either<RequestFailure, CacheEvents> cacheEvents(ObjectNode body) {
        return read(
                body,
                node ->
                        new CacheEvents(
                                id(node),
                                number(node, "incarnation"),
                                number(node, "first_sequence"),
                                StreamSupport.stream(node.path("events").spliterator(), false)
                                        .map(ReportParser::cacheEvent)
                                        .toList()));
    }

    static Either<RequestFailure, Leave> leave(ObjectNode body) {
        return read(body, node -> new Leave(id(node), number(node, "incarnation")));
    }

    /**
     * An upstream's word that it leaves.
     *
     * @param id the upstream
     * @param incarnation the start of the upstream that ends
     */
    record Leave(UpstreamId id, long incarnation) {}

    private static Announcement readAnnouncement(ObjectNode node) {
        UpstreamKind kind = choice(node, "kind", UpstreamKind.class);
        JsonNode coldLimit = node.path("cold_limit");
        String address = text(node, "address");
        if (!UpstreamAddress.isValid(address)) {
            throw malformed("address", "an IP address and port is needed");
        }
        return new Announcement(
                id(node),
                number(node, "incarnation"),
                address,
                new FailureDomain(text(node, "failure_domain")),
                kind,
                new ServiceName(text(node, "service")),
                StreamSupport.stream(node.path("models").spliterator(), false)
                        .map(model -> new ModelName(model.asText()))
                        .collect(Collectors.toSet()),
                kind == UpstreamKind.ENGINE ? number(node, "memory_tokens") : 0,
                node.has("role") ? choice(node, "role", UpstreamRole.class) : UpstreamRole.MIXED,
                flag(node, "checks_fencing"),
                flag(node, "cold"),
                new ColdLimit(
                        coldLimit.path("requests").asInt(1),
                        coldLimit.path("prefill_tokens").asLong(Long.MAX_VALUE)),
                count(node, "max_running"));
    }

    private static CacheEvents.CacheEvent cacheEvent(JsonNode node) {
        boolean stored =
                switch (node.path("operation").asText()) {
                    case "stored" -> true;
                    case "evicted" -> false;
                    default -> throw malformed("events.operation", "stored or evicted is needed");
                };
        if (!node.path("prefix_hash").canConvertToLong()) {
            throw malformed("events.prefix_hash", "a whole number of 64 bits is needed");
        }
        return new CacheEvents.CacheEvent(
                stored, node.path("prefix_hash").longValue(), node.path("tokens").asLong());
    }

    private static <T> Either<RequestFailure, T> read(
            ObjectNode body, Function<ObjectNode, T> reader) {
        try {
            return Either.right(reader.apply(body));
        } catch (InvalidIdentifierException exception) {
            return Either.left(
                    new RequestFailure.Malformed(
                            exception.kind(), String.valueOf(exception.getMessage())));
        } catch (FailureException exception) {
            if (exception.failure() instanceof RequestFailure failure) {
                return Either.left(failure);
            }
            throw exception;
        }
    }

    private static UpstreamId id(JsonNode node) {
        return new UpstreamId(text(node, "id"));
    }

    private static String text(JsonNode node, String key) {
        JsonNode value = node.path(key);
        if (!value.isTextual()) {
            throw malformed(key, "a text is needed");
        }
        return value.textValue();
    }

    private static long number(JsonNode node, String key) {
        JsonNode value = node.path(key);
        if (!value.canConvertToExactIntegral() || !value.canConvertToLong()) {
            throw malformed(key, "a whole number is needed");
        }
        return value.longValue();
    }

    private static int count(JsonNode node, String key) {
        long value = number(node, key);
        if (value < 0 || value > Integer.MAX_VALUE) {
            throw malformed(key, "a count is needed");
        }
        return (int) value;
    }

    private static boolean flag(JsonNode node, String key) {
        return node.path(key).asBoolean(false);
    }

    private static <E extends Enum<E>> E choice(JsonNode node, String key, Class<E> type) {
        String value = text(node, key);
        return Arrays.stream(type.getEnumConstants())
                .filter(constant -> constant.name().toLowerCase(Locale.ROOT).equals(value))
                .findFirst()
                .orElseThrow(() -> malformed(key, "'" + value + "' is not known"));
    }

    private static FailureException malformed(String key, String problem) {
        return new FailureException(new RequestFailure.Malformed(key, problem));
    }
}
