package dev.kumquatweir.standin.model;

/**
 * The answers of stand-in engines: a pure function of the prompt and the index of a token, so that
 * a reader can verify each token, on whichever engines an answer was produced. Thread-safe: holds
 * no state.
 */
public final class StandinTokens {
    /** Starts the verified part of a prompt. Text before it does not change the answer. */
    public static final String PROMPT_START = "[[prompt ";

    /** Ends the verified part of a prompt. Text behind it does not change the answer. */
    public static final String PROMPT_END = "[[end]]";

    /** Length of the text of each token in characters. */
    public static final int TOKEN_CHARACTERS = 6;

    /** Characters of a prompt that count as one token. */
    public static final int CHARACTERS_PER_TOKEN = 4;

    private static final long GOLDEN_RATIO = 0x9E3779B97F4A7C15L;
    private static final long FNV_OFFSET = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;
    private static final int SHORTEST_ANSWER_TOKENS = 2_048;
    private static final int LETTERS = 26;

    private StandinTokens() {}

    /**
     * Returns the number that decides the whole answer. If the prompt has the markers {@link
     * #PROMPT_START} and {@link #PROMPT_END}, only the text from the first start to the last end
     * counts, so that a chat template around a message does not change the answer.
     */
    public static long seed(String prompt) {
        int start = prompt.indexOf(PROMPT_START);
        int end = prompt.lastIndexOf(PROMPT_END);
        boolean marked = start >= 0 && end > start;
        int from = marked ? start : 0;
        int until = marked ? end : prompt.length();
        long hash = FNV_OFFSET;
        for (int position = from; position < until; position++) {
            hash = (hash ^ prompt.charAt(position)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** Returns the text of a token: five letters and a space. */
    public static String text(long seed, long index) {
        char[] letters = new char[TOKEN_CHARACTERS];
        long rest = mix(seed + index * GOLDEN_RATIO) >>> 1;
        for (int position = 0; position < TOKEN_CHARACTERS - 1; position++) {
            letters[position] = (char) ('a' + rest % LETTERS);
            rest /= LETTERS;
        }
        letters[TOKEN_CHARACTERS - 1] = ' ';
        return new String(letters);
    }

    /** Returns the text of the first tokens of an answer. */
    public static String answer(long seed, long tokens) {
        StringBuilder answer = new StringBuilder((int) tokens * TOKEN_CHARACTERS);
        for (long index = 0; index < tokens; index++) {
            answer.append(text(seed, index));
        }
        return answer.toString();
    }

    /** Returns the length at which an answer ends by itself, from 2,048 to 4,095 tokens. */
    public static long naturalLength(long seed) {
        return SHORTEST_ANSWER_TOKENS + (seed & (SHORTEST_ANSWER_TOKENS - 1));
    }

    /** Returns the length of the answer in tokens under a limit. */
    public static long answerLength(long seed, long maximumTokens) {
        return Math.min(naturalLength(seed), maximumTokens);
    }

    /** Returns the length of a prompt in tokens: characters / 4, rounded up. */
    public static long promptTokens(String prompt) {
        return (prompt.length() + CHARACTERS_PER_TOKEN - 1L) / CHARACTERS_PER_TOKEN;
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }
}
