package dev.kumquatweir.program.operator;

import dev.kumquatweir.settings.OperatorSettings;
import java.util.List;
import java.util.Optional;

/** Authenticates operators by their bearer keys. Thread-safe. */
final class OperatorAuthenticator {
    private static final String BEARER = "Bearer ";

    private final List<OperatorSettings> mOperators;

    OperatorAuthenticator(List<OperatorSettings> operators) {
        mOperators = List.copyOf(operators);
    }

    /**
     * Returns the name of the operator whose key an Authorization header carries, empty if there is
     * none. Compares the key with the hashes of all operators, so that the response time does not
     * reveal which one matched.
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
