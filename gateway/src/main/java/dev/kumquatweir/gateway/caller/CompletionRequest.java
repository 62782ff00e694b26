package dev.kumquatweir.gateway.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.gateway.dispatch.Work;

/**
 * A caller's completion request. Immutable, but for the parameters, which nobody changes.
 *
 * @param format which of the two interfaces the caller uses
 * @param generation what to generate
 * @param stream whether the answer is streamed
 * @param includeUsage whether a stream ends with the numbers of tokens
 */
record CompletionRequest(
        CompletionFormat format, Work.Generation generation, boolean stream, boolean includeUsage) {
    /** Returns the text that all repeats of this request share. */
    String canonicalContent() {
        ObjectNode parameters = generation.parameters();
        return generation.model()
                + "\n"
                + generation.maximumTokens()
                + "\n"
                + parameters
                + "\n"
                + generation.prompt();
    }
}
