package dev.kumquatweir.gateway.dispatch;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.policy.registry.Announcement;
import java.util.List;

/**
 * One attempt as the upstream client sends it. Immutable.
 *
 * @param attempt the attempt
 * @param upstream where to send it
 * @param partners further engines for a prompt beyond one engine, empty for all other work
 * @param work what to do
 * @param kvHandles imported caches that cover the start of the prompt, in order
 * @param resumeOffset tokens that the caller already has
 * @param resumeText the text of those tokens
 * @param priority priority on the engine, 0 to 9
 * @param remainingMillis time left for the whole answer
 * @param prefixHashes chained hashes of the prompt's blocks
 * @param repeatable false if the upstream must not see the work twice
 */
public record AttemptOrder(
        AttemptId attempt,
        Announcement upstream,
        List<Announcement> partners,
        Work work,
        List<String> kvHandles,
        long resumeOffset,
        String resumeText,
        int priority,
        long remainingMillis,
        List<Long> prefixHashes,
        boolean repeatable) {

    /** Copies the lists, so that the record is immutable. */
    public AttemptOrder {
        partners = List.copyOf(partners);
        kvHandles = List.copyOf(kvHandles);
        prefixHashes = List.copyOf(prefixHashes);
    }
}
