package dev.kumquatweir.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.ProfileName;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Differences between documents, and single profiles put into a document. */
class ConfigurationDifferenceTest {
    private static final String QUICK =
            """
            [[profiles]]
            name = "quick"
            service = "quote-llm"
            class = "short"
            time_limit_seconds = 30
            """;
    private static final String TEXT =
            """
            [[services]]
            name = "quote-llm"
            kind = "engine"
            profile = "quick"
            """
                    + QUICK;
    private static final ConfigurationDocument BASE =
            ConfigurationReader.readToml("base.toml", TEXT).get();

    private static ConfigurationDocument merged(String profile) {
        return ProfileMerge.merge(BASE, "profile.toml", profile).get();
    }

    private static List<String> lines(ConfigurationDocument before, ConfigurationDocument after) {
        return ConfigurationDifference.between(before, after).entries().stream()
                .map(DifferenceEntry::describe)
                .toList();
    }

    /** Guards against a conflict that reports differences where there are none. */
    @Test
    void equalDocumentsDifferInNothing() {
        assertThat(ConfigurationDifference.between(BASE, merged(QUICK)).isEmpty(), is(true));
    }

    /** Guards against a change of one key being shown as a change of the whole profile. */
    @Test
    void changedKeyNamesOldAndNewValue() {
        String later = QUICK.replace("= 30", "= 45") + "objective = {in_time_share = 0.9}\n";
        assertThat(
                lines(BASE, merged(later)),
                contains(
                        "~ profiles.quick.objective.in_time_share: 0.999 -> 0.9",
                        "~ profiles.quick.time_limit_seconds: 30 -> 45"));
    }

    /** Guards against additions and removals being taken for each other. */
    @Test
    void addedAndRemovedEntriesAreToldApart() {
        ConfigurationDocument out =
                BASE.withDomainsOutOfService(Set.of(new FailureDomain("klang-a")));
        assertThat(lines(BASE, out), contains("+ domains_out.klang-a = \"klang-a\""));
        assertThat(lines(out, BASE), contains("- domains_out.klang-a = \"klang-a\""));
    }

    /** Guards against a new profile that displaces another one. */
    @Test
    void newProfileIsAddedBesideTheOthers() {
        ConfigurationDocument after = merged(QUICK.replace("\"quick\"", "\"slow\""));
        assertThat(
                after.profiles().keySet(),
                equalTo(Set.of(new ProfileName("quick"), new ProfileName("slow"))));
    }

    /** Guards against a profile file that silently changes teams or drops a second profile. */
    @Test
    void fileWithMoreThanOneProfileIsRefused() {
        for (String text : List.of("", QUICK + QUICK, "domains_out = []\n" + QUICK)) {
            assertThat(
                    ProfileMerge.merge(BASE, "profile.toml", text).getLeft().message(),
                    containsString("exactly one [[profiles]] table"));
        }
    }

    /** Guards against a profile of a service that does not exist. */
    @Test
    void profileOfUnknownServiceIsRefused() {
        String text = QUICK.replace("quote-llm", "nowhere");
        assertThat(ProfileMerge.merge(BASE, "profile.toml", text).isLeft(), is(true));
    }

    /** Guards against a file applied as a whole that returns a domain or upstream to service. */
    @Test
    void wholeDocumentKeepsWhatIsOutUnlessItNamesIt() {
        ConfigurationDocument present =
                BASE.withDomainsOutOfService(Set.of(new FailureDomain("klang-a")))
                        .withRetiredUpstreams(Set.of(new UpstreamId("engine-1")));
        assertThat(ConfigurationMerge.replace(present, "base.toml", TEXT).get(), equalTo(present));
        String named = "domains_out = []\nretired_upstreams = []\n" + TEXT;
        assertThat(ConfigurationMerge.replace(present, "base.toml", named).get(), equalTo(BASE));
    }
}
