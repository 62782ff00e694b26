package dev.kumquatweir.program.permit;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MalformedException;
import dev.kumquatweir.core.pack.PackReader;
import dev.kumquatweir.core.pack.PackWriter;
import dev.kumquatweir.policy.permit.ColdEvidence;
import dev.kumquatweir.policy.permit.PermitClaim;
import dev.kumquatweir.policy.permit.PermitGrant;
import dev.kumquatweir.policy.permit.PermitPart;
import dev.kumquatweir.policy.permit.PermitRequest;
import dev.kumquatweir.policy.permit.PermitResource;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Form of permit renewals between instances. Thread-safe: holds no state. */
public final class PermitCodec {
    private static final int REQUEST_FIELDS = 5;
    private static final int CLAIM_FIELDS = 4;
    private static final int PART_FIELDS = 4;
    private static final int EVIDENCE_FIELDS = 4;
    private static final int ANSWER_FIELDS = 2;
    private static final int GRANT_FIELDS = 4;

    private PermitCodec() {}

    /** Encodes a request. */
    public static Bytes encode(PermitRequest request) {
        return new PackWriter()
                .array(REQUEST_FIELDS)
                .text(request.holder().value())
                .number(request.holderIncarnation())
                .number(request.sequence())
                .list(request.claims(), PermitCodec::writeClaim)
                .list(request.evidence(), PermitCodec::writeEvidence)
                .finish();
    }

    /** Decodes a request. */
    public static Either<MalformedContent, PermitRequest> request(Bytes content) {
        return PackReader.decode(content, PermitCodec::readRequest);
    }

    /** Encodes an answer. */
    public static Bytes encode(PermitAnswer answer) {
        return new PackWriter()
                .array(ANSWER_FIELDS)
                .text(answer.leader())
                .list(answer.grant().stream().toList(), PermitCodec::writeGrant)
                .finish();
    }

    /** Decodes an answer. */
    public static Either<MalformedContent, PermitAnswer> answer(Bytes content) {
        return PackReader.decode(content, PermitCodec::readAnswer);
    }

    private static PermitRequest readRequest(PackReader reader)
            throws IOException, MalformedException {
        reader.array(REQUEST_FIELDS);
        InstanceId holder = new InstanceId(reader.text());
        long incarnation = reader.number();
        long sequence = reader.number();
        List<PermitClaim> claims = reader.list(PermitCodec::readClaim);
        if (claims.stream().map(PermitClaim::name).distinct().count() != claims.size()) {
            throw new MalformedException("a claim is listed twice");
        }
        return new PermitRequest(
                holder, incarnation, sequence, claims, reader.list(PermitCodec::readEvidence));
    }

    private static void writeClaim(PackWriter writer, PermitClaim claim) {
        writer.array(CLAIM_FIELDS)
                .text(claim.name())
                .list(claim.parts(), PermitCodec::writePart)
                .flag(claim.held())
                .flag(claim.inUse());
    }

    private static PermitClaim readClaim(PackReader reader) throws IOException, MalformedException {
        reader.array(CLAIM_FIELDS);
        String name = reader.text();
        List<PermitPart> parts = reader.list(PermitCodec::readPart);
        if (parts.stream().map(PermitPart::resource).distinct().count() != parts.size()) {
            throw new MalformedException("claim " + name + " names a resource twice");
        }
        return new PermitClaim(name, parts, reader.flag(), reader.flag());
    }

    private static void writePart(PackWriter writer, PermitPart part) {
        writer.array(PART_FIELDS);
        switch (part.resource()) {
            case PermitResource.ColdRequests cold ->
                    writer.text("cold_requests").text(cold.upstream().value());
            case PermitResource.ColdPrefill cold ->
                    writer.text("cold_prefill").text(cold.upstream().value());
            case PermitResource.EngineMemory memory ->
                    writer.text("engine_memory").text(memory.upstream().value());
            case PermitResource.SuspectRun suspect ->
                    writer.text("suspect_run").text(suspect.contentHash());
            case PermitResource.WeightStoreLoads _ -> writer.text("weight_store_loads").text("");
        }
        writer.number(part.incarnation()).number(part.amount());
    }

    private static PermitPart readPart(PackReader reader) throws IOException, MalformedException {
        reader.array(PART_FIELDS);
        PermitResource resource = resource(reader.text(), reader.text());
        long incarnation = reader.number();
        long amount = reader.number();
        if (amount < 1) {
            throw new MalformedException("permit amount " + amount + " is below 1");
        }
        return new PermitPart(resource, incarnation, amount);
    }

    private static PermitResource resource(String kind, String name) throws MalformedException {
        return switch (kind) {
            case "cold_requests" -> new PermitResource.ColdRequests(new UpstreamId(name));
            case "cold_prefill" -> new PermitResource.ColdPrefill(new UpstreamId(name));
            case "engine_memory" -> new PermitResource.EngineMemory(new UpstreamId(name));
            case "suspect_run" -> new PermitResource.SuspectRun(name);
            case "weight_store_loads" -> {
                if (!name.isEmpty()) {
                    throw new MalformedException("weight store loads have no name");
                }
                yield new PermitResource.WeightStoreLoads();
            }
            default -> throw new MalformedException("no resource " + kind);
        };
    }

    private static void writeEvidence(PackWriter writer, ColdEvidence evidence) {
        writer.array(EVIDENCE_FIELDS)
                .text(evidence.upstream().value())
                .number(evidence.incarnation())
                .number(evidence.inTime())
                .number(evidence.late());
    }

    private static ColdEvidence readEvidence(PackReader reader)
            throws IOException, MalformedException {
        reader.array(EVIDENCE_FIELDS);
        ColdEvidence evidence =
                new ColdEvidence(
                        new UpstreamId(reader.text()),
                        reader.number(),
                        reader.smallNumber(),
                        reader.smallNumber());
        if (evidence.inTime() < 0 || evidence.late() < 0) {
            throw new MalformedException("a count of first tokens is below 0");
        }
        return evidence;
    }

    private static void writeGrant(PackWriter writer, PermitGrant grant) {
        writer.array(GRANT_FIELDS)
                .text(grant.holder().value())
                .number(grant.holderIncarnation())
                .number(grant.sequence())
                .list(grant.granted(), PackWriter::text);
    }

    private static PermitAnswer readAnswer(PackReader reader)
            throws IOException, MalformedException {
        reader.array(ANSWER_FIELDS);
        String leader = reader.text();
        List<PermitGrant> grants = reader.list(PermitCodec::readGrant);
        if (grants.size() > 1) {
            throw new MalformedException("more than one grant");
        }
        return new PermitAnswer(
                Optional.ofNullable(grants.isEmpty() ? null : grants.get(0)), leader);
    }

    private static PermitGrant readGrant(PackReader reader) throws IOException, MalformedException {
        reader.array(GRANT_FIELDS);
        return new PermitGrant(
                new InstanceId(reader.text()),
                reader.number(),
                reader.number(),
                Set.copyOf(reader.list(PackReader::text)));
    }
}
