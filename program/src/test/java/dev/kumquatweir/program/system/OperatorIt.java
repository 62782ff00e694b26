package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.in;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Operators' changes through separate processes. */
class OperatorIt {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String QUICK =
            """
            [[profiles]]
            name = "quick"
            service = "quote-llm"
            class = "short"
            models = ["quote-7b"]
            time_limit_seconds = %d
            """;

    @TempDir static Path sFolder;
    private static LocalCluster sCluster;

    @BeforeAll
    static void startCluster() {
        sCluster = LocalCluster.start(sFolder);
        sCluster.startEngine("engine-a", "klang-a", "--time-scale", "0.5");
        sCluster.startEngine("engine-b", "klang-b", "--time-scale", "0.5");
        IntStream.range(0, LocalCluster.INSTANCES)
                .forEach(
                        instance ->
                                Waiting.until(
                                        "instance " + instance + " knows both engines",
                                        () -> status(instance).path("upstreams").size() == 2));
    }

    @AfterAll
    static void stopCluster() {
        sCluster.close();
    }

    private static JsonNode status(int instance) {
        return OperatorCaller.get(sCluster, instance, "status").json();
    }

    private static Caller.Answer change(int instance, String key, String path, ObjectNode body) {
        return OperatorCaller.post(sCluster, instance, key, path, body);
    }

    private static JsonNode change(int instance, String path, String command, String name) {
        ObjectNode body = JSON.createObjectNode().put("command_id", command);
        body.put(path.startsWith("domains") ? "domain" : "upstream", name);
        body.put("wait_ms", 30_000);
        Caller.Answer answer = change(instance, LocalCluster.OPERATOR_KEY, path, body);
        assertThat(answer.body(), answer.status(), is(200));
        return answer.json();
    }

    private static Set<String> attempts(String engine) {
        Set<String> attempts = new HashSet<>();
        Caller.get(sCluster.upstreamUrl(engine) + "/engine/v1/requests")
                .json()
                .path("requests")
                .forEach(request -> attempts.add(request.path("attempt").asText()));
        return attempts;
    }

    private static CompletableFuture<Caller.Streamed> stream(int number) {
        return Caller.streamLater(
                sCluster.url(number % LocalCluster.INSTANCES),
                "quick",
                "bolt of cloth " + number,
                150,
                text -> {});
    }

    private static List<CompletableFuture<Caller.Streamed>> streams(int first, int count) {
        return IntStream.range(first, first + count).mapToObj(OperatorIt::stream).toList();
    }

    private static void checkWhole(List<CompletableFuture<Caller.Streamed>> streams, int first) {
        for (int number = 0; number < streams.size(); number++) {
            Caller.Streamed answer = streams.get(number).join();
            assertThat(answer.error(), equalTo(""));
            assertThat(
                    answer.text(),
                    equalTo(Caller.expected("bolt of cloth " + (first + number), 150)));
        }
    }

    /** Guards against one operator's change silently undoing another's. */
    @Test
    void oneOfTwoOperatorsUnderOneVersionWins() {
        long base = status(0).path("configuration").path("version").asLong();
        List<Caller.Answer> answers =
                IntStream.range(0, 2)
                        .mapToObj(
                                number ->
                                        CompletableFuture.supplyAsync(
                                                () -> editQuick(number, base),
                                                task -> Thread.ofVirtual().start(task)))
                        .toList()
                        .stream()
                        .map(CompletableFuture::join)
                        .toList();
        assertThat(
                answers.stream().map(Caller.Answer::status).sorted().toList(),
                equalTo(List.of(200, 409)));
        JsonNode error =
                answers.stream()
                        .filter(answer -> answer.status() == 409)
                        .findFirst()
                        .orElseThrow()
                        .json()
                        .path("error");
        assertThat(error.path("type").asText(), equalTo("version_conflict"));
        assertThat(
                error.path("difference").path(0).path("path").asText(),
                equalTo("profiles.quick.time_limit_seconds"));
    }

    private static Caller.Answer editQuick(int number, long base) {
        ObjectNode body = JSON.createObjectNode().put("command_id", "race-" + number);
        body.put("base_version", base).put("toml", QUICK.formatted(100 + number));
        String key = number == 0 ? LocalCluster.OPERATOR_KEY : LocalCluster.SECOND_OPERATOR_KEY;
        return change(number + 1, key, "profiles", body);
    }

