package dev.kumquatweir.gateway.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.gateway.dispatch.Work;
import java.util.List;

/**
 * A caller's parsed completion request. Immutable by convention: the JSON parameters of the
 * generation must not be modified.
 *
 * @param format API that the caller uses
 * @param generation model, prompt and parameters
 * @param sharedMessages all messages but the last, as they stand in the prompt
 * @param stream whether the response is streamed
 * @param includeUsage whether a stream ends with a chunk of token counts
 */
record CompletionRequest(
        CompletionFormat format,
        Work.Generation generation,
        List<String> sharedMessages,
        boolean stream,
        boolean includeUsage) {
    /** Copies the list. */
    CompletionRequest {
        sharedMessages = List.copyOf(sharedMessages);
    }

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
