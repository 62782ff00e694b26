package dev.kumquatweir.bench.load;

import dev.kumquatweir.standin.model.StandinTokens;
import java.util.SplittableRandom;

/**
 * Makes prompts: a start that the requests of a group share, then a part with the request's unique
 * name that decides the whole answer. Thread-safe: holds no state.
 */
final class PromptText {
    private static final int LETTERS = 26;
    private static final int WORD_LETTERS = 7;

    private PromptText() {}

    static String of(PlannedCall.Chat chat, long prefixTokens) {
        int characters = (int) chat.promptTokens() * StandinTokens.CHARACTERS_PER_TOKEN;
        String start = StandinTokens.PROMPT_START + chat.name() + "]] ";
        int frame = start.length() + StandinTokens.PROMPT_END.length();
        int shared =
                (int) Math.min(prefixTokens * StandinTokens.CHARACTERS_PER_TOKEN, characters / 2);
        StringBuilder prompt = new StringBuilder(characters + frame);
        fill(prompt, shared, chat.group());
        prompt.append(start);
        fill(prompt, characters - StandinTokens.PROMPT_END.length(), chat.number() + 1_000_003L);
        return prompt.append(StandinTokens.PROMPT_END).toString();
    }

    private static void fill(StringBuilder text, int untilCharacters, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        while (text.length() < untilCharacters) {
            long rest = random.nextLong() >>> 1;
            for (int letter = 0; letter < WORD_LETTERS; letter++) {
                text.append((char) ('a' + rest % LETTERS));
                rest /= LETTERS;
            }
            text.append(' ');
        }
        if (untilCharacters >= 0 && text.length() > untilCharacters) {
            text.setLength(Math.max(untilCharacters, 0));
        }
    }
}
