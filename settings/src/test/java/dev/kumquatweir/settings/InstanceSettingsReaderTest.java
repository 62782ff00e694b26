package dev.kumquatweir.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class InstanceSettingsReaderTest {
    private static final String VALID =
            """
            [instance]
            id = "entry-1"
            failure_domain = "klang-a"
            data_folder = "data"

            [listen]
            caller = "127.0.0.1:7101"
            upstream = "127.0.0.1:7201"
            operator = "127.0.0.1:7301"

            [cluster]
            name = "kain-baru"
            key = "0123456789abcdef"
            announce_key = "0123456789abcdef"

            [[cluster.instances]]
            id = "entry-1"
            address = "127.0.0.1:7401"
            failure_domain = "klang-a"
            voter = true
            """;

    @Test
    void readsWholeSettings() {
        InstanceSettings settings = read(VALID).get();
        assertThat(settings.self().voter(), is(true));
        assertThat(settings.dataFolder().orElseThrow(), equalTo(Path.of("base", "data")));
        assertThat(settings.listen().caller().getPort(), is(7101));
    }

    /** Guards against an instance starting with a mistyped key silently ignored. */
    @Test
    void reportsAllFaultsWithKeyAndLine() {
        String faulty =
                VALID.replace("caller = \"127.0.0.1:7101\"", "caler = \"127.0.0.1:7101\"")
                        .replace("key = \"0123456789abcdef\"\nann", "key = \"short\"\nann");
        String message = read(faulty).getLeft().message();
        assertThat(message, containsString("line 6: listen.caller: is missing"));
        assertThat(message, containsString("line 7: listen.caler: is not known here"));
        assertThat(message, containsString("line 13: cluster.key: a text of at least 16"));
    }

    /** Guards against a voter without a disk, whose votes would be forgotten. */
    @Test
    void refusesVoterWithoutDataFolder() {
        String message = read(VALID.replace("data_folder = \"data\"", "")).getLeft().message();
        assertThat(message, containsString("a voter needs instance.data_folder"));
    }

    /** Guards against attempt ids that can't be read back from the handles of exports. */
    @Test
    void refusesInstanceNamesWithSlash() {
        String message = read(VALID.replace("\"entry-1\"", "\"entry/1\"")).getLeft().message();
        assertThat(message, containsString("a name must not have a slash"));
    }

    /** Guards against limits that are read wrongly or that an ordinary client reaches. */
    @Test
    void readsLimitsOfConnections() {
        assertThat(read(VALID).get().limits().connections(), equalTo(ConnectionSettings.DEFAULTS));
        String limits =
                """
                [limits]
                head_bytes = 16385
                head_fields = 17
                head_millis = 101
                body_stall_millis = 102
                unread_millis = 103
                pipelined_requests = 3
                caller_connections = 4
                connection_memory_bytes = 5
                """;
        assertThat(
                read(VALID + limits).get().limits().connections(),
                equalTo(new ConnectionSettings(16_385, 17, 101, 102, 103, 3, 4, 5)));
        String message = read(VALID + "[limits]\nhead_bytes = 16383\n").getLeft().message();
        assertThat(message, containsString("limits.head_bytes"));
    }

    /** Guards against a parse fault without its place. */
    @Test
    void reportsTheLineOfTextThatIsNotToml() {
        SettingsFailure failure = read("[instance]\nid = \n").getLeft();
        assertThat(failure.code(), equalTo("settings_not_toml"));
        assertThat(failure.message(), containsString("test.toml:2"));
    }

    private static Either<SettingsFailure, InstanceSettings> read(String text) {
        return InstanceSettingsReader.readToml("test.toml", Path.of("base"), text);
    }
}
