package dev.kumquatweir.policy.memory;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.InstanceId;
import java.util.Optional;

/**
 * Who made an attempt, as its id {@code INSTANCE:INCARNATION:NUMBER} tells. Immutable.
 *
 * @param instance the instance
 * @param incarnation incarnation of the instance
 * @param number counts the attempts of the incarnation
 */
public record AttemptOrigin(InstanceId instance, long incarnation, long number) {
    /** Returns the origin of an attempt, or nothing if the id is not of this form. */
    public static Optional<AttemptOrigin> parse(AttemptId attempt) {
        return parse(attempt.value());
    }

    /**
     * Returns the origin of a KV export. Its handle is the id of the attempt whose memory it holds,
     * alone or followed by a slash and anything.
     */
    public static Optional<AttemptOrigin> ofHandle(String handle) {
        int slash = handle.indexOf('/');
        return parse(slash < 0 ? handle : handle.substring(0, slash));
    }

    /** Returns the id of the attempt. */
    public AttemptId attemptId() {
        return new AttemptId(instance.value() + ':' + incarnation + ':' + number);
    }

    /** The name of an instance may itself have colons, so the id is read from its end. */
    private static Optional<AttemptOrigin> parse(String text) {
        int last = text.lastIndexOf(':');
        int middle = text.lastIndexOf(':', last - 1);
        if (middle < 1) {
            return Optional.empty();
        }
        long incarnation = number(text, middle + 1, last);
        long number = number(text, last + 1, text.length());
        if (incarnation < 0 || number < 0) {
            return Optional.empty();
        }
        InstanceId instance = new InstanceId(text.substring(0, middle));
        return Optional.of(new AttemptOrigin(instance, incarnation, number));
    }

    private static long number(String text, int from, int to) {
        if (from >= to || to - from > 18) {
            return -1;
        }
        long value = 0;
        for (int position = from; position < to; position++) {
            char digit = text.charAt(position);
            if (digit < '0' || digit > '9') {
                return -1;
            }
            value = value * 10 + (digit - '0');
        }
        return value;
    }
}
