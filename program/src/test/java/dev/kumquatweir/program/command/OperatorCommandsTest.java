package dev.kumquatweir.program.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.configuration.Profile;
import dev.kumquatweir.core.configuration.RequestClass;
import dev.kumquatweir.core.identity.ProfileName;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.TeamName;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the operator commands without a connection: formatting, exit statuses, explanations. */
class OperatorCommandsTest {
    private static final JsonNode DOCUMENT =
            json(
                    "{'profiles':["
                            + "{'name':'quick','service':'llm'},"
                            + "{'name':'hold','service':'book'}]}");
    private static final JsonNode UPSTREAMS =
            json(
                    "["
                            + "{'service':'llm','failure_domain':'klang-a','state':'serving'},"
                            + "{'service':'llm','failure_domain':'klang-b','state':'serving'},"
                            + "{'service':'book','failure_domain':'klang-a','state':'serving'},"
                            + "{'service':'book','failure_domain':'klang-b','state':'retired'}]");
    private static final Profile LONG =
            Profile.builder(new ProfileName("dossier"), new ServiceName("llm"), RequestClass.LONG)
                    .build();

    private static JsonNode json(String text) {
        try {
            return new ObjectMapper().readTree(text.replace('\'', '"'));
        } catch (JsonProcessingException exception) {
            throw new AssertionError(text, exception);
        }
    }

    /**
     * Guards against taking a failure domain out without confirmation although it has the last
     * serving upstream of a profile, which happens if retired upstreams are counted.
     */
    @Test
    void remainingCapacityExcludesRetiredUpstreams() {
        assertThat(
                RemainingCapacity.without(DOCUMENT, UPSTREAMS, "klang-a"),
                contains(
                        new RemainingCapacity("hold", "book", 1, 0),
                        new RemainingCapacity("quick", "llm", 2, 1)));
        assertThat(new RemainingCapacity("hold", "book", 1, 0).removesLastUpstream(), is(true));
        assertThat(new RemainingCapacity("quick", "llm", 2, 1).removesLastUpstream(), is(false));
    }

    /** Guards against exit statuses that make a script treat a conflict or outage as bad input. */
    @ParameterizedTest
    @CsvSource({
        "409, version_conflict, CONFLICT",
        "503, no_quorum, UNREACHABLE",
        "422, settings_invalid, BAD_INPUT",
        "401, not_authenticated, FAILED",
        "404, unknown_name, FAILED"
    })
    void refusalTypeDeterminesExitStatus(int status, String type, ExitStatus expected) {
        ClientFailure failure = new ClientFailure.Refused("url", status, type, "why", List.of());
        assertThat(failure.exitStatus(), equalTo(expected));
    }

    /** Guards against an explanation that says a prompt fits although it exceeds every engine. */
    @ParameterizedTest
    @CsvSource({
        "100, 'A prompt of 100 tokens fits one engine (the largest of 2 holds 1000 tokens).'",
        "2500, 'A prompt of 2500 tokens exceeds one engine (1000 tokens): it needs 3 engines"
                + " together, and 2 serve now.'"
    })
    void explanationComparesPromptWithLargestEngine(long tokens, String sentence) {
        assertThat(
                ProfileExplanation.describeRequest(
                        ConfigurationDocument.EMPTY,
                        LONG,
                        new ProfileExplanation.ServingEngines(2, 1_000),
                        OptionalLong.of(tokens),
                        Optional.of(new TeamName("nobody"))),
                contains("There is no team nobody; its requests are refused.", sentence));
    }

    /** Guards against rounding a share so that it reads as another objective, as 99.9% as 100%. */
    @Test
    void objectivePercentagesKeepTheirDigits() {
        assertThat(
                ProfileExplanation.describe(LONG),
                hasItem(
                        "Its objective: 99.9% finish in time, and 95% get their first token within"
                                + " 860 ms."));
    }

    /** Guards against columns that run into each other when a cell is wider than its header. */
    @Test
    void columnsAreAsWideAsTheirWidestCell() {
        assertThat(
                TextTable.lines(List.of(List.of("A", "BB"), List.of("long", "x"))),
                contains("A     BB", "long  x"));
    }

    /** Guards against a burn rate above 1 without highlighting, and against markup in names. */
    @Test
    void burnPageHighlightsHoursAboveBudgetAndEscapesNames() {
        String page =
                BurnPage.of(
                        json(
                                "{'profiles':[{'profile':'a<b','in_time_share':0.9,'hours':["
                                        + "{'burn_rate':0.5},{'burn_rate':4}]}]}"));
        assertThat(page, containsString("<h2>a&lt;b</h2>"));
        assertThat(
                page,
                containsString(
                        "<rect x='0.0' y='105.0' width='359.0' height='15.0' fill='#2c7fb8'/>"
                                + "<rect x='360.0' y='0.0' width='359.0' height='120.0'"
                                + " fill='#c0392b'/>"));
    }
}
