package dev.kumquatweir.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** Tests the section {@code [scheduling]}, as it is rendered from the deployment's template. */
final class SchedulingSettingsTest {
    private static final Path TEMPLATE = Path.of("../deploy/instance.toml.template");

    /** Guards against a template that does not pass on what the deployment asks for. */
    @Test
    void requestedFeaturesAreRendered() throws IOException {
        SchedulingSettings settings = rendered("first,second", "");
        assertThat(settings.requestedFeatures(), is("first,second"));
        assertThat(settings.memoryConfidence(), is(OptionalDouble.empty()));
    }

    /** Guards against an instance that does not start where the platform has no such list. */
    @Test
    void absentListIsEmpty() throws IOException {
        assertThat(rendered("", "").requestedFeatures(), is(""));
        assertThat(
                rendered("", ""),
                is(
                        new SchedulingSettings(
                                Optional.empty(), false, true, OptionalDouble.empty(), "")));
    }

    /** Guards against a margin that an operator has switched off and a deployment switches on. */
    @Test
    void zeroConfidenceSwitchesForecastOff() throws IOException {
        OptionalDouble confidence = rendered("first", "memory_confidence = 0").memoryConfidence();
        assertThat(confidence, is(OptionalDouble.of(0)));
    }

    /** Guards against shares of teams that an operator can't switch off. */
    @Test
    void teamSharingOfTheSettingsIsKept() throws IOException {
        assertThat(rendered("first", "").teamSharing(), is(Optional.empty()));
        assertThat(rendered("first", "team_sharing = false").teamSharing(), is(Optional.of(false)));
    }

    /** Guards against a list of another type that is read as empty. */
    @Test
    void listOfAnotherTypeIsRejected() throws IOException {
        String text = text("", "").replace("requested_features = \"\"", "requested_features = 7");
        assertThat(
                FleetSettingsReader.readToml("rendered", text).getLeft().message(),
                containsString("requested_features: a text is allowed"));
    }

    private static SchedulingSettings rendered(String contracts, String further)
            throws IOException {
        return FleetSettingsReader.readToml("rendered", text(contracts, further))
                .get()
                .scheduling();
    }

    private static String text(String contracts, String further) throws IOException {
        return Files.readString(TEMPLATE)
                .replaceAll("(?s)\\{\\{#[a-z_.]+}}.*?\\{\\{/[a-z_.]+}}", "")
                .replace("{{contracts}}", contracts)
                .replace("{{node_name}}", "entry-1")
                .replace("{{ip_address}}", "10.1.0.40")
                .replace("{{availability_zone}}", "klang-a")
                .replace("{{internal_port_range.0}}", "7340")
                .replace("{{first_start}}", "true")
                .replace("{{seed_nodes}}", "10.1.0.42:8229")
                .replaceAll("\\{\\{[a-z_.0-9]+}}", "")
                .concat(further + "\n");
    }
}
