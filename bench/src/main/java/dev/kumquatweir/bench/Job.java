package dev.kumquatweir.bench;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.policy.dispatch.AttemptEvent;
import java.util.List;

/**
 * One attempt as an upstream sees it. Immutable.
 *
 * @param attempt the attempt
 * @param instance number of the instance that sent it
 * @param request the request, with the length of its answer
 * @param offset tokens that the caller has
 * @param priority priority on the engine
 * @param partners engines that lend memory
 * @param listener takes what the upstream answers, at the time it leaves the upstream
 */
record Job(
        AttemptId attempt,
        int instance,
        Arrival request,
        long offset,
        int priority,
        List<EngineFake> partners,
        Listener listener) {

    /** Takes the answers of an upstream. */
    interface Listener {
        /** The upstream has taken the attempt. */
        void accepted();

        /** The upstream does not take the attempt. */
        void refused(AttemptEvent.RefusalReason reason);

        /** A token; the number of tokens of the answer so far. */
        void token(long tokens);

        /** The answer is whole. */
        void finished(long tokens, long cachedTokens);

        /** The upstream died. */
        void broken();
    }

    /** Returns the memory that each engine reserves. */
    long memoryShare() {
        long whole = request.promptTokens() + request.maximumOutputTokens();
        int parts = 1 + partners.size();
        return (whole + parts - 1) / parts;
    }
}
