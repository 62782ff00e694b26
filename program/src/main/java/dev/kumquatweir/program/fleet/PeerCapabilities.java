package dev.kumquatweir.program.fleet;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.pack.MessagePackReader;
import dev.kumquatweir.core.pack.MessagePackWriter;
import java.util.List;
import java.util.Set;

/**
 * Extensions of the messages to a scheduler that a control instance knows. An instance of an
 * earlier version refuses the question, since it has no handler for it, and is sent no extension.
 * Immutable.
 *
 * @param names names of the extensions; unknown ones are ignored
 */
record PeerCapabilities(Set<String> names) {
    /** Of an instance that has not answered, or is of an earlier version. */
    static final PeerCapabilities NONE = new PeerCapabilities(Set.of());

    private static final String PLACEMENT_DETAILS = "placement-details";

    private static final String HELPER_MEMORY = "helper-memory";

    /** Of this version. */
    static final PeerCapabilities OWN =
            new PeerCapabilities(Set.of(PLACEMENT_DETAILS, HELPER_MEMORY));

    PeerCapabilities {
        names = Set.copyOf(names);
    }

    /**
     * Returns whether placement requests may carry team, route, output limit and output hint, and
     * event counts may be reported.
     */
    boolean placementDetails() {
        return names.contains(PLACEMENT_DETAILS);
    }

    /** Returns whether the helpers of running requests may be reported. */
    boolean helperMemory() {
        return names.contains(HELPER_MEMORY);
    }

    Bytes encode() {
        return new MessagePackWriter()
                .writeList(List.copyOf(names), MessagePackWriter::writeString)
                .toBytes();
    }

    /** Decodes a response; malformed content counts as no capability. */
    static PeerCapabilities decode(Bytes content) {
        return MessagePackReader.decode(
                        content,
                        reader ->
                                new PeerCapabilities(
                                        Set.copyOf(reader.readList(MessagePackReader::readString))))
                .getOrElse(NONE);
    }
}
