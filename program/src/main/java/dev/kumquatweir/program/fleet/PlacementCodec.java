package dev.kumquatweir.program.fleet;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MalformedException;
import dev.kumquatweir.core.pack.PackReader;
import dev.kumquatweir.core.pack.PackWriter;
import dev.kumquatweir.policy.placement.PlacementAction;
import dev.kumquatweir.policy.placement.PlacementGrant;
import dev.kumquatweir.policy.placement.PlacementHelper;
import dev.kumquatweir.policy.placement.PlacementKey;
import dev.kumquatweir.policy.placement.PlacementRefusal;
import dev.kumquatweir.policy.placement.PlacementRequest;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Form of requests for upstreams and of decisions. Times are sent as what is left, since the clocks
 * of two machines have nothing in common. Thread-safe: holds no state.
 */
final class PlacementCodec {
    private PlacementCodec() {}

    static Bytes encode(PlacementRequest request, long nowNanos) {
        PackWriter writer = new PackWriter();
        write(writer, request, nowNanos);
        return writer.finish();
    }

    static Either<MalformedContent, PlacementRequest> request(
            InstanceId owner, Bytes content, long nowNanos) {
        return PackReader.decode(content, reader -> read(reader, owner, nowNanos));
    }

    static void write(PackWriter writer, PlacementRequest request, long nowNanos) {
        writer.number(request.key().number()).text(request.requestId());
        writer.text(request.service().value()).text(request.contentHash());
        writer.number(micros(request.targetNanos() - nowNanos));
        writer.number(micros(request.latestNanos() - nowNanos));
        writer.number(micros(request.deadlineNanos() - nowNanos));
        writer.number(request.promptTokens()).number(request.outputTokens());
        writer.number(request.targetGapMillis()).number(request.priority());
        writer.list(List.copyOf(request.excluded()), (target, each) -> target.text(each.value()));
        writer.flag(request.repeat());
        writer.text(request.domain().map(FailureDomain::value).orElse(""));
    }

    static PlacementRequest read(PackReader reader, InstanceId owner, long nowNanos)
            throws IOException, MalformedException {
        PlacementKey key = new PlacementKey(owner, reader.number());
        PlacementRequest.Builder builder =
                PlacementRequest.builder(key, reader.text(), new ServiceName(reader.text()))
                        .contentHash(reader.text());
        builder.times(
                nowNanos + nanos(reader.number()),
                nowNanos + nanos(reader.number()),
                nowNanos + nanos(reader.number()));
        builder.work(reader.number(), reader.number(), reader.number());
        builder.priority(reader.smallNumber());
        List<UpstreamId> excluded = reader.list(source -> new UpstreamId(source.text()));
        builder.earlier(Set.copyOf(excluded), reader.flag());
        String domain = reader.text();
        if (!domain.isEmpty()) {
            builder.domain(new FailureDomain(domain));
        }
        return builder.build();
    }

    /** Encodes a decision; an empty one says that this instance does not schedule. */
    static Bytes encode(Optional<PlacementAction> action) {
        PackWriter writer = new PackWriter();
        if (action.isEmpty()) {
            return writer.text("not_leading").finish();
        }
        switch (action.get()) {
            case PlacementAction.Grant grant -> write(writer, grant.grant());
            case PlacementAction.Reject reject ->
                    writer.text("reject")
                            .text(reject.reason().name())
                            .number(reject.retryAfterMillis());
        }
        return writer.finish();
    }

    private static void write(PackWriter writer, PlacementGrant grant) {
        writer.text("grant").text(grant.upstream().value()).text(grant.address());
        writer.number(grant.expectedMillis());
        writer.list(
                grant.helpers(),
                (target, helper) ->
                        target.text(helper.upstream().value())
                                .text(helper.address())
                                .number(helper.reservedTokens()));
    }

    static Either<MalformedContent, Optional<PlacementAction>> action(
            PlacementKey key, Bytes content) {
        return PackReader.decode(
                content,
                reader -> {
                    String kind = reader.text();
                    return switch (kind) {
                        case "not_leading" -> Optional.<PlacementAction>empty();
                        case "grant" ->
                                Optional.<PlacementAction>of(
                                        new PlacementAction.Grant(key, readGrant(reader)));
                        case "reject" ->
                                Optional.<PlacementAction>of(
                                        new PlacementAction.Reject(
                                                key, refusal(reader.text()), reader.number()));
                        default -> throw new MalformedException("no decision " + kind);
                    };
                });
    }

    private static PlacementGrant readGrant(PackReader reader)
            throws IOException, MalformedException {
        return new PlacementGrant(
                new UpstreamId(reader.text()),
                reader.text(),
                reader.number(),
                reader.list(
                        source ->
                                new PlacementHelper(
                                        new UpstreamId(source.text()),
                                        source.text(),
                                        source.number())));
    }

    private static PlacementRefusal refusal(String name) throws MalformedException {
        try {
            return PlacementRefusal.valueOf(name);
        } catch (IllegalArgumentException unknown) {
            throw new MalformedException("no refusal " + name);
        }
    }

    private static long micros(long nanos) {
        return TimeUnit.NANOSECONDS.toMicros(nanos);
    }

    private static long nanos(long micros) {
        return TimeUnit.MICROSECONDS.toNanos(micros);
    }
}
