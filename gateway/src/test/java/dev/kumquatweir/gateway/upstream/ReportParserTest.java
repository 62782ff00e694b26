package dev.kumquatweir.gateway.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.gateway.http.JsonBodies;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Announcements and reports of upstreams, and bodies from other writers. */
final class ReportParserTest {
    private static final String ANNOUNCEMENT =
            """
            {"id":"e-1","incarnation":7,"address":"10.0.0.9:8080","failure_domain":"a",
            "kind":"engine","service":"s","models":["m"],"memory_tokens":1000,"max_running":8}""";

    private static final String REPORT =
            """
            {"id":"e-1","incarnation":7,"sequence":4,"running":1,"queued":0,
            "memory_used_tokens":10,"prefill_backlog_tokens":0}""";

    @Test
    void soundBodiesAreRead() {
        assertThat(announced(ANNOUNCEMENT), is(true));
        assertThat(announced(ANNOUNCEMENT.replace("10.0.0.9:8080", "[::1]:65535")), is(true));
        assertThat(reported(REPORT), is(true));
    }

    /** Guards against an address to which no connection can be made: each request to it failed. */
    @Test
    void addressesOutOfRangeAreRefused() {
        Stream.of("10.0.0.9:0", "10.0.0.9:65536", "10.0.0.256:8080", "[:::1]:8080", "10.0.0.9")
                .forEach(
                        address ->
                                assertThat(
                                        address,
                                        announced(ANNOUNCEMENT.replace("10.0.0.9:8080", address)),
                                        is(false)));
    }

    /** Guards against counts that turn into other ones when they are narrowed. */
    @Test
    void numbersOutOfRangeAreRefused() {
        Stream.of("1e300", "-1", "4294967304", "9".repeat(40))
                .forEach(
                        number -> {
                            assertThat(
                                    announced(ANNOUNCEMENT.replace(":8}", ":" + number + "}")),
                                    is(false));
                            assertThat(
                                    reported(
                                            REPORT.replace(
                                                    "\"running\":1", "\"running\":" + number)),
                                    is(false));
                        });
    }

    /** Guards against nesting that ends the thread or the process that reads it. */
    @Test
    void deeplyNestedBodiesAreRefused() {
        String nested = "[".repeat(100_000) + "]".repeat(100_000);
        assertThat(announced(ANNOUNCEMENT.replace("[\"m\"]", nested)), is(false));
        assertThat(reported(REPORT.replace(":10,", ":" + nested + ",")), is(false));
    }

    private static boolean announced(String body) {
        return JsonBodies.parse(Bytes.ofText(body)).flatMap(ReportParser::announcement).isRight();
    }

    private static boolean reported(String body) {
        return JsonBodies.parse(Bytes.ofText(body)).flatMap(ReportParser::load).isRight();
    }
}
