package dev.kumquatweir.gateway.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.configuration.ApiKeyHash;
import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.configuration.OversizePolicy;
import dev.kumquatweir.core.configuration.Profile;
import dev.kumquatweir.core.configuration.RequestClass;
import dev.kumquatweir.core.configuration.ServiceRoute;
import dev.kumquatweir.core.configuration.Team;
import dev.kumquatweir.core.configuration.UpstreamKind;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.IdempotencyKey;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.ProfileName;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.TeamName;
import dev.kumquatweir.gateway.dispatch.Work;
import dev.kumquatweir.gateway.http.JsonBodies;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class SubmissionFactoryTest {
    private static final ProfileName PROFILE = new ProfileName("dossier");
    private static final ServiceName ENGINE_SERVICE = new ServiceName("quote-llm");
    private static final ServiceName PLAIN_SERVICE = new ServiceName("bookings");
    private static final Team TEAM =
            new Team(new TeamName("ipoh"), ApiKeyHash.of("0a", "ipoh.key"), PROFILE, 1);
    private static final ServiceRoute ROUTE =
            new ServiceRoute(PLAIN_SERVICE, UpstreamKind.SERVICE, PROFILE, List.of());
    private static final ConfigurationDocument DOCUMENT =
            ConfigurationDocument.of(
                    List.of(Profile.builder(PROFILE, ENGINE_SERVICE, RequestClass.LONG).build()),
                    List.of(TEAM),
                    List.of(ROUTE));

    private final SubmissionFactory mFactory = new SubmissionFactory(new InstanceId("entry-1"), 7);

    /**
     * Guards against refusing a prompt too long for one engine although its profile allows a split.
     */
    @Test
    void repeatablePromptKeepsTheOversizePolicyOfItsProfile() {
        Submission submission = completion(Long.MAX_VALUE);
        assertThat(submission.request().profile().oversize(), is(OversizePolicy.SPLIT));
    }

    /** Guards against an answer sent after the time until which the claim allows sending. */
    @Test
    void nonRepeatablePromptIsNotSplit() {
        Profile once =
                Profile.builder(PROFILE, ENGINE_SERVICE, RequestClass.LONG)
                        .repeatable(false)
                        .build();
        ConfigurationDocument document =
                ConfigurationDocument.of(List.of(once), List.of(TEAM), List.of(ROUTE));
        Submission submission =
                completion(document, Long.MAX_VALUE, Optional.of(new IdempotencyKey("key-1")));
        assertThat(submission.request().profile().oversize(), is(OversizePolicy.REFUSE));
    }

    /** Guards against ignoring a timeout header shorter than the limit of the profile. */
    @Test
    void timeoutHeaderShortensTheDeadline() {
        long limit = completion(2_000).request().deadlineNanos();
        assertThat(limit, is(TimeUnit.MILLISECONDS.toNanos(2_000)));
    }

    /**
     * Guards against replaying the response of a different request that was sent under the same
     * idempotency key.
     */
    @Test
    void claimHashCoversPathAndBody() {
        String first = claimHash("/holds", "{}");
        assertThat(claimHash("/holds", "{}"), equalTo(first));
        assertThat(claimHash("/holds", "{ }").equals(first), is(false));
        assertThat(claimHash("/slots", "{}").equals(first), is(false));
    }

    /**
     * Guards against executing a non-repeatable request without an idempotency key, whose repeats
     * could not be recognised.
     */
    @Test
    void serviceCallWithoutIdempotencyKeyIsRefused() {
        assertThat(
                call("/holds", "{}", Optional.empty()).getLeft(),
                instanceOf(RequestFailure.IdempotencyKeyMissing.class));
    }

    private Submission completion(long timeoutMillis) {
        return completion(DOCUMENT, timeoutMillis, Optional.empty());
    }

    private Submission completion(
            ConfigurationDocument document, long timeoutMillis, Optional<IdempotencyKey> key) {
        Work.Generation work =
                new Work.Generation(new ModelName("quote-7b"), "lobby", 10, JsonBodies.object());
        CompletionRequest request =
                new CompletionRequest(CompletionFormat.TEXT, work, List.of(), false, false);
        CallerHeaders headers = new CallerHeaders("", Optional.empty(), timeoutMillis, key);
        return mFactory.completion(mFactory.nextId(), document, TEAM, headers, request, 0).get();
    }

    private String claimHash(String path, String body) {
        return call(path, body, Optional.of(new IdempotencyKey("key-1")))
                .get()
                .claim()
                .orElseThrow()
                .requestHash();
    }

    private Either<RequestFailure, Submission> call(
            String path, String body, Optional<IdempotencyKey> key) {
        CallerHeaders headers = new CallerHeaders("", Optional.empty(), Long.MAX_VALUE, key);
        Work.ServiceCall work = new Work.ServiceCall("POST", path, List.of(), Bytes.ofText(body));
        return mFactory.serviceCall(mFactory.nextId(), DOCUMENT, TEAM, headers, ROUTE, work, 0);
    }
}
