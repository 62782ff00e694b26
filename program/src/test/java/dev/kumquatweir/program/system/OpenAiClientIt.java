package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.emptyString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.not;

import com.openai.client.OpenAIClient;
import com.openai.client.okhttp.OpenAIOkHttpClient;
import com.openai.core.http.StreamResponse;
import com.openai.models.chat.completions.ChatCompletionChunk;
import com.openai.models.chat.completions.ChatCompletionCreateParams;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A client library that knows nothing of kumquatweir. */
class OpenAiClientIt {
    @TempDir Path mFolder;

    /** Guards against chat chunks that only our own callers can read. */
    @Test
    void publicClientReadsStreamedChat() {
        try (LocalCluster cluster = LocalCluster.start(mFolder)) {
            cluster.startEngine("engine-1", "klang-a");
            cluster.awaitEngines();
            OpenAIClient client =
                    OpenAIOkHttpClient.builder()
                            .baseUrl(cluster.url(3) + "/v1")
                            .apiKey(LocalCluster.TEAM_KEY)
                            .build();
            String prompt = "[[prompt How much fabric for two chairs? [[end]]";
            ChatCompletionCreateParams call =
                    ChatCompletionCreateParams.builder()
                            .model("quote-7b")
                            .addUserMessage(prompt)
                            .maxCompletionTokens(40)
                            .build();
            List<ChatCompletionChunk> chunks;
            try (StreamResponse<ChatCompletionChunk> answer =
                    client.chat().completions().createStreaming(call)) {
                chunks = answer.stream().toList();
            }
            String text =
                    chunks.stream()
                            .flatMap(chunk -> chunk.choices().stream())
                            .flatMap(choice -> choice.delta().content().stream())
                            .collect(Collectors.joining());
            assertThat(text, not(emptyString()));
            assertThat(text, equalTo(Caller.expected(prompt, 40)));
            client.close();
        }
    }
}
