package dev.kumquatweir.program.operator;

import dev.kumquatweir.settings.OperatorSettings;
import java.util.List;
import java.util.Optional;

/** Recognises operators by their keys. Thread-safe. */
final class OperatorAuthenticator {
    private static final String BEARER = "Bearer ";

    private final List<OperatorSettings> mOperators;

    OperatorAuthenticator(List<OperatorSettings> operators) {
        mOperators = List.copyOf(operators);
    }

    /**
     * Returns the name of the operator that an Authorization header shows the key of. All hashes
     * are compared, so that the time does not tell which operator came close.
     */
    Optional<String> authenticate(String header) {
        String key = header.startsWith(BEARER) ? header.substring(BEARER.length()) : "";
        Optional<String> match = Optional.empty();
        for (OperatorSettings operator : mOperators) {
            if (operator.keyHash().matches(key)) {
                match = Optional.of(operator.name());
            }
        }
        return key.isEmpty() ? Optional.empty() : match;
    }
}
