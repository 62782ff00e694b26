package dev.kumquatweir.gateway.oversize;

import dev.kumquatweir.gateway.dispatch.AttemptOrder;
import dev.kumquatweir.gateway.dispatch.PromptBlocks;
import dev.kumquatweir.gateway.dispatch.Work;
import dev.kumquatweir.policy.oversize.PromptPart;
import dev.kumquatweir.policy.registry.Announcement;
import java.util.List;

/** Makes the order of one part of a prompt. Holds no state. */
final class PromptCut {
    private PromptCut() {}

    /** Returns the order that processes a part without an answer. */
    static AttemptOrder prefill(
            AttemptOrder whole,
            PromptPart part,
            Announcement engine,
            List<String> handles,
            long remainingMillis) {
        Work.Generation work = (Work.Generation) whole.work();
        String prompt = upTo(work.prompt(), part.toToken());
        List<Long> hashes =
                whole.prefixHashes()
                        .subList(
                                0,
                                Math.min(
                                        whole.prefixHashes().size(),
                                        prompt.length() / PromptBlocks.CHARACTERS_IN_BLOCK));
        return new AttemptOrder(
                part.attempt(),
                engine,
                List.of(),
                new Work.Generation(work.model(), prompt, 0, work.parameters()),
                handles,
                0,
                "",
                whole.priority(),
                remainingMillis,
                hashes,
                whole.repeatable());
    }

    /** Returns the order that processes the last part and generates the answer. */
    static AttemptOrder generate(AttemptOrder whole, List<String> handles, long remainingMillis) {
        return new AttemptOrder(
                whole.attempt(),
                whole.upstream(),
                List.of(),
                whole.work(),
                handles,
                whole.resumeOffset(),
                whole.resumeText(),
                whole.priority(),
                remainingMillis,
                whole.prefixHashes(),
                whole.repeatable());
    }

    /** A pair of surrogates is one character of the text and is not cut apart. */
    private static String upTo(String prompt, long tokens) {
        int end = (int) Math.min(prompt.length(), tokens * PromptBlocks.CHARACTERS_IN_TOKEN);
        boolean inPair =
                end > 0
                        && end < prompt.length()
                        && Character.isSurrogatePair(prompt.charAt(end - 1), prompt.charAt(end));
        return prompt.substring(0, inPair ? end - 1 : end);
    }
}
