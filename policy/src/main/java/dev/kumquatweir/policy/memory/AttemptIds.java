package dev.kumquatweir.policy.memory;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.InstanceId;
import java.util.Optional;

/**
 * Makes and reads the ids of attempts, {@code INSTANCE:INCARNATION:NUMBER}. An id is never made
 * twice, as the incarnation grows with each start. Not thread-safe: owned by the dispatch duty; the
 * static methods may be called from anywhere.
 */
public final class AttemptIds {
    /** More digits could not be read back into a long. */
    private static final int MAXIMUM_DIGITS = 18;

    private final InstanceId mInstance;
    private final long mIncarnation;
    private long mNext;

    /**
     * Starts with the first id of an incarnation.
     *
     * @param instance the instance; its name has no slash, which ends the id in an export's handle
     * @param incarnation incarnation of the instance, 0 or more
     */
    public AttemptIds(InstanceId instance, long incarnation) {
        if (incarnation < 0) {
            throw new IllegalArgumentException("incarnation " + incarnation + " is below 0");
        }
        if (instance.value().indexOf('/') >= 0) {
            throw new IllegalArgumentException("instance name " + instance + " has a slash");
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

    /** Returns the origin of an attempt, or nothing if the id is not of this form. */
    public static Optional<AttemptOrigin> originOf(AttemptId attempt) {
        return parse(attempt.value());
    }

    /**
     * Returns the origin of a KV export. Its handle is the id of the attempt whose memory it holds,
     * alone or followed by a slash and anything.
     */
    public static Optional<AttemptOrigin> originOfHandle(String handle) {
        int slash = handle.indexOf('/');
        return parse(slash < 0 ? handle : handle.substring(0, slash));
    }

    /** The name of an instance may itself have colons, so the id is read from its end. */
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
