package dev.kumquatweir.bench;

import dev.kumquatweir.core.configuration.Profile;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.core.identity.TeamName;
import dev.kumquatweir.policy.dispatch.WorkRequest;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * A request of the schedule, with what only the engine finds out. Immutable.
 *
 * @param id number of the request
 * @param atNanos when it arrives at its instance
 * @param instance number of that instance
 * @param team the team
 * @param profile its profile
 * @param model the model, null for a plain service
 * @param promptTokens length of the prompt
 * @param sharedTokens leading tokens that earlier prompts have as well
 * @param maximumOutputTokens longest answer allowed
 * @param outputTokens length of the answer; for a plain service its time in milliseconds
 * @param prefixHashes hashes of the prompt's blocks
 */
record Arrival(
        int id,
        long atNanos,
        int instance,
        TeamName team,
        Profile profile,
        @Nullable ModelName model,
        long promptTokens,
        long sharedTokens,
        long maximumOutputTokens,
        long outputTokens,
        List<Long> prefixHashes) {

    /** Returns the request as the policy sees it. */
    WorkRequest request() {
        return new WorkRequest(
                requestId(),
                team,
                profile,
                model,
                promptTokens,
                maximumOutputTokens,
                prefixHashes,
                "content-" + id,
                profile.repeatable(),
                atNanos,
                deadlineNanos());
    }

    /** Returns the name of the request. */
    RequestId requestId() {
        return new RequestId("r" + id);
    }

    /** Returns when it must have ended. */
    long deadlineNanos() {
        return atNanos + TimeUnit.MILLISECONDS.toNanos(profile.timeLimitMillis());
    }

    /** Returns the time that it takes on an idle engine that has the shared tokens cached. */
    long idleNanos() {
        return model == null
                ? TimeUnit.MILLISECONDS.toNanos(outputTokens)
                : EngineConstants.idleNanos(promptTokens, sharedTokens, outputTokens);
    }

    /** Returns the tokens of the prompt and of the answer, the measure of useful work. */
    long workTokens() {
        return model == null ? 0 : promptTokens + outputTokens;
    }
}
