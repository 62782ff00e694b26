package dev.kumquatweir.gateway.upstream;

/** Thrown when an upstream answers what its protocol does not allow. */
final class UnexpectedAnswerException extends RuntimeException {
    UnexpectedAnswerException(String problem) {
        super(problem);
    }
}
