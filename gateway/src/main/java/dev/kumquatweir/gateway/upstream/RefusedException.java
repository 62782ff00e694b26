package dev.kumquatweir.gateway.upstream;

import dev.kumquatweir.policy.dispatch.AttemptEvent;

/** Carries an upstream's refusal through the library's publishers. */
final class RefusedException extends RuntimeException {
    private final AttemptEvent.Refusal mReason;

    RefusedException(AttemptEvent.Refusal reason) {
        super("the upstream refused the attempt: " + reason);
        mReason = reason;
    }

    AttemptEvent.Refusal reason() {
        return mReason;
    }
}
