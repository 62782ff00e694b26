package dev.kumquatweir.gateway.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.gateway.dispatch.Work;

/**
 * A caller's parsed completion request. Immutable by convention: the JSON parameters of the
 * generation must not be modified.
 *
 * @param format API that the caller uses
 * @param generation model, prompt and parameters
 * @param stream whether the response is streamed
 * @param includeUsage whether a stream ends with a chunk of token counts
 */
record CompletionRequest(
        CompletionFormat format, Work.Generation generation, boolean stream, boolean includeUsage) {
    /** Returns a text that is equal for all repeats of this request; it is hashed for claims. */
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
