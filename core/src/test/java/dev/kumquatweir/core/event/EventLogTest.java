package dev.kumquatweir.core.event;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import org.junit.jupiter.api.Test;

/** Guards against log lines that can't be parsed because a value is not quoted. */
class EventLogTest {
    @Test
    void quotesValuesThatWouldBreakTheLine() {
        String line = EventLog.line("x", "plain", 7, "text", "a \"b\"\nc", "empty", "");
        assertThat(line, equalTo("event=x plain=7 text=\"a \\\"b\\\"\\u000ac\" empty=\"\""));
    }
}
