package dev.kumquatweir.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ConfigurationReaderTest {
    private static final String VALID =
            """
            [[services]]
            name = "bookings"
            kind = "service"
            profile = "hold"
            repeatable = [{ method = "POST", path = "/search" }]

            [[profiles]]
            name = "hold"
            service = "bookings"
            class = "action"
            models = ["catalogue"]
            objective = { in_time_share = 0.99 }

            [[teams]]
            name = "lobbies"
            key_salt = "0a0b"
            key_sha256 = "0000000000000000000000000000000000000000000000000000000000000000"
            default_profile = "hold"
            weight = 3
            """;

    /** Guards against the stored form losing a field on its way through the log. */
    @Test
    void storedFormReadsBackEqual() {
        ConfigurationDocument document =
                ConfigurationReader.readToml("test.toml", VALID)
                        .get()
                        .withDomainsOutOfService(Set.of(new FailureDomain("klang-a")))
                        .withRetiredUpstreams(Set.of(new UpstreamId("engine-1")));
        Bytes stored = ConfigurationWriter.toStored(document);
        assertThat(ConfigurationReader.readStored(stored).get(), equalTo(document));
    }

    /** Guards against names that lead nowhere and entries that hide each other. */
    @Test
    void refusesDanglingAndDoubledNames() {
        String dangling = VALID.replace("default_profile = \"hold\"", "default_profile = \"held\"");
        assertThat(messageFor(dangling), containsString("names the unknown profile 'held'"));
        String doubled = VALID + VALID.substring(VALID.indexOf("[[teams]]"));
        assertThat(messageFor(doubled), containsString("teams[1].name: 'lobbies' stands twice"));
    }

    /** Guards against a class of work that is read as its default because of a typing error. */
    @Test
    void namesTheAllowedChoices() {
        String message = messageFor(VALID.replace("\"action\"", "\"actoin\""));
        assertThat(message, containsString("line 10: profiles[0].class"));
        assertThat(message, containsString("one of short, long, action is allowed"));
    }

    /** Guards against exceptions of the library escaping on damaged documents. */
    @Test
    void damagedTextGivesTypedFailuresOnly() {
        Random random = new Random(7);
        for (int round = 0; round < 3_000; round++) {
            StringBuilder damaged = new StringBuilder(VALID);
            for (int change = 0; change < 1 + random.nextInt(4); change++) {
                damaged.setCharAt(random.nextInt(damaged.length()), (char) random.nextInt(128));
            }
            ConfigurationReader.readToml("test.toml", damaged.toString());
            ConfigurationReader.readStored(Bytes.ofText(damaged.toString()));
        }
    }

    private static String messageFor(String text) {
        return ConfigurationReader.readToml("test.toml", text).getLeft().message();
    }
}
