package dev.kumquatweir.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Result of a run. Immutable.
 *
 * @param durationMillis time from the first call to the last answer
 * @param chats streamed chat completions sent
 * @param completed answers verified as whole
 * @param refused chats refused without having run
 * @param failed chats that failed with a typed failure
 * @param interrupted chats whose connection broke off
 * @param resent tries that were sent again because no response had begun
 * @param actions actions sent
 * @param confirmed actions confirmed as executed
 * @param notRun actions refused as not run
 * @param unknown actions whose outcome the caller does not know
 * @param tokens tokens received
 * @param mostStreams largest number of chats in flight at once
 * @param errors refusals and failures by type
 * @param violations broken invariants by kind
 * @param examples first violations with the name of the call
 * @param sendLag how far sending fell behind the schedule
 * @param betweenTokens time between parts of an answer
 * @param classes figures by length class
 */
public record LoadReport(
        long durationMillis,
        long chats,
        long completed,
        long refused,
        long failed,
        long interrupted,
        long resent,
        long actions,
        long confirmed,
        long notRun,
        long unknown,
        long tokens,
        long mostStreams,
        Map<String, Long> errors,
        Map<Violation, Long> violations,
        List<String> examples,
        LatencySummary sendLag,
        LatencySummary betweenTokens,
        List<ClassReport> classes) {

    /** Copies maps and lists. */
    public LoadReport {
        errors = Map.copyOf(errors);
        violations = Map.copyOf(violations);
        examples = List.copyOf(examples);
        classes = List.copyOf(classes);
    }

    /**
     * Figures of one length class.
     *
     * @param name name of the class
     * @param firstToken time to the first token
     * @param total time to the end of the answer
     * @param slowdown total time divided by the baseline, null if it is not measured
     */
    public record ClassReport(
            String name,
            LatencySummary firstToken,
            LatencySummary total,
            @Nullable LatencySummary slowdown) {}

    /** Returns the number of violations of one kind. */
    public long count(Violation violation) {
        return violations.getOrDefault(violation, 0L);
    }

    /** Returns 1 if an invariant was broken, else 0. */
    public int exitStatus() {
        return violations.isEmpty() ? 0 : 1;
    }

    /** Returns the report as lines of key=value pairs. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add(
                "chats=%d completed=%d refused=%d failed=%d interrupted=%d resent=%d"
                        .formatted(chats, completed, refused, failed, interrupted, resent));
        lines.add(
                "actions=%d confirmed=%d not_run=%d unknown=%d"
                        .formatted(actions, confirmed, notRun, unknown));
        lines.add(
                "tokens=%d seconds=%.2f tokens_per_second=%.0f most_streams=%d"
                        .formatted(
                                tokens,
                                durationMillis / 1e3,
                                tokens * 1e3 / Math.max(1, durationMillis),
                                mostStreams));
        for (ClassReport figures : classes) {
            String label = "class=" + figures.name();
            lines.add(label + " first_token " + figures.firstToken().text("_ms"));
            lines.add(label + " total " + figures.total().text("_ms"));
            if (figures.slowdown() != null) {
                lines.add(label + " slowdown " + figures.slowdown().text(""));
            }
        }
        lines.add("between_tokens " + betweenTokens.text("_ms"));
        lines.add("send_lag " + sendLag.text("_ms"));
        errors.forEach((type, count) -> lines.add("error type=" + type + " count=" + count));
        violations.forEach(
                (kind, count) -> lines.add("VIOLATION " + kind.wireName() + " count=" + count));
        examples.forEach(example -> lines.add("VIOLATION " + example));
        return lines;
    }
}