    /** Guards against a command being carried out twice when its answer was lost. */
    @Test
    void resentCommandGetsItsFirstResultThroughAnotherInstance() {
        long first = change(0, "domains/out", "resent", "klang-c").path("version").asLong();
        change(1, "domains/in", "between", "klang-c");
        long again = change(3, "domains/out", "resent", "klang-c").path("version").asLong();
        assertThat(again, is(first));
        assertThat(status(3).path("configuration").path("domains_out").toString(), is("[]"));
    }

    /** Guards against new work in a domain that operators were told is out, and against cuts. */
    @Test
    void domainOutStopsNewWorkAndLetsRunningWorkFinish() {
        List<CompletableFuture<Caller.Streamed>> before = streams(0, 12);
        Waiting.until("engine-a has work", () -> !attempts("engine-a").isEmpty());
        Waiting.until(
                "all streams run",
                () -> attempts("engine-a").size() + attempts("engine-b").size() == 12);
        JsonNode out = change(2, "domains/out", "out-a", "klang-a");
        assertThat(out.toString(), out.path("in_force").asBoolean(), is(true));
        Set<String> running = attempts("engine-a");
        List<CompletableFuture<Caller.Streamed>> after = streams(100, 12);
        Stream.concat(before.stream(), after.stream())
                .forEach(
                        stream -> {
                            stream.join();
                            assertThat(attempts("engine-a"), everyItem(is(in(running))));
                        });
        checkWhole(before, 0);
        checkWhole(after, 100);
        assertThat(
                change(2, "domains/in", "in-a", "klang-a").path("in_force").asBoolean(), is(true));
        List<CompletableFuture<Caller.Streamed>> returned = streams(200, 12);
        Waiting.until("engine-a has work again", () -> !attempts("engine-a").isEmpty());
        checkWhole(returned, 200);
    }

    /** Guards against a retired upstream that is shown or used as if it served. */
    @Test
    void retiredUpstreamIsShownAsRetiredEverywhere() {
        change(0, "upstreams/retire", "retire-b", "engine-b");
        for (int instance = 0; instance < LocalCluster.INSTANCES; instance++) {
            assertThat(state(instance, "engine-b"), equalTo("retired"));
        }
        change(0, "upstreams/unretire", "unretire-b", "engine-b");
        assertThat(state(3, "engine-b"), equalTo("serving"));
    }

    private static String state(int instance, String upstream) {
        for (JsonNode known : status(instance).path("upstreams")) {
            if (known.path("id").asText().equals(upstream)) {
                return known.path("state").asText();
            }
        }
        return "unknown";
    }

    /** Guards against a mistyped domain that an operator believes to be out of service. */
    @Test
    void unknownDomainIsRefused() {
        ObjectNode body = JSON.createObjectNode().put("command_id", "typo");
        body.put("domain", "klang-aa");
        Caller.Answer answer = change(1, LocalCluster.OPERATOR_KEY, "domains/out", body);
        assertThat(answer.type(), equalTo("unknown_name"));
    }

    /** Guards against changes by strangers, and against keys in answers and logs. */
    @Test
    void wrongKeyIsRefusedAndNotEchoed() {
        String wrong = "wrong-operator-key";
        Caller.Answer answer =
                change(0, wrong, "domains/out", JSON.createObjectNode().put("domain", "klang-a"));
        assertThat(answer.status(), is(401));
        assertThat(answer.body(), not(containsString(wrong)));
        Waiting.until(
                "the refusal is logged",
                () -> sCluster.instance(0).log().contains("operator_refused"));
        assertThat(sCluster.instance(0).log(), not(containsString(wrong)));
    }

    /** Guards against a lost disk that leaves the group with one voter less for ever. */
    @Test
    void memberThatLostItsDiskIsReplacedAndVotesAgain() {
        String lost = store("entry-2");
        sCluster.instance(1).kill();
        sCluster.loseDisk(1);
        sCluster.instance(1).startAgain();
        ObjectNode body = JSON.createObjectNode().put("name", "entry-2");
        Waiting.until(
                "the new store votes",
                () -> {
                    Caller.Answer answer =
                            change(0, LocalCluster.OPERATOR_KEY, "members/replace", body);
                    return answer.status() == 200 && answer.json().path("complete").asBoolean();
                });
        assertThat(store("entry-2"), not(equalTo(lost)));
        sCluster.awaitReady(1);
    }

    private static String store(String member) {
        for (JsonNode known : status(0).path("group").path("members")) {
            if (known.path("name").asText().equals(member)
                    && known.path("role").asText().equals("voter")) {
                return known.path("store").asText();
            }
        }
        return "no voter";
    }
}
