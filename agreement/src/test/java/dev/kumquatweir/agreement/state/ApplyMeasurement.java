package dev.kumquatweir.agreement.state;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import dev.kumquatweir.agreement.codec.CommandCodec;
import dev.kumquatweir.agreement.codec.StateCodec;
import dev.kumquatweir.agreement.port.EntryKind;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.control.ClaimOutcome;
import dev.kumquatweir.core.control.RecordedResponse;
import dev.kumquatweir.core.identity.CommandId;
import dev.kumquatweir.core.identity.IdempotencyKey;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.core.identity.TeamName;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Prints apply times, snapshot sizes and heap use. Run it with {@code -Dtest=ApplyMeasurement}; it
 * asserts no time limits.
 */
class ApplyMeasurement {
    private static final int CLAIMS = 100_000;
    private static final Bytes DOCUMENT = Bytes.ofText("x".repeat(8_000));
    private static final RecordedResponse RESPONSE =
            new RecordedResponse(200, "application/json", Bytes.ofText("y".repeat(300)), true);

    @Test
    void configurationChanges() {
        for (int round = 0; round < 2; round++) {
            for (int count : new int[] {100, 1_000, 10_000}) {
                List<LogEntry> entries =
                        LongStream.range(0, count).mapToObj(ApplyMeasurement::change).toList();
                measure(count + " changes of 8,000 bytes", entries);
            }
        }
    }

    @Test
    void claims() {
        for (int round = 0; round < 2; round++) {
            measure("100,000 open claims", claimEntries(false));
            measure("100,000 claims with answers of 300 bytes", claimEntries(true));
        }
    }

    private static void measure(String name, List<LogEntry> entries) {
        long memoryBefore = usedBytes();
        var machine = new StateMachine(StateLimits.STANDARD);
        long start = System.nanoTime();
        entries.forEach(machine::apply);
        long applied = System.nanoTime();
        StateImage image = machine.image();
        long copied = System.nanoTime();
        int size = StateCodec.encode(image).size();
        long taken = System.nanoTime();
        restore(machine);
        long ended = System.nanoTime();
        long memory = usedBytes() - memoryBefore;
        System.out.printf(
                "%s: apply %.1f ms (%.2f us an entry), copy %.1f ms, encode %,d bytes %.1f ms,"
                        + " snapshot and restore %.1f ms, state about %,d bytes of heap%n",
                name,
                (applied - start) / 1e6,
                (applied - start) / 1e3 / entries.size(),
                (copied - applied) / 1e6,
                size,
                (taken - copied) / 1e6,
                (ended - taken) / 1e6,
                memory);
        assertThat(machine.claimCount() <= CLAIMS, equalTo(true));
    }

    /** Takes another snapshot and restores it, so the measured time includes both. */
    private static void restore(StateMachine machine) {
        StateMachine restored = StateMachine.restore(machine.snapshot()).get();
        assertThat(restored.claimCount(), equalTo(machine.claimCount()));
    }

    private static long usedBytes() {
        for (int round = 0; round < 3; round++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static LogEntry change(long number) {
        var command =
                new StateCommand.ApplyConfiguration(
                        number, new CommandId(uuid(number)), "operator", number, DOCUMENT);
        return entry(number + 2, command);
    }

    private static List<LogEntry> claimEntries(boolean finished) {
        List<LogEntry> entries = new ArrayList<>();
        var instance = new InstanceId("entry-1");
        entries.add(entry(2, new StateCommand.StartInstance(0, instance, 1)));
        for (long number = 0; number < CLAIMS; number++) {
            var claimant = new Claimant(new RequestId(uuid(number)), instance, 2);
            var key =
                    new ClaimKey(
                            new TeamName("team-" + number % 10),
                            new IdempotencyKey(uuid(number * 7 + 1)));
            String hash = uuid(number).replace("-", "").repeat(2);
            long index = entries.size() + 2L;
            entries.add(entry(index, new StateCommand.Claim(number, claimant, key, hash, 60_000)));
            if (finished) {
                var outcome = new ClaimOutcome.Finished(RESPONSE);
                entries.add(
                        entry(
                                index + 1,
                                new StateCommand.RecordOutcome(number, claimant, key, outcome)));
            }
        }
        return entries;
    }

    private static LogEntry entry(long index, StateCommand command) {
        return new LogEntry(index, 1, CommandCodec.encode(command), EntryKind.COMMAND);
    }

    private static String uuid(long number) {
        return new UUID(number * 0x9E3779B97F4A7C15L, number).toString();
    }
}
