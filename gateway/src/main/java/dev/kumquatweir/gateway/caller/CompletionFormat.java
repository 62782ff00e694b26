package dev.kumquatweir.gateway.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.gateway.dispatch.GenerationSummary;
import dev.kumquatweir.gateway.http.JsonBodies;
import org.jspecify.annotations.Nullable;

/** The two OpenAI-compatible completion APIs and the JSON format of their responses. */
enum CompletionFormat {
    /** {@code /v1/chat/completions}. */
    CHAT("chat.completion", "chat.completion.chunk", "chatcmpl-"),
    /** {@code /v1/completions}. */
    TEXT("text_completion", "text_completion", "cmpl-");

    private final String mCompletionObject;
    private final String mChunkObject;
    private final String mIdPrefix;

    CompletionFormat(String completionObject, String chunkObject, String idPrefix) {
        mCompletionObject = completionObject;
        mChunkObject = chunkObject;
        mIdPrefix = idPrefix;
    }

    /** Returns the body of a response that is not streamed. */
    ObjectNode completion(
            RequestId id,
            ModelName model,
            long createdSeconds,
            String text,
            GenerationSummary summary) {
        ObjectNode root = newObject(id, model, createdSeconds, mCompletionObject);
        ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
        if (this == CHAT) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.putNull("logprobs").put("finish_reason", summary.finishReason());
        writeUsage(root, summary);
        return root;
    }

    /**
     * Returns one chunk of a streamed response.
     *
     * @param text text of the next tokens, empty in the last chunk
     * @param finishReason why the generation ended, null in all chunks but the last
     */
    ObjectNode chunk(
            RequestId id,
            ModelName model,
            long createdSeconds,
            String text,
            @Nullable String finishReason) {
        ObjectNode root = newObject(id, model, createdSeconds, mChunkObject);
        ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
        if (this == CHAT) {
            ObjectNode delta = choice.putObject("delta");
            if (finishReason == null) {
                delta.put("role", "assistant").put("content", text);
            }
        } else {
            choice.put("text", text);
        }
        choice.putNull("logprobs").put("finish_reason", finishReason);
        return root;
    }

    /** Returns the chunk of a stream that carries the token counts. */
    ObjectNode usageChunk(
            RequestId id, ModelName model, long createdSeconds, GenerationSummary summary) {
        ObjectNode root = newObject(id, model, createdSeconds, mChunkObject);
        root.putArray("choices");
        writeUsage(root, summary);
        return root;
    }

    private ObjectNode newObject(
            RequestId id, ModelName model, long createdSeconds, String object) {
        return JsonBodies.object()
                .put("id", mIdPrefix + id)
                .put("object", object)
                .put("created", createdSeconds)
                .put("model", model.value());
    }

    private static void writeUsage(ObjectNode root, GenerationSummary summary) {
        ObjectNode usage = root.putObject("usage");
        usage.put("prompt_tokens", summary.promptTokens());
        usage.put("completion_tokens", summary.completionTokens());
        usage.put("total_tokens", summary.promptTokens() + summary.completionTokens());
        usage.putObject("prompt_tokens_details").put("cached_tokens", summary.cachedTokens());
    }
}
