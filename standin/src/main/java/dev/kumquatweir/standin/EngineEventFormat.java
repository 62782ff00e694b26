package dev.kumquatweir.standin;

import dev.kumquatweir.standin.model.EngineEvent;

/** Events of the engine protocol. */
record EngineEventFormat() implements EventFormat {
    private record FinishBody(
            String finish, long promptTokens, long cachedTokens, long completionTokens) {}

    @Override
    public void token(StringBuilder text, EngineEvent.Token token) {
        // Written by hand: the text has only letters and a space, and this is the busiest path.
        text.append("data: {\"index\":")
                .append(token.index())
                .append(",\"text\":\"")
                .append(token.text())
                .append("\"}\n\n");
    }

    @Override
    public void finished(StringBuilder text, EngineEvent.Finished finished) {
        EventFormat.append(
                text,
                "data: ",
                new FinishBody(
                        finished.finish(),
                        finished.promptTokens(),
                        finished.cachedTokens(),
                        finished.completionTokens()));
    }
}
