package dev.kumquatweir.program.permit;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MalformedContentException;
import dev.kumquatweir.core.pack.MessagePackReader;
import dev.kumquatweir.core.pack.MessagePackWriter;
import dev.kumquatweir.policy.permit.FirstTokenEvidence;
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
    private static final int RESPONSE_FIELDS = 2;
    private static final int GRANT_FIELDS = 4;

    private PermitCodec() {}

    /** Encodes a request. */
    public static Bytes encode(PermitRequest request) {
        return new MessagePackWriter()
                .writeArrayHeader(REQUEST_FIELDS)
                .writeString(request.holder().value())
                .writeLong(request.holderIncarnation())
                .writeLong(request.sequence())
                .writeList(request.claims(), PermitCodec::writeClaim)
                .writeList(request.evidence(), PermitCodec::writeEvidence)
                .toBytes();
    }

    /** Decodes a request. */
    public static Either<MalformedContent, PermitRequest> decodeRequest(Bytes content) {
        return MessagePackReader.decode(content, PermitCodec::readRequest);
    }

    /** Encodes an answer. */
    public static Bytes encode(PermitResponse response) {
        return new MessagePackWriter()
                .writeArrayHeader(RESPONSE_FIELDS)
                .writeString(response.leader())
                .writeList(response.grant().stream().toList(), PermitCodec::writeGrant)
                .toBytes();
    }

    /** Decodes an answer. */
    public static Either<MalformedContent, PermitResponse> decodeResponse(Bytes content) {
        return MessagePackReader.decode(content, PermitCodec::readResponse);
    }

    private static PermitRequest readRequest(MessagePackReader reader)
            throws IOException, MalformedContentException {
        reader.expectArrayHeader(REQUEST_FIELDS);
        InstanceId holder = new InstanceId(reader.readString());
        long incarnation = reader.readLong();
        long sequence = reader.readLong();
        List<PermitClaim> claims = reader.readList(PermitCodec::readClaim);
        if (claims.stream().map(PermitClaim::name).distinct().count() != claims.size()) {
            throw new MalformedContentException("a claim is listed twice");
        }
        return new PermitRequest(
                holder, incarnation, sequence, claims, reader.readList(PermitCodec::readEvidence));
    }

    private static void writeClaim(MessagePackWriter writer, PermitClaim claim) {
        writer.writeArrayHeader(CLAIM_FIELDS)
                .writeString(claim.name())
                .writeList(claim.parts(), PermitCodec::writePart)
                .writeBoolean(claim.held())
                .writeBoolean(claim.inUse());
    }

    private static PermitClaim readClaim(MessagePackReader reader)
            throws IOException, MalformedContentException {
        reader.expectArrayHeader(CLAIM_FIELDS);
        String name = reader.readString();
        List<PermitPart> parts = reader.readList(PermitCodec::readPart);
        if (parts.stream().map(PermitPart::resource).distinct().count() != parts.size()) {
            throw new MalformedContentException("claim " + name + " names a resource twice");
        }
        return new PermitClaim(name, parts, reader.readBoolean(), reader.readBoolean());
    }

    private static void writePart(MessagePackWriter writer, PermitPart part) {
        writer.writeArrayHeader(PART_FIELDS);
        switch (part.resource()) {
            case PermitResource.ColdRequests cold ->
                    writer.writeString("cold_requests").writeString(cold.upstream().value());
            case PermitResource.ColdPrefill cold ->
                    writer.writeString("cold_prefill").writeString(cold.upstream().value());
            case PermitResource.EngineMemory memory ->
                    writer.writeString("engine_memory").writeString(memory.upstream().value());
            case PermitResource.SuspectRun suspect ->
                    writer.writeString("suspect_run").writeString(suspect.contentHash());
            case PermitResource.WeightStoreLoads _ ->
                    writer.writeString("weight_store_loads").writeString("");
        }
        writer.writeLong(part.incarnation()).writeLong(part.amount());
    }

    private static PermitPart readPart(MessagePackReader reader)
            throws IOException, MalformedContentException {
        reader.expectArrayHeader(PART_FIELDS);
        PermitResource resource = resource(reader.readString(), reader.readString());
        long incarnation = reader.readLong();
        long amount = reader.readLong();
        if (amount < 1) {
            throw new MalformedContentException("permit amount " + amount + " is below 1");
        }
        return new PermitPart(resource, incarnation, amount);
    }

    private static PermitResource resource(String kind, String name)
            throws MalformedContentException {
        return switch (kind) {
            case "cold_requests" -> new PermitResource.ColdRequests(new UpstreamId(name));
            case "cold_prefill" -> new PermitResource.ColdPrefill(new UpstreamId(name));
            case "engine_memory" -> new PermitResource.EngineMemory(new UpstreamId(name));
            case "suspect_run" -> new PermitResource.SuspectRun(name);
            case "weight_store_loads" -> {
                if (!name.isEmpty()) {
                    throw new MalformedContentException("weight store loads have no name");
                }
                yield new PermitResource.WeightStoreLoads();
            }
            default -> throw new MalformedContentException("no resource " + kind);
        };
    }

    private static void writeEvidence(MessagePackWriter writer, FirstTokenEvidence evidence) {
        writer.writeArrayHeader(EVIDENCE_FIELDS)
                .writeString(evidence.upstream().value())
                .writeLong(evidence.incarnation())
                .writeLong(evidence.inTime())
                .writeLong(evidence.late());
    }

    private static FirstTokenEvidence readEvidence(MessagePackReader reader)
            throws IOException, MalformedContentException {
        reader.expectArrayHeader(EVIDENCE_FIELDS);
        FirstTokenEvidence evidence =
                new FirstTokenEvidence(
                        new UpstreamId(reader.readString()),
                        reader.readLong(),
                        reader.readInt(),
                        reader.readInt());
        if (evidence.inTime() < 0 || evidence.late() < 0) {
            throw new MalformedContentException("a count of first tokens is below 0");
        }
        return evidence;
    }

    private static void writeGrant(MessagePackWriter writer, PermitGrant grant) {
        writer.writeArrayHeader(GRANT_FIELDS)
                .writeString(grant.holder().value())
                .writeLong(grant.holderIncarnation())
                .writeLong(grant.sequence())
                .writeList(grant.granted(), MessagePackWriter::writeString);
    }

    private static PermitResponse readResponse(MessagePackReader reader)
            throws IOException, MalformedContentException {
        reader.expectArrayHeader(RESPONSE_FIELDS);
        String leader = reader.readString();
        List<PermitGrant> grants = reader.readList(PermitCodec::readGrant);
        if (grants.size() > 1) {
            throw new MalformedContentException("more than one grant");
        }
        return new PermitResponse(
                Optional.ofNullable(grants.isEmpty() ? null : grants.get(0)), leader);
    }

    private static PermitGrant readGrant(MessagePackReader reader)
            throws IOException, MalformedContentException {
        reader.expectArrayHeader(GRANT_FIELDS);
        return new PermitGrant(
                new InstanceId(reader.readString()),
                reader.readLong(),
                reader.readLong(),
                Set.copyOf(reader.readList(MessagePackReader::readString)));
    }
}
