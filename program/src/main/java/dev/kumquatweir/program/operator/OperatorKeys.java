package dev.kumquatweir.program.operator;

import dev.kumquatweir.settings.OperatorSettings;
import java.util.List;
import java.util.Optional;

/** Recognises operators by their keys. Thread-safe. */
final class OperatorKeys {
    private static final String BEARER = "Bearer ";

    private final List<OperatorSettings> mOperators;

    OperatorKeys(List<OperatorSettings> operators) {
        mOperators = List.copyOf(operators);
    }

    /**
     * Returns the name of the operator that an Authorization header shows the key of. All hashes
     * are compared, so that the time does not tell which operator came close.
     */
    Optional<String> operator(String header) {
        String key = header.startsWith(BEARER) ? header.substring(BEARER.length()) : "";
        Optional<String> found = Optional.empty();
        for (OperatorSettings operator : mOperators) {
            if (operator.keyHash().matches(key)) {
                found = Optional.of(operator.name());
            }
        }
        return key.isEmpty() ? Optional.empty() : found;
    }
}
