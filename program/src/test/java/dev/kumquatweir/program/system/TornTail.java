package dev.kumquatweir.program.system;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;

/** What a loss of power leaves of entries that were being written. */
final class TornTail {
    private static final int LONGEST_PART_BYTES = 64 * 1024;

    private TornTail() {}

    /**
     * Extends the newest segment of a data folder whose process has ended: the first part of a
     * group is missing and reads as zeros, the last part is there.
     */
    static void append(Path dataFolder, Random random) {
        byte[] group = new byte[LONGEST_PART_BYTES];
        random.nextBytes(group);
        int missing = 1 + random.nextInt(LONGEST_PART_BYTES - 1);
        byte[] remains = new byte[LONGEST_PART_BYTES];
        System.arraycopy(group, missing, remains, missing, LONGEST_PART_BYTES - missing);
        // A last byte that is not zero: a whole record ends so.
        remains[LONGEST_PART_BYTES - 1] = 'E';
        try {
            Optional<Path> segment = newestSegment(dataFolder);
            if (segment.isPresent()) {
                Files.write(segment.get(), remains, StandardOpenOption.APPEND);
            }
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private static Optional<Path> newestSegment(Path dataFolder) throws IOException {
        if (!Files.exists(dataFolder)) {
            return Optional.empty();
        }
        try (Stream<Path> files = Files.list(dataFolder)) {
            return files.filter(file -> file.getFileName().toString().startsWith("segment-"))
                    .filter(file -> file.getFileName().toString().endsWith(".log"))
                    .max(Path::compareTo);
        }
    }
}
