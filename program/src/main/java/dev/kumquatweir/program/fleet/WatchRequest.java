package dev.kumquatweir.program.fleet;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MessagePackReader;
import dev.kumquatweir.core.pack.MessagePackWriter;
import io.vavr.control.Either;

/**
 * Asks a control instance for what has changed since its last answer; answered at once if something
 * has, else after a while.
 *
 * @param routingChangeCount change count of the routing image that is known
 * @param directoryIncarnation which life of the asked process the next number is from
 * @param directoryRevision revision of its directory up to which notices are known
 * @param fromEntry whether the asking instance serves callers
 * @param maximumWaitMillis answered after this time at the latest
 */
record WatchRequest(
        long routingChangeCount,
        long directoryIncarnation,
        long directoryRevision,
        boolean fromEntry,
        long maximumWaitMillis) {
    Bytes encode() {
        return new MessagePackWriter()
                .writeLong(routingChangeCount)
                .writeLong(directoryIncarnation)
                .writeLong(directoryRevision)
                .writeBoolean(fromEntry)
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
                                reader.readBoolean(),
                                reader.readLong()));
    }
}
