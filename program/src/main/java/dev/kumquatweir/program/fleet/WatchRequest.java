package dev.kumquatweir.program.fleet;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MessagePackReader;
import dev.kumquatweir.core.pack.MessagePackWriter;
import io.vavr.control.Either;
import java.util.List;

/**
 * Long-poll request to a control instance for changes since its last response. Answered at once if
 * there are changes, else when there are or after {@code maximumWaitMillis}.
 *
 * @param routingChangeCount change count of the routing image known to the sender
 * @param directoryIncarnation start of the receiving process to which the revision belongs
 * @param directoryRevision revision of its directory up to which the sender has the statuses
 * @param quarantineRevision revision of its quarantine directory up to which the sender has the
 *     verdicts
 * @param verdicts verdicts on parts of prompts that the receiver may lack
 * @param fromEntry whether the sender is an entry instance, which serves callers
 * @param cutOff whether the sender reaches no upstream
 * @param maximumWaitMillis time after which it is answered at the latest
 */
record WatchRequest(
        long routingChangeCount,
        long directoryIncarnation,
        long directoryRevision,
        long quarantineRevision,
        List<QuarantineVerdict> verdicts,
        boolean fromEntry,
        boolean cutOff,
        long maximumWaitMillis) {
    WatchRequest {
        verdicts = List.copyOf(verdicts);
    }

    Bytes encode() {
        return new MessagePackWriter()
                .writeLong(routingChangeCount)
                .writeLong(directoryIncarnation)
                .writeLong(directoryRevision)
                .writeLong(quarantineRevision)
                .writeList(verdicts, QuarantineVerdict::write)
                .writeBoolean(fromEntry)
                .writeBoolean(cutOff)
                .writeLong(maximumWaitMillis)
                .toBytes();
    }

    static Either<MalformedContent, WatchRequest> decode(Bytes content) {
        return MessagePackReader.decode(
                content,
                reader ->
                        new WatchRequest(
                                reader.readLong(),
                                reader.readLong(),
                                reader.readLong(),
                                reader.readLong(),
                                reader.readList(QuarantineVerdict::read),
                                reader.readBoolean(),
                                reader.readBoolean(),
                                reader.readLong()));
    }
}
