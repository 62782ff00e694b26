package dev.kumquatweir.policy.retry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.identity.AttemptId;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class StreamAssemblerTest {
    private static final AttemptId FIRST = new AttemptId("a:1:1");
    private static final AttemptId SECOND = new AttemptId("a:1:2");

    private final StreamAssembler mAssembler = new StreamAssembler();

    /** Guards against a truncated answer that is reported as complete. */
    @Test
    void reportsMissingTokensAtTheEndAndInBetween() {
        mAssembler.begin(FIRST);
        mAssembler.acceptToken(FIRST, 0, "a");
        assertThat(mAssembler.acceptToken(FIRST, 2, "c"), is(new StreamStep.Gap(1, 2)));
        assertThat(mAssembler.begin(SECOND), is(1L));
        assertThat(mAssembler.finish(SECOND, 3), is(new StreamStep.Gap(1, 3)));
        assertThat(mAssembler.complete(), is(false));
    }

    /** Guards against late tokens of a broken attempt that are mixed into the resumed stream. */
    @Test
    void dropsLateTokensOfEarlierAttempts() {
        mAssembler.begin(FIRST);
        mAssembler.acceptToken(FIRST, 0, "a");
        mAssembler.begin(SECOND);
        assertThat(mAssembler.acceptToken(FIRST, 1, "b"), is(new StreamStep.NotCurrent()));
        assertThat(mAssembler.finish(FIRST, 1), is(new StreamStep.NotCurrent()));
        assertThat(mAssembler.acceptToken(SECOND, 0, "a"), is(new StreamStep.Duplicate()));
        assertThat(mAssembler.acceptToken(SECOND, 1, "b"), is(new StreamStep.Deliver(1)));
        assertThat(mAssembler.finish(SECOND, 2), is(new StreamStep.Complete(2)));
        assertThat(mAssembler.text(), is("ab"));
    }

    /**
     * Guards against lost or duplicated tokens under random sequences of breaks, repeated tokens,
     * gaps and late tokens.
     */
    @Property(seed = "2602", tries = 300)
    void deliversEachTokenOnceOverRandomSchedules(@ForAll long seed) {
        Random random = new Random(seed);
        int length = 1 + random.nextInt(40);
        StreamAssembler assembler = new StreamAssembler();
        StringBuilder caller = new StringBuilder();
        int number = 1;
        AttemptId current = new AttemptId("a:1:1");
        long position = assembler.begin(current);
        for (int step = 0; step < 10_000 && !assembler.complete(); step++) {
            int chance = random.nextInt(100);
            if (chance < 5) {
                number++;
                current = new AttemptId("a:1:" + number);
                // An engine may resume at an earlier offset than requested.
                position = Math.max(0, assembler.begin(current) - random.nextInt(3));
            } else if (chance < 15) {
                AttemptId late = new AttemptId("a:1:" + random.nextInt(number));
                assembler.acceptToken(late, assembler.deliveredTokens(), "wrong;");
            } else if (chance < 20) {
                position++;
            } else if (position >= length) {
                assembler.finish(current, length);
            } else {
                String text = "t" + position + ";";
                if (assembler.acceptToken(current, position, text) instanceof StreamStep.Deliver) {
                    caller.append(text);
                }
                position++;
            }
        }
        StringBuilder expected = new StringBuilder();
        for (int token = 0; token < length; token++) {
            expected.append("t").append(token).append(";");
        }
        assertThat(assembler.complete(), is(true));
        assertThat(caller.toString(), is(expected.toString()));
        assertThat(assembler.text(), is(expected.toString()));
    }
}
