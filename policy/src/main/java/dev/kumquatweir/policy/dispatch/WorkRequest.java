package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.configuration.Profile;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.core.identity.TeamName;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A request as the dispatcher handles it. Immutable.
 *
 * @param id the request
 * @param team team of the caller
 * @param profile profile that defines how it is served
 * @param model model to run, null for a plain service
 * @param promptTokens estimated length of the prompt, 0 for a plain service
 * @param maximumOutputTokens maximum length of the answer, in tokens
 * @param prefixHashes chained hashes of the prompt's blocks of 256 tokens, first block first
 * @param contentHash hash of the content, identical for repetitions of the request
 * @param sharedParts hashes of the parts of the prompt that other prompts may have too, in order
 * @param repeatable false if it may be executed at most once
 * @param arrivedNanos when the request arrived
 * @param deadlineNanos deadline by which it has to end
 */
public record WorkRequest(
        RequestId id,
        TeamName team,
        Profile profile,
        @Nullable ModelName model,
        long promptTokens,
        long maximumOutputTokens,
        List<Long> prefixHashes,
        String contentHash,
        List<String> sharedParts,
        boolean repeatable,
        long arrivedNanos,
        long deadlineNanos) {

    /** Copies the lists, so that the record is immutable. */
    public WorkRequest {
        prefixHashes = List.copyOf(prefixHashes);
        sharedParts = List.copyOf(sharedParts);
    }

    /** Creates a request that shares no part of its prompt. */
    public WorkRequest(
            RequestId id,
            TeamName team,
            Profile profile,
            @Nullable ModelName model,
            long promptTokens,
            long maximumOutputTokens,
            List<Long> prefixHashes,
            String contentHash,
            boolean repeatable,
            long arrivedNanos,
            long deadlineNanos) {
        this(
                id,
                team,
                profile,
                model,
                promptTokens,
                maximumOutputTokens,
                prefixHashes,
                contentHash,
                List.of(),
                repeatable,
                arrivedNanos,
                deadlineNanos);
    }

    /** Returns this request with the parts of its prompt that others may share. */
    public WorkRequest withSharedParts(List<String> parts) {
        return new WorkRequest(
                id,
                team,
                profile,
                model,
                promptTokens,
                maximumOutputTokens,
                prefixHashes,
                contentHash,
                parts,
                repeatable,
                arrivedNanos,
                deadlineNanos);
    }
}
