package dev.kumquatweir.gateway.upstream;

import dev.kumquatweir.policy.dispatch.AttemptEvent;

/** Carries an upstream's refusal through the library's publishers. */
final class RefusedException extends RuntimeException {
    private final AttemptEvent.RefusalReason mReason;

    RefusedException(AttemptEvent.RefusalReason reason) {
        super("the upstream refused the attempt: " + reason);
        mReason = reason;
    }

    AttemptEvent.RefusalReason reason() {
        return mReason;
    }
}
