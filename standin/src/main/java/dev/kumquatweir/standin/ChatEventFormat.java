package dev.kumquatweir.standin;

import dev.kumquatweir.standin.model.EngineEvent;

/**
 * Chunks of a streamed chat completion, for load runs against a single engine.
 *
 * @param id name of the completion
 * @param model name of the model, without characters that need quoting
 */
record ChatEventFormat(String id, String model) implements EventFormat {
    @Override
    public void token(StringBuilder text, EngineEvent.Token token) {
        chunk(text, "{\"content\":\"" + token.text() + "\"}", "null");
    }

    @Override
    public void finished(StringBuilder text, EngineEvent.Finished finished) {
        chunk(text, "{}", "\"" + finished.finish() + "\"");
        text.append("data: [DONE]\n\n");
    }

    private void chunk(StringBuilder text, String delta, String finish) {
        text.append("data: {\"id\":\"")
                .append(id)
                .append("\",\"object\":\"chat.completion.chunk\",\"model\":\"")
                .append(model)
                .append("\",\"choices\":[{\"index\":0,\"delta\":")
                .append(delta)
                .append(",\"finish_reason\":")
                .append(finish)
                .append("}]}\n\n");
    }
}
