package dev.kumquatweir.standin;

import dev.kumquatweir.standin.model.EngineEvent;
import java.nio.charset.StandardCharsets;

/**
 * How the events of an attempt are written as server-sent events. Implementations are immutable.
 */
sealed interface EventFormat permits EngineEventFormat, ChatEventFormat {
    void token(StringBuilder text, EngineEvent.Token token);

    void finished(StringBuilder text, EngineEvent.Finished finished);

    /** Writes the failure that ends an attempt early. */
    default void aborted(StringBuilder text, String reason) {
        append(text, "event: error\ndata: ", ErrorBody.ran(reason, "the attempt ended early"));
    }

    static void append(StringBuilder text, String prefix, Object body) {
        text.append(prefix)
                .append(new String(Json.write(body), StandardCharsets.UTF_8))
                .append("\n\n");
    }
}
