package dev.kumquatweir.gateway.caller;

import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.configuration.OversizePolicy;
import dev.kumquatweir.core.configuration.Profile;
import dev.kumquatweir.core.configuration.ServiceRoute;
import dev.kumquatweir.core.configuration.Team;
import dev.kumquatweir.core.control.ClaimRequest;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.IdempotencyKey;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.ProfileName;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.gateway.dispatch.PromptBlocks;
import dev.kumquatweir.gateway.dispatch.Work;
import dev.kumquatweir.policy.dispatch.WorkRequest;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/** Creates submissions from callers' requests. Thread-safe. */
final class SubmissionFactory {
    /** Bounds what one long conversation adds to the tables of the quarantine. */
    private static final int MAXIMUM_SHARED_PARTS = 256;

    private final String mIdPrefix;
    private final AtomicLong mRequestCounter = new AtomicLong();

    /**
     * @param instance this instance
     * @param incarnation increases with each start of the instance, so that request ids are unique
     */
    SubmissionFactory(InstanceId instance, long incarnation) {
        mIdPrefix = instance + ":" + incarnation + ":";
    }

    RequestId nextId() {
        return new RequestId(mIdPrefix + mRequestCounter.incrementAndGet());
    }

    /** Creates the submission of a completion request. */
    Either<RequestFailure, Submission> completion(
            RequestId id,
            ConfigurationDocument document,
            Team team,
            CallerHeaders headers,
            CompletionRequest completion,
            long nowNanos) {
        Work.Generation work = completion.generation();
        return selectProfile(document, team, headers, work.model())
                .flatMap(
                        profile ->
                                submission(
                                        id,
                                        team,
                                        profile,
                                        headers,
                                        work,
                                        work.model(),
                                        profile.repeatable(),
                                        completion.canonicalContent(),
                                        nowNanos))
                .map(submission -> submission.withSharedParts(sharedParts(completion)));
    }

    /** Creates the submission of a request for a plain service. */
    Either<RequestFailure, Submission> serviceCall(
            RequestId id,
            ConfigurationDocument document,
            Team team,
            CallerHeaders headers,
            ServiceRoute route,
            Work.ServiceCall work,
            long nowNanos) {
        boolean repeatable = route.repeatable(work.method(), work.path());
        String content =
                route.name() + " " + work.method() + " " + work.path() + "\n" + bodyHash(work);
        ProfileName name = headers.profile().orElse(route.profile());
        return findProfile(document, name)
                .flatMap(
                        profile ->
                                submission(
                                        id,
                                        team,
                                        profile.withService(route.name()),
                                        headers,
                                        work,
                                        null,
                                        repeatable,
                                        content,
                                        nowNanos));
    }

    /**
     * Creates the submission, with a claim if the request is not repeatable. Such a request is not
     * split, because its answer would be sent long after the time until which its claim allows
     * sending.
     */
    private Either<RequestFailure, Submission> submission(
            RequestId id,
            Team team,
            Profile profile,
            CallerHeaders headers,
            Work work,
            @Nullable ModelName model,
            boolean repeatable,
            String content,
            long nowNanos) {
        long timeLimitMillis = Math.min(profile.timeLimitMillis(), headers.timeoutMillis());
        String contentHash = sha256(content.getBytes(StandardCharsets.UTF_8));
        WorkRequest request =
                new WorkRequest(
                        id,
                        team.name(),
                        repeatable ? profile : profile.withOversize(OversizePolicy.REFUSE),
                        model,
                        promptTokens(work),
                        maximumTokens(work),
                        prefixHashes(work),
                        contentHash,
                        repeatable,
                        nowNanos,
                        nowNanos + TimeUnit.MILLISECONDS.toNanos(timeLimitMillis));
        if (repeatable) {
            return Either.right(new Submission(request, work, Optional.empty()));
        }
        return headers.idempotencyKey()
                .map(key -> claim(team, key, request, timeLimitMillis))
                .map(
                        claim ->
                                Either.<RequestFailure, Submission>right(
                                        new Submission(request, work, Optional.of(claim))))
                .orElseGet(() -> Either.left(new RequestFailure.IdempotencyKeyMissing()));
    }

    private static ClaimRequest claim(
            Team team, IdempotencyKey key, WorkRequest request, long timeLimitMillis) {
        String hash =
                sha256(
                        (request.profile().name() + "\n" + request.contentHash())
                                .getBytes(StandardCharsets.UTF_8));
        return new ClaimRequest(team.name(), key, hash, request.id(), timeLimitMillis);
    }

    private static Either<RequestFailure, Profile> selectProfile(
            ConfigurationDocument document, Team team, CallerHeaders headers, ModelName model) {
        if (headers.profile().isPresent()) {
            return findProfile(document, headers.profile().get());
        }
        Optional<Profile> profileOfModel = document.profileOfModel(model);
        if (profileOfModel.isPresent()) {
            return Either.right(profileOfModel.get());
        }
        return findProfile(document, team.defaultProfile())
                .filterOrElse(
                        profile -> profile.models().isEmpty(),
                        profile -> new RequestFailure.UnknownName("model", model.value()));
    }

    private static Either<RequestFailure, Profile> findProfile(
            ConfigurationDocument document, ProfileName name) {
        Profile profile = document.profiles().get(name);
        return profile == null
                ? Either.left(new RequestFailure.UnknownName("profile", name.value()))
                : Either.right(profile);
    }

    private static long promptTokens(Work work) {
        return switch (work) {
            case Work.Generation generation -> PromptBlocks.tokens(generation.prompt());
            case Work.ServiceCall _ -> 0;
        };
    }

    private static long maximumTokens(Work work) {
        return switch (work) {
            case Work.Generation generation -> generation.maximumTokens();
            case Work.ServiceCall _ -> 0;
        };
    }

    private static List<Long> prefixHashes(Work work) {
        return switch (work) {
            case Work.Generation generation ->
                    PromptBlocks.hashes(generation.model().value(), generation.prompt());
            case Work.ServiceCall _ -> List.of();
        };
    }

    /** Hashes messages together with the model, since another model may not crash on them. */
    private static List<String> sharedParts(CompletionRequest completion) {
        return completion.sharedMessages().stream()
                .limit(MAXIMUM_SHARED_PARTS)
                .map(message -> completion.generation().model() + "\n" + message)
                .map(message -> sha256(message.getBytes(StandardCharsets.UTF_8)))
                .distinct()
                .toList();
    }

    private static String bodyHash(Work.ServiceCall work) {
        return sha256(work.body().asReadOnlyBuffer());
    }

    private static String sha256(byte[] content) {
        return sha256(ByteBuffer.wrap(content));
    }

    private static String sha256(ByteBuffer content) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(content);
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("SHA-256 is not available", exception);
        }
    }
}
