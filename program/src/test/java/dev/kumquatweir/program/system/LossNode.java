package dev.kumquatweir.program.system;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;

/** A control instance with a data folder that can be emptied, a process of the real binary. */
final class LossNode implements AutoCloseable {
    private final Path mFolder;
    private final String mAddress;
    private final LocalProcess mProcess;
    private Instant mStarted = Instant.now();
    private int mLinesBefore;

    /** Starts the process. */
    LossNode(Path folder, String address, List<String> seeds, boolean firstStart) {
        mFolder = folder;
        mAddress = address;
        writeSettings(seeds, firstStart);
        mProcess =
                LocalProcess.start(
                        folder.resolve(address + ".log"), List.of("fleet", settings().toString()));
    }

    String address() {
        return mAddress;
    }

    URI uri(String path) {
        return URI.create("http://" + mAddress + ":18229" + path);
    }

    LocalProcess process() {
        return mProcess;
    }

    Duration running() {
        return Duration.between(mStarted, Instant.now());
    }

    void startAgain(List<String> seeds) {
        writeSettings(seeds, false);
        mLinesBefore = completeLines(mProcess.log()).size();
        mStarted = Instant.now();
        mProcess.startAgain();
    }

    void emptyDisk() {
        try (Stream<Path> files = Files.walk(data())) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Leaves what a loss of power may leave of an unsynced write, after the process has ended. */
    void tearTail(Random random) {
        TornTail.append(data(), random);
    }

    /**
     * Returns whether this process knows, since it started, that these instances are the voters.
     */
    boolean knowsVoters(List<LossNode> nodes) {
        List<String> voters =
                lines()
                        .filter(line -> line.contains("event=members_changed"))
                        .reduce((first, second) -> second)
                        .stream()
                        .flatMap(line -> Stream.of(line.split("Member\\[")))
                        .filter(member -> member.contains("role=VOTER"))
                        .toList();
        return voters.size() == nodes.size()
                && nodes.stream()
                        .map(LossNode::member)
                        .allMatch(
                                member ->
                                        voters.stream()
                                                .anyMatch(
                                                        voter -> voter.startsWith("id=" + member)));
    }

    /** Returns the time from the start of the process until its newest store voted. */
    Optional<Duration> votedAfter() {
        String voter = "id=" + member() + ", role=VOTER";
        return lines().filter(line -> line.contains("event=members_changed"))
                .filter(line -> line.contains(voter))
                .map(line -> line.replaceFirst("time=([^ ]+) .*", "$1"))
                .map(time -> Duration.between(mStarted, Instant.parse(time)))
                .findFirst();
    }

    @Override
    public void close() {
        mProcess.close();
    }

    /** Returns the newest store with which this instance joined; a founder has only its address. */
    private String member() {
        return completeLines(mProcess.log()).stream()
                .filter(line -> line.contains("event=joining_group"))
                .map(line -> line.replaceFirst(".* member=([^ ]+).*", "$1"))
                .reduce((first, second) -> second)
                .orElse(mAddress + "/");
    }

    private Stream<String> lines() {
        return completeLines(mProcess.log()).stream().skip(mLinesBefore);
    }

    private static List<String> completeLines(String log) {
        return log.substring(0, log.lastIndexOf('\n') + 1).lines().toList();
    }

    private void writeSettings(List<String> seeds, boolean firstStart) {
        String text =
                """
                [instance]
                name = "control-%s"
                address = "%s"
                failure_domain = "a"
                data_folder = "%s"
                [cluster]
                name = "losses"
                key = "key-of-the-losses-test"
                seeds = "%s"
                peer_port = 17340
                first_start = %b
                lost_disks = 2
                [listen]
                metrics = "%s:19180"
                control = "%s:18229"
                """
                        .formatted(
                                mAddress.replace('.', '-'),
                                mAddress,
                                data(),
                                String.join(",", seeds),
                                firstStart,
                                mAddress,
                                mAddress);
        try {
            Files.writeString(settings(), text);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private Path settings() {
        return mFolder.resolve(mAddress + ".toml");
    }

    private Path data() {
        return mFolder.resolve("data-" + mAddress);
    }
}
