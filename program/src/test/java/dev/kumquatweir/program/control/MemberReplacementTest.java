package dev.kumquatweir.program.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a control group that finds no leader any more: one voter is replaced by an
 * instance at another address, then two disks are lost while all processes are killed. The loss is
 * tried at each moment from which two further disks may be lost: once the replaced voter has ended
 * and its successor has run for 4 s.
 */
final class MemberReplacementTest {
    private static final List<String> FOUNDERS = List.of("a", "b", "c", "d", "e");
    private static final String SUCCESSOR = "f";

    /** Time after which a successor counts in place of the machine that it replaces. */
    private static final long CATCH_UP_MILLIS = 4_000;

    /** Time from the start of a process until its replica runs, on a slow machine. */
    private static final long PROCESS_START_MILLIS = 1_500;

    /** Most time that a planned stop takes for handing over the place. */
    private static final long DEPARTURE_MILLIS = 2_000;

    private static final long CONFIRMATION_MILLIS = 2_500;

    /** Time within which the group confirms again after all machines are back. */
    private static final long RECOVERY_MILLIS = 12_000;

    /**
     * A moment of the loss.
     *
     * @param old the replaced voter
     * @param afterMillis time after the earliest moment at which two further disks may be lost
     * @param lost the instances whose disks are lost
     */
    private record Loss(String old, long afterMillis, List<String> lost) {
        VirtualGroup group() {
            return new VirtualGroup(old.hashCode() * 10_000L + afterMillis, FOUNDERS);
        }
    }

    @Test
    void voterThatHandedOverItsPlaceIsNotMissed() {
        assertThat(failures(MemberReplacementTest::departAfterSuccessorStarted), is(empty()));
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 500, 1_000, 1_500, 2_000})
    void voterThatStoppedEarlyIsReplacedInTime(long leadMillis) {
        assertThat(failures(loss -> departEarly(loss, leadMillis)), is(empty()));
    }

    @Test
    void killedVoterIsReplacedInTime() {
        assertThat(failures(MemberReplacementTest::kill), is(empty()));
    }

    /** The successor has run for 5 s when the old one is asked to stop. */
    private static VirtualGroup departAfterSuccessorStarted(Loss loss) {
        VirtualGroup group = loss.group();
        group.run(PROCESS_START_MILLIS);
        group.start(SUCCESSOR);
        group.runUntil(CATCH_UP_MILLIS + 1_000);
        group.depart(loss.old(), DEPARTURE_MILLIS);
        return group;
    }

    /** The old one is asked to stop when the process of the successor has run for so long. */
    private static VirtualGroup departEarly(Loss loss, long leadMillis) {
        VirtualGroup group = loss.group();
        if (leadMillis < PROCESS_START_MILLIS) {
            group.run(leadMillis);
            group.depart(loss.old(), DEPARTURE_MILLIS);
            group.runUntil(PROCESS_START_MILLIS);
            group.start(SUCCESSOR);
        } else {
            group.run(PROCESS_START_MILLIS);
            group.start(SUCCESSOR);
            group.runUntil(leadMillis);
            group.depart(loss.old(), DEPARTURE_MILLIS);
        }
        group.runUntil(CATCH_UP_MILLIS);
        return group;
    }

    /** The old one is killed and the process of the successor starts 1 s later. */
    private static VirtualGroup kill(Loss loss) {
        VirtualGroup group = loss.group();
        group.kill(loss.old());
        group.run(1_000 + PROCESS_START_MILLIS);
        group.start(SUCCESSOR);
        group.runUntil(1_000 + CATCH_UP_MILLIS);
        return group;
    }

    private static List<String> failures(Function<Loss, VirtualGroup> replacement) {
        return losses().flatMap(loss -> failure(replacement.apply(loss), loss).stream()).toList();
    }

    /** Confirms a command, then loses two disks and kills all others, and awaits the recovery. */
    private static Optional<String> failure(VirtualGroup group, Loss loss) {
        group.run(loss.afterMillis());
        if (!group.confirm("confirmed", CONFIRMATION_MILLIS)) {
            return Optional.of(loss + ": nothing confirmed before the loss");
        }
        List<String> running = group.running();
        running.forEach(group::kill);
        loss.lost().forEach(name -> group.replica(name).loseDisk());
        group.run(PROCESS_START_MILLIS);
        running.forEach(group::start);
        if (!group.await(RECOVERY_MILLIS, () -> group.reads("confirmed"))) {
            return Optional.of(loss + ": not read back");
        }
        return group.confirm("after", RECOVERY_MILLIS)
                ? Optional.empty()
                : Optional.of(loss + ": nothing confirmed afterwards");
    }

    /** All pairs of disks of the instances that remain, at all moments. */
    private static Stream<Loss> losses() {
        return Stream.of("a", "c", "e")
                .flatMap(
                        old ->
                                pairs(old)
                                        .flatMap(
                                                lost ->
                                                        moments()
                                                                .mapToObj(
                                                                        at ->
                                                                                new Loss(
                                                                                        old, at,
                                                                                        lost))));
    }

    private static LongStream moments() {
        return LongStream.of(0, 4, 10, 20, 30, 50, 100, 250, 500, 1_000, 1_500, 2_500);
    }

    /** All pairs of the instances that remain. */
    private static Stream<List<String>> pairs(String old) {
        List<String> names =
                Stream.concat(FOUNDERS.stream(), Stream.of(SUCCESSOR))
                        .filter(name -> !name.equals(old))
                        .toList();
        return IntStream.range(0, names.size())
                .boxed()
                .flatMap(
                        first ->
                                IntStream.range(first + 1, names.size())
                                        .mapToObj(
                                                second ->
                                                        List.of(
                                                                names.get(first),
                                                                names.get(second))));
    }
}
