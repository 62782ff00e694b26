package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.configuration.ApiKeyHash;
import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.configuration.OversizePolicy;
import dev.kumquatweir.core.configuration.Profile;
import dev.kumquatweir.core.configuration.RequestClass;
import dev.kumquatweir.core.configuration.Team;
import dev.kumquatweir.core.configuration.UpstreamKind;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.ProfileName;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.TeamName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.memory.AttemptIds;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.ColdLimit;
import dev.kumquatweir.policy.registry.LoadReport;
import dev.kumquatweir.policy.registry.UpstreamRole;
import dev.kumquatweir.policy.routing.RoutingOptions;
import io.vavr.control.Either;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Test fixture with a dispatcher and helpers that announce upstreams, report load and admit
 * requests.
 */
final class DispatcherFixture {
    static final ModelName MODEL = new ModelName("general");
    static final ServiceName LLM = new ServiceName("llm");
    static final ServiceName BOOKINGS = new ServiceName("bookings");
    static final Profile QUESTION =
            Profile.builder(new ProfileName("question"), LLM, RequestClass.SHORT)
                    .models(Set.of(MODEL))
                    .build();
    static final Profile DOSSIER =
            Profile.builder(new ProfileName("dossier"), LLM, RequestClass.LONG)
                    .models(Set.of(MODEL))
                    .oversize(OversizePolicy.SPLIT)
                    .build();
    static final Profile BOOKING_ACTION =
            Profile.builder(new ProfileName("hold"), BOOKINGS, RequestClass.ACTION).build();
    static final ConfigurationDocument DOCUMENT =
            ConfigurationDocument.of(
                    List.of(QUESTION, DOSSIER, BOOKING_ACTION),
                    List.of(
                            new Team(
                                    new TeamName("team"),
                                    new ApiKeyHash("00", "00"),
                                    QUESTION.name(),
                                    1)),
                    List.of());

    final Dispatcher mDispatcher;
    long mNowNanos = TimeUnit.SECONDS.toNanos(1);
    private int mRequests;

    DispatcherFixture() {
        this(new SimpleRecovery());
    }

    DispatcherFixture(RecoveryPolicy recovery) {
        mDispatcher =
                PolicyDispatcher.builder(
                                new AttemptIds(new InstanceId("i0"), 1),
                                RoutingOptions.of(domain("a"), 1))
                        .recovery(recovery)
                        .build();
        mDispatcher.configure(DOCUMENT, mNowNanos);
    }

    static FailureDomain domain(String name) {
        return new FailureDomain(name);
    }

    Announcement engine(String name, String domain, long incarnation, boolean cold) {
        Announcement announcement =
                new Announcement(
                        new UpstreamId(name),
                        incarnation,
                        "127.0.0.1:9",
                        domain(domain),
                        UpstreamKind.ENGINE,
                        LLM,
                        Set.of(MODEL),
                        100_000,
                        UpstreamRole.MIXED,
                        true,
                        cold,
                        new ColdLimit(2, 10_000),
                        16);
        mDispatcher.upstreamAnnounced(announcement, mNowNanos);
        return announcement;
    }

    void worker(String name) {
        mDispatcher.upstreamAnnounced(
                new Announcement(
                        new UpstreamId(name),
                        1,
                        "127.0.0.1:9",
                        domain("a"),
                        UpstreamKind.SERVICE,
                        BOOKINGS,
                        Set.of(),
                        0,
                        UpstreamRole.MIXED,
                        true,
                        false,
                        new ColdLimit(1, 0),
                        4),
                mNowNanos);
    }

    void report(String name, long sequence, int running, boolean cold) {
        mDispatcher.loadReported(
                new LoadReport(new UpstreamId(name), 1, sequence, running, 0, 0, 0, cold),
                mNowNanos);
    }

    WorkRequest request(Profile profile, long prompt, long output, long limitMillis) {
        return request("content", profile, prompt, output, limitMillis);
    }

    /** Returns a request with the given content and a deadline of 30 s. */
    WorkRequest other(String content, Profile profile, long prompt, long output) {
        return request(content, profile, prompt, output, 30_000);
    }

    private WorkRequest request(
            String content, Profile profile, long prompt, long output, long limitMillis) {
        return new WorkRequest(
                new RequestId("r" + ++mRequests),
                new TeamName("team"),
                profile,
                profile.service().equals(LLM) ? MODEL : null,
                prompt,
                output,
                List.of(),
                content,
                profile.repeatable(),
                mNowNanos,
                mNowNanos + TimeUnit.MILLISECONDS.toNanos(limitMillis));
    }

    Either<RequestFailure, Void> admit(WorkRequest request) {
        return mDispatcher.admit(request, mNowNanos);
    }

    WorkRequest admitQuestion() {
        WorkRequest request = request(QUESTION, 1_000, 100, 30_000);
        if (admit(request).isLeft()) {
            throw new AssertionError("refused: " + request);
        }
        return request;
    }

    List<DispatchAction> actions() {
        return mDispatcher.pollActions(mNowNanos);
    }

    List<DispatchAction.Start> starts() {
        return actions().stream()
                .filter(action -> action instanceof DispatchAction.Start)
                .map(action -> (DispatchAction.Start) action)
                .toList();
    }

    void observe(AttemptEvent event) {
        mDispatcher.handleEvent(event, mNowNanos);
    }

    void progress(AttemptId attempt, long tokens) {
        observe(new AttemptEvent.Progress(attempt, tokens));
    }

    void pass(long millis) {
        mNowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
