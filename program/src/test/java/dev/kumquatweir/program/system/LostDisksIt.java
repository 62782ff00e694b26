package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a group that forgets a confirmed document or stays without a leader when two disks
 * are lost soon after a voter was replaced: until the group has adjusted its members, the replaced
 * voter counts as a third loss. A long run sets the properties {@code losses.first_seed}, {@code
 * losses.seeds} and {@code losses.rounds}; {@code losses.logs} is the folder for the files of seeds
 * that fail.
 */
final class LostDisksIt {
    private static final long FIRST_SEED = Long.getLong("losses.first_seed", 1);
    private static final long SEEDS = Long.getLong("losses.seeds", 1);
    private static final int ROUNDS = Integer.getInteger("losses.rounds", 2);
    private static final Path LOGS =
            Path.of(
                    System.getProperty(
                            "losses.logs",
                            Path.of(System.getProperty("kumquatweir.executable"))
                                    .resolveSibling("losses-logs")
                                    .toString()));

    @Test
    void confirmedDocumentsSurviveTheLossOfTwoDisksAfterReplacement(@TempDir Path folder)
            throws IOException {
        List<String> failures = new ArrayList<>();
        for (long seed : LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS).toArray()) {
            Path ofSeed = Files.createDirectory(folder.resolve("seed-" + seed));
            try (LossGroup group = new LossGroup(ofSeed, seed)) {
                group.awaitVoters();
                IntStream.range(0, ROUNDS).forEach(group::playRound);
            } catch (AssertionError | RuntimeException failure) {
                Path kept = LOGS.resolve(Long.toString(seed));
                copy(ofSeed, kept);
                String line = "seed=%d failed: %s; files in %s".formatted(seed, failure, kept);
                System.out.println(line);
                failures.add(line);
            }
        }
        assertThat(failures, empty());
    }

    private static void copy(Path source, Path target) throws IOException {
        Files.createDirectories(target);
        try (Stream<Path> files = Files.walk(source)) {
            files.filter(Files::isRegularFile)
                    .forEach(file -> copyFile(file, target.resolve(source.relativize(file))));
        }
    }

    private static void copyFile(Path file, Path target) {
        try {
            Files.createDirectories(target.getParent());
            Files.deleteIfExists(target);
            Files.copy(file, target);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
