package dev.kumquatweir.policy.memory;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.InstanceId;
import java.util.Optional;

/**
 * Generates and parses attempt ids of the form {@code INSTANCE:INCARNATION:NUMBER}. Ids are unique
 * because the incarnation increases with each start of the instance. Not thread-safe: owned by the
 * dispatch event loop; the static methods may be called from any thread.
 */
public final class AttemptIds {
    /** Largest number of digits that always fits into a long. */
    private static final int MAXIMUM_DIGITS = 18;

    private final InstanceId mInstance;
    private final long mIncarnation;
    private long mNext;

    /**
     * Creates a generator that starts with the first id of an incarnation.
     *
     * @param instance the instance; its name must not contain a slash, which separates the id from
     *     the rest of an export handle
     * @param incarnation incarnation of the instance, 0 or more
     */
    public AttemptIds(InstanceId instance, long incarnation) {
        if (incarnation < 0) {
            throw new IllegalArgumentException("incarnation " + incarnation + " is below 0");
        }
        if (instance.value().indexOf('/') >= 0) {
            throw new IllegalArgumentException(
                    "instance name " + instance + " must not contain a slash");
        }
        mInstance = instance;
        mIncarnation = incarnation;
    }

    /** Returns a new id. */
    public AttemptId next() {
        return idOf(new AttemptOrigin(mInstance, mIncarnation, mNext++));
    }

    /** Returns the id of the attempt of an origin. */
    public static AttemptId idOf(AttemptOrigin origin) {
        return new AttemptId(
                origin.instance().value() + ':' + origin.incarnation() + ':' + origin.number());
    }

    /** Returns the origin of an attempt, or empty if its id does not have this form. */
    public static Optional<AttemptOrigin> originOf(AttemptId attempt) {
        return parse(attempt.value());
    }

    /**
     * Returns the origin of a KV export, or empty if its handle does not have the expected form. A
     * handle is the id of the attempt whose memory the export keeps, optionally followed by a slash
     * and arbitrary text.
     */
    public static Optional<AttemptOrigin> originOfHandle(String handle) {
        int slash = handle.indexOf('/');
        return parse(slash < 0 ? handle : handle.substring(0, slash));
    }

    /** Parses an id from its end, because the name of an instance may contain colons. */
    private static Optional<AttemptOrigin> parse(String text) {
        int lastColon = text.lastIndexOf(':');
        int previousColon = text.lastIndexOf(':', lastColon - 1);
        if (previousColon < 1) {
            return Optional.empty();
        }
        long incarnation = parseNumber(text, previousColon + 1, lastColon);
        long number = parseNumber(text, lastColon + 1, text.length());
        if (incarnation < 0 || number < 0) {
            return Optional.empty();
        }
        InstanceId instance = new InstanceId(text.substring(0, previousColon));
        return Optional.of(new AttemptOrigin(instance, incarnation, number));
    }

    private static long parseNumber(String text, int from, int to) {
        if (from >= to || to - from > MAXIMUM_DIGITS) {
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
