package dev.kumquatweir.program.fleet;

import dev.kumquatweir.core.pack.MalformedContentException;
import dev.kumquatweir.core.pack.MessagePackReader;
import dev.kumquatweir.core.pack.MessagePackWriter;
import java.io.IOException;

/**
 * Verdict of a scheduler on a part of prompts, as instances pass it to each other. Immutable.
 *
 * @param part part, see {@link dev.kumquatweir.policy.placement.QuarantinedPart#part}, or a crash
 *     on one content, see {@link CrashSubject}
 * @param stamp order of the verdicts on one part: the higher one holds. It is carried unchanged,
 *     unlike the age, which each message makes younger by the time that it takes
 * @param cleared whether the quarantine has been withdrawn
 * @param ageMillis time since the last crash, or since the withdrawal
 */
record QuarantineVerdict(String part, long stamp, boolean cleared, long ageMillis) {
    static void write(MessagePackWriter writer, QuarantineVerdict verdict) {
        writer.writeString(verdict.part())
                .writeLong(verdict.stamp())
                .writeBoolean(verdict.cleared())
                .writeLong(verdict.ageMillis());
    }

    static QuarantineVerdict read(MessagePackReader reader)
            throws IOException, MalformedContentException {
        String part = reader.readString();
        long stamp = reader.readLong();
        boolean cleared = reader.readBoolean();
        long ageMillis = reader.readLong();
        if (stamp < 0 || ageMillis < 0) {
            throw new MalformedContentException("negative stamp or age of part " + part);
        }
        return new QuarantineVerdict(part, stamp, cleared, ageMillis);
    }

    /** Returns whether this is the same verdict as another one, whatever their ages. */
    boolean isSameAs(QuarantineVerdict other) {
        return part.equals(other.part) && stamp == other.stamp && cleared == other.cleared;
    }

    /** Returns whether this verdict replaces another one on the same part. */
    boolean overrules(long otherStamp, boolean otherCleared) {
        return stamp > otherStamp || (stamp == otherStamp && otherCleared && !cleared);
    }
}
