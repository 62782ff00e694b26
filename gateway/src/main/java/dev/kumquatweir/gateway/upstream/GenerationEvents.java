package dev.kumquatweir.gateway.upstream;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.gateway.dispatch.AttemptListener;
import dev.kumquatweir.gateway.dispatch.GenerationSummary;
import dev.kumquatweir.gateway.http.EventStreamParser;
import dev.kumquatweir.gateway.http.JsonBodies;

/** Turns the events of an engine's answer into calls of a listener. Not thread-safe. */
final class GenerationEvents {
    private final AttemptListener mListener;
    private final EventStreamParser mParser = new EventStreamParser();
    private boolean mEnded;

    GenerationEvents(AttemptListener listener) {
        mListener = listener;
    }

    /** Returns whether the last event of the answer has come. */
    boolean ended() {
        return mEnded;
    }

    /**
     * Takes the next part of the stream.
     *
     * @return false if the engine does not keep to the protocol and the attempt has to be given up
     */
    boolean feed(byte[] part) {
        try {
            for (String event : mParser.feed(part)) {
                if (mEnded || !take(event)) {
                    return mEnded;
                }
            }
            return true;
        } catch (IllegalStateException exception) {
            return false;
        }
    }

    private boolean take(String event) {
        return JsonBodies.parse(Bytes.ofText(event)).fold(failure -> false, this::takeObject);
    }

    private boolean takeObject(ObjectNode event) {
        if (event.path("index").canConvertToLong() && event.path("text").isTextual()) {
            mListener.token(event.path("index").longValue(), event.path("text").textValue());
            return true;
        }
        if (event.path("finish").isTextual()) {
            mEnded = true;
            mListener.finished(
                    new GenerationSummary(
                            event.path("finish").textValue(),
                            event.path("prompt_tokens").asLong(),
                            event.path("cached_tokens").asLong(),
                            event.path("completion_tokens").asLong()));
            return true;
        }
        return false;
    }
}
