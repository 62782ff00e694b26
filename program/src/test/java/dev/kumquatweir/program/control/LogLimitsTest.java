package dev.kumquatweir.program.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.kumquatweir.agreement.raft.RaftNode;
import dev.kumquatweir.core.bytes.Bytes;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * What a control group keeps in memory and on disk, with the files of the product. Changes of all
 * accepted sizes come without a pause, while members lag, are new or have lost their disks.
 */
class LogLimitsTest {
    private static final List<String> FOUNDERS = List.of("a", "b", "c");
    private static final long MEBIBYTE = 1024 * 1024;

    /** The bounds of docs/design/log-limits.md. */
    private static final long MEMORY_BOUND_BYTES = 48 * MEBIBYTE;

    private static final long DISK_BOUND_BYTES = 64 * MEBIBYTE;

    /** 170 Mbit/s, the slowest link of a control instance that operators report. */
    private static final long LINK_BYTES_PER_SECOND = 21_250_000;

    /** Time within which operators expect a confirmation, and a member that is back its state. */
    private static final long ACKNOWLEDGE_MILLIS = 4_000;

    private static final long CATCH_UP_MILLIS = 4_000;

    /** Changes that operators have sent without waiting for the confirmation of the first one. */
    private static final int OPEN_CHANGES = 4;

    private static final List<Bytes> CHANGES = changes();

    private final Path mFolder;
    private final Deque<OpenChange> mOpen = new ArrayDeque<>();
    private int mSent;

    LogLimitsTest(@TempDir Path folder) {
        mFolder = folder;
    }

    private record OpenChange(long index, long sentMillis) {}

    /** Returns changes of all sizes up to the largest configuration, most of them small. */
    private static List<Bytes> changes() {
        SplittableRandom random = new SplittableRandom(56);
        IntStream large = IntStream.of(880_000, 60_000, 300_000, 3_000, 2_900_000, 880_000);
        return large.flatMap(size -> IntStream.of(size, 40, 500, 90, 1_000, 30, 200))
                .mapToObj(
                        size -> {
                            byte[] content = new byte[size];
                            random.nextBytes(content);
                            return Bytes.copyOf(content);
                        })
                .toList();
    }

    // Guards against a log that grows in memory and on disk with the size of its entries, and
    // against one that is cut so early that members which lag can't catch up beside the changes.
    @Test
    void memoryAndDiskStayBoundedWhileMembersCatchUp() {
        VirtualGroup group = new VirtualGroup(1, FOUNDERS, this::folder, LINK_BYTES_PER_SECOND);
        String leader = group.leader().orElseThrow().id().name();
        List<String> others = FOUNDERS.stream().filter(name -> !name.equals(leader)).toList();
        change(group, 15_000);
        group.cutOff(others.getFirst(), true);
        change(group, 3_000);
        group.cutOff(others.getFirst(), false);
        awaitCaughtUp(group, others.getFirst());
        group.kill(others.getLast());
        change(group, 3_000);
        group.replica(others.getLast()).loseDisk();
        group.start(others.getLast());
        awaitCaughtUp(group, others.getLast());
        group.start("new");
        awaitCaughtUp(group, "new");
        change(group, 10_000);
        group.kill("new");
        change(group, 2_000);
        group.start("new");
        awaitCaughtUp(group, "new");
        assertThat("changes sent", mSent, greaterThan(1_000));
        assertThat(group.await(CATCH_UP_MILLIS, () -> allHave(group)), is(true));
    }

    /** Sends changes as fast as they are confirmed and checks the bounds meanwhile. */
    private void change(VirtualGroup group, long millis) {
        for (long untilMillis = group.nowMillis() + millis; group.nowMillis() < untilMillis; ) {
            step(group);
        }
    }

    private void step(VirtualGroup group) {
        RaftNode leader = group.leader().orElseThrow().node().orElseThrow();
        while (!mOpen.isEmpty() && mOpen.getFirst().index() <= leader.commitIndex()) {
            mOpen.removeFirst();
        }
        if (mOpen.size() < OPEN_CHANGES) {
            Bytes next = CHANGES.get(mSent++ % CHANGES.size());
            long lastIndex = leader.lastIndex();
            long index = group.propose(next);
            assertThat("index of an accepted change", index, greaterThan(lastIndex));
            mOpen.add(new OpenChange(index, group.nowMillis()));
        }
        assertThat(
                "time of a change in ms",
                group.nowMillis() - mOpen.getFirst().sentMillis(),
                lessThan(ACKNOWLEDGE_MILLIS));
        group.run(2);
        group.running().forEach(name -> checkBounds(group, name));
    }

    private void checkBounds(VirtualGroup group, String name) {
        String where = name + " after " + mSent + " changes";
        long logBytes = group.replica(name).node().orElseThrow().logSize().bytes();
        assertThat(where, logBytes, lessThanOrEqualTo(MEMORY_BOUND_BYTES));
        long diskBytes = VirtualDisk.usedBytes(mFolder.resolve(name));
        assertThat(where, diskBytes, lessThanOrEqualTo(DISK_BOUND_BYTES));
    }

    /** Goes on with changes until a member has all that was confirmed when it came back. */
    private void awaitCaughtUp(VirtualGroup group, String name) {
        long confirmed = group.leader().orElseThrow().node().orElseThrow().commitIndex();
        long startMillis = group.nowMillis();
        while (group.replica(name).node().orElseThrow().commitIndex() < confirmed) {
            step(group);
            assertThat(
                    "time in which " + name + " catches up, in ms",
                    group.nowMillis() - startMillis,
                    lessThan(CATCH_UP_MILLIS));
        }
    }

    private static boolean allHave(VirtualGroup group) {
        Bytes newest = group.leader().orElseThrow().state();
        return group.running().stream()
                .allMatch(name -> group.replica(name).state().equals(newest));
    }

    private Path folder(String name) {
        try {
            return Files.createDirectories(mFolder.resolve(name));
        } catch (IOException fault) {
            throw new UncheckedIOException(fault);
        }
    }
}
