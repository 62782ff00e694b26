package dev.kumquatweir.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Settings as the platform renders them from the template of the deployment. */
class FleetSettingsReaderTest {
    private static final Path TEMPLATE = Path.of("../deploy/instance.toml.template");
    private static final Pattern SECTION =
            Pattern.compile("\\{\\{#([a-z_.]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL);
    private static final Pattern VALUE = Pattern.compile("\\{\\{([a-z_.0-9]+)}}");
    private static final Map<String, String> PLACES =
            Map.of(
                    "node_name", "entry-1",
                    "ip_address", "10.1.0.40",
                    "availability_zone", "klang-a",
                    "seed_nodes", "10.1.0.42:8229,10.2.0.30:8229",
                    "internal_port_range.0", "7340",
                    "first_start", "true",
                    "fault_tolerance.machine_failures", "2");

    /** Guards against processes that refuse to start where the platform scales its figures. */
    @Test
    void limitsMayHaveDecimals() throws IOException {
        FleetSettings settings = render("7.5", "0.25", "41.9", "10.5").get();
        assertThat(settings.drainMillis(), is(7_500L));
        assertThat(settings.repeatRatio(), is(0.25));
        assertThat(settings.repeatExtra(), is(41));
        assertThat(settings.repeatWindowMillis(), is(10_500L));
        assertThat(settings.lostDisks(), is(2));
    }

    /** Guards against a budget of zero that is read as one that is absent. */
    @Test
    void zerosAreValues() throws IOException {
        FleetSettings settings = render("0", "0", "0.0", "1").get();
        assertThat(settings.drainMillis(), is(0L));
        assertThat(settings.repeatRatio(), is(0.0));
        assertThat(settings.repeatExtra(), is(0));
    }

    /** Guards against a deployment without a retry contract, whose figures are not rendered. */
    @Test
    void absentLimitsHaveDefaults() throws IOException {
        FleetSettings settings = render("", "", "", "").get();
        assertThat(settings.drainMillis(), is(8_000L));
        assertThat(settings.repeatRatio(), is(0.1));
        assertThat(settings.repeatExtra(), is(10));
        assertThat(settings.repeatWindowMillis(), is(10_000L));
    }

    @Test
    void extremesAreRead() throws IOException {
        FleetSettings settings = render("43200", "100", "1e6", "0.001").get();
        assertThat(settings.drainMillis(), is(43_200_000L));
        assertThat(settings.repeatRatio(), is(100.0));
        assertThat(settings.repeatExtra(), is(1_000_000));
        assertThat(settings.repeatWindowMillis(), is(1L));
    }

    @Test
    void wrongLimitsNameTheirKey() throws IOException {
        assertThat(
                render("8", "-0.1", "many", "0").getLeft().message(),
                containsString("repeat_ratio"));
        assertThat(
                render("8", "0.1", "many", "10").getLeft().message(),
                containsString("repeat_extra: a number from 0 to 1000000 is allowed"));
        assertThat(
                render("8", "0.1", "5", "0").getLeft().message(),
                containsString("repeat_window_seconds"));
    }

    /** Files rendered by an earlier version have milliseconds. */
    @Test
    void millisecondsOfOlderFilesAreRead() throws IOException {
        String text =
                rendered("9", "0.2", "106", "12")
                        .replace("drain_seconds = \"9\"", "drain_millis = 9000")
                        .replace("repeat_window_seconds = \"12\"", "repeat_window_millis = 12000");
        FleetSettings settings = FleetSettingsReader.readToml("older", text).get();
        assertThat(settings.drainMillis(), is(9_000L));
        assertThat(settings.repeatWindowMillis(), is(12_000L));
    }

    private static Either<SettingsFailure, FleetSettings> render(
            String grace, String ratio, String extra, String window) throws IOException {
        return FleetSettingsReader.readToml("rendered", rendered(grace, ratio, extra, window));
    }

    private static String rendered(String grace, String ratio, String extra, String window)
            throws IOException {
        Map<String, String> limits =
                Map.of(
                        "timing_bounds.grace_period_s", grace,
                        "timing_bounds.retry_budget_ratio", ratio,
                        "timing_bounds.retry_budget_extra", extra,
                        "timing_bounds.budget_window_s", window);
        String text = SECTION.matcher(Files.readString(TEMPLATE)).replaceAll("");
        return VALUE.matcher(text)
                .replaceAll(
                        match ->
                                PLACES.getOrDefault(
                                        match.group(1), limits.getOrDefault(match.group(1), "")));
    }
}
