package dev.kumquatweir.program.system;

import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Checks the recorded history of the requests with one idempotency key: searches an order of all
 * operations that agrees with their times and in which each answer is right (Wing and Gong, with
 * visited configurations remembered).
 */
final class HoldHistory {
    private HoldHistory() {}

    /** What a caller was told. */
    enum Kind {
        /** The answer of an execution, its own or a recorded one. */
        ANSWERED,
        IN_PROGRESS,
        OUTCOME_UNKNOWN,
        /** A refusal that says that the action did not run. */
        NOT_RUN,
        /** A broken connection, or a refusal that does not know; may take effect at any time. */
        UNCERTAIN
    }

    /** One request with the times at which its caller began and was answered. */
    record Operation(long beginNanos, long endNanos, Kind kind, String answer) {
        boolean before(Operation other) {
            return kind != Kind.UNCERTAIN && endNanos < other.beginNanos;
        }
    }

    /** The agreed state of the key. */
    private enum Stage {
        FREE,
        CLAIMED,
        DONE,
        UNKNOWN
    }

    private record State(Stage stage, String answer) {}

    private record Configuration(BitSet ordered, State state) {}

    static boolean linearizable(List<Operation> operations) {
        State free = new State(Stage.FREE, "");
        return search(operations, new BitSet(), free, new HashSet<>());
    }

    private static boolean search(
            List<Operation> operations, BitSet ordered, State state, Set<Configuration> visited) {
        if (ordered.cardinality() == operations.size()) {
            return true;
        }
        if (!visited.add(new Configuration((BitSet) ordered.clone(), state))) {
            return false;
        }
        for (int next = ordered.nextClearBit(0);
                next < operations.size();
                next = ordered.nextClearBit(next + 1)) {
            if (mayComeNext(operations, ordered, next)) {
                ordered.set(next);
                for (State following : following(state, operations.get(next))) {
                    if (search(operations, ordered, following, visited)) {
                        return true;
                    }
                }
                ordered.clear(next);
            }
        }
        return false;
    }

    private static boolean mayComeNext(List<Operation> operations, BitSet ordered, int next) {
        for (int other = ordered.nextClearBit(0);
                other < operations.size();
                other = ordered.nextClearBit(other + 1)) {
            if (other != next && operations.get(other).before(operations.get(next))) {
                return false;
            }
        }
        return true;
    }

    private static List<State> following(State state, Operation operation) {
        Optional<State> next =
                switch (operation.kind()) {
                    case ANSWERED -> answered(state, operation.answer());
                    case IN_PROGRESS -> keptIn(state, Stage.FREE, Stage.CLAIMED);
                    case OUTCOME_UNKNOWN ->
                            keptIn(state, Stage.CLAIMED, Stage.UNKNOWN)
                                    .map(claimed -> new State(Stage.UNKNOWN, ""));
                    case NOT_RUN -> keptIn(state, Stage.FREE);
                    case UNCERTAIN -> Optional.of(state);
                };
        boolean mayClaim = operation.kind() == Kind.UNCERTAIN && state.stage() == Stage.FREE;
        return mayClaim
                ? List.of(state, new State(Stage.CLAIMED, ""))
                : next.map(List::of).orElse(List.of());
    }

    private static Optional<State> answered(State state, String answer) {
        return switch (state.stage()) {
            case FREE, CLAIMED -> Optional.of(new State(Stage.DONE, answer));
            case DONE -> state.answer().equals(answer) ? Optional.of(state) : Optional.empty();
            case UNKNOWN -> Optional.empty();
        };
    }

    private static Optional<State> keptIn(State state, Stage... stages) {
        return List.of(stages).contains(state.stage()) ? Optional.of(state) : Optional.empty();
    }
}
