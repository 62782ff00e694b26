package dev.kumquatweir.standin.model;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class StandinTokensTest {
    @Test
    void templateAroundTheMarkedPromptDoesNotChangeTheAnswer() {
        String marked = "[[prompt 17]] text [[end]]";
        assertThat(
                StandinTokens.seed("<user>" + marked + "</user>"), is(StandinTokens.seed(marked)));
    }

    @Test
    void changeInsideTheMarkedPromptChangesTheAnswer() {
        long seed = StandinTokens.seed("[[prompt 17]] text [[end]]");
        assertThat(StandinTokens.seed("[[prompt 18]] text [[end]]"), is(not(seed)));
        assertThat(StandinTokens.seed("[[prompt 17]] tex [[end]]"), is(not(seed)));
    }

    @Test
    void tokensKeepTheirTextBetweenReleases() {
        assertThat(
                StandinTokens.answer(StandinTokens.seed("kumquat"), 3), is("abqkc yayto whdae "));
    }

    @Test
    void tokensOfAnAnswerDiffer() {
        long seed = StandinTokens.seed("kumquat");
        assertThat(
                LongStream.range(0, 1_000)
                        .mapToObj(index -> StandinTokens.text(seed, index))
                        .distinct()
                        .count(),
                is(1_000L));
    }
}
