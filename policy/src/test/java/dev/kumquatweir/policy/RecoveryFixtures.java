package dev.kumquatweir.policy;

import dev.kumquatweir.core.configuration.Profile;
import dev.kumquatweir.core.configuration.RequestClass;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.ProfileName;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.TeamName;
import dev.kumquatweir.policy.dispatch.WorkRequest;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Creates requests for the tests of the recovery policies. */
public final class RecoveryFixtures {
    public static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    public static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private RecoveryFixtures() {}

    public static WorkRequest request(
            RequestClass requestClass, long promptTokens, long deadlineNanos) {
        Profile profile =
                Profile.builder(
                                new ProfileName("profile"),
                                new ServiceName("quote-llm"),
                                requestClass)
                        .build();
        return new WorkRequest(
                new RequestId("request-1"),
                new TeamName("team-1"),
                profile,
                new ModelName("model-1"),
                promptTokens,
                100,
                List.of(),
                "hash-1",
                profile.repeatable(),
                0,
                deadlineNanos);
    }
}
