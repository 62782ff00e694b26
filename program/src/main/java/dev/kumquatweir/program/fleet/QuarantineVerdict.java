package dev.kumquatweir.program.fleet;

import dev.kumquatweir.core.pack.MalformedContentException;
import dev.kumquatweir.core.pack.MessagePackReader;
import dev.kumquatweir.core.pack.MessagePackWriter;
import dev.kumquatweir.policy.placement.PlacementScheduler;
import dev.kumquatweir.policy.placement.QuarantinedPart;
import java.io.IOException;
import java.util.List;

/**
 * Verdict of a scheduler on a part of prompts, as instances pass it to each other. Immutable.
 *
 * @param part part, see {@link QuarantinedPart#part}
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

    /** Applies verdicts of other instances to the scheduler of this one. */
    static void apply(
            List<QuarantineVerdict> verdicts, PlacementScheduler scheduler, long nowNanos) {
        scheduler.addQuarantinedParts(
                verdicts.stream()
                        .filter(verdict -> !verdict.cleared())
                        .map(verdict -> new QuarantinedPart(verdict.part(), verdict.ageMillis()))
                        .toList(),
                nowNanos);
        scheduler.removeQuarantinedParts(
                verdicts.stream()
                        .filter(QuarantineVerdict::cleared)
                        .map(QuarantineVerdict::part)
                        .toList());
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
