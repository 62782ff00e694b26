package dev.kumquatweir.agreement.raft;

import static dev.kumquatweir.agreement.raft.RaftNodeHarness.OTHER_PEER;
import static dev.kumquatweir.agreement.raft.RaftNodeHarness.PEER;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.agreement.raft.MessageBody.AppendEntriesRequest;
import dev.kumquatweir.agreement.raft.MessageBody.AppendEntriesResponse;
import dev.kumquatweir.agreement.raft.MessageBody.InstallSnapshotRequest;
import dev.kumquatweir.agreement.raft.MessageBody.InstallSnapshotResponse;
import dev.kumquatweir.core.bytes.Bytes;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Memory that the log of a replica takes, with entries of all accepted sizes. */
class LogRetentionTest {
    private static final int MEBIBYTE = 1024 * 1024;

    /** Bound of docs/design/log-limits.md: less than a third of the heap of a control instance. */
    private static final long LOG_BOUND_BYTES = 48L * MEBIBYTE;

    /** From a few bytes to the largest configuration; the payloads are shared. */
    private static final List<Bytes> COMMANDS =
            Stream.of(100, 880_000, 3_000, 40, 2_900_000, 60_000, 200, 880_000)
                    .map(size -> Bytes.copyOf(new byte[size]))
                    .toList();

    private static final Bytes LARGE = Bytes.copyOf(new byte[880_000]);

    private final RaftNodeHarness mNode =
            RaftNodeHarness.electedLeader(RaftNodeHarness.defaultSettings());
    private boolean mTakesSnapshots = true;
    private Bytes mState = Bytes.EMPTY;
    private int mSnapshotsTaken;

    // Guards against a log that is cut by the number of its entries: some hundred large
    // configurations took all memory and disks of all members.
    @Test
    void logStaysBoundedWhateverTheSizeOfItsEntries() {
        for (int number = 0; number < 4_000; number++) {
            commit(COMMANDS.get(number % COMMANDS.size()));
            assertThat(mNode.node().logSize().bytes(), lessThan(LOG_BOUND_BYTES));
        }
    }

    // Guards against a member that needs one snapshot after the other while changes go on, since
    // the entries after each are gone before it is installed.
    @Test
    void memberInContactFindsTheEntriesAfterItsSnapshot() {
        keepLeading(6_000);
        commitMany(40);
        InstallSnapshotRequest chunk = startTransfer();
        int taken = mSnapshotsTaken;
        for (int number = 0; number < 12; number++) {
            commit(LARGE);
            mNode.receive(
                    OTHER_PEER,
                    mNode.node().term(),
                    new InstallSnapshotResponse(chunk.lastIncludedIndex(), 0, mNode.nowNanos()));
        }
        assertThat("snapshots taken meanwhile", mSnapshotsTaken, greaterThan(taken));
        long next = chunk.lastIncludedIndex() + 1;
        List<RaftOutput> outputs =
                mNode.receive(
                        OTHER_PEER,
                        mNode.node().term(),
                        new AppendEntriesResponse(true, next - 1, next, 0, mNode.nowNanos()));
        assertThat(sent(outputs, InstallSnapshotRequest.class), empty());
        assertThat(
                sent(outputs, AppendEntriesRequest.class).getFirst().previousLogIndex(),
                equalTo(next - 1));
    }

    // Guards against a member out of contact for which the leader keeps its log.
    @Test
    void silentMemberKeepsNothingBeyondTheTrailingBytes() {
        commitMany(40);
        keepLeading(6_000);
        int taken = mSnapshotsTaken;
        while (mSnapshotsTaken == taken) {
            commit(LARGE);
        }
        assertThat(mNode.node().logSize().bytes(), lessThan(6L * MEBIBYTE));
    }

    // Guards against a transfer that stops for ever on a link whose round trip is longer than the
    // time after which a chunk is sent again.
    @Test
    void acknowledgementsLaterThanTheRepeatAdvanceTheTransfer() {
        mState = Bytes.copyOf(new byte[3 * MEBIBYTE]);
        commitMany(40);
        InstallSnapshotRequest chunk = startTransfer();
        long offset = 0;
        for (int number = 0; number < 3; number++) {
            long sentNanos = chunk.sentNanos();
            keepLeading(400);
            offset += chunk.data().size();
            List<RaftOutput> outputs =
                    mNode.receive(
                            OTHER_PEER,
                            mNode.node().term(),
                            new InstallSnapshotResponse(
                                    chunk.lastIncludedIndex(), offset, sentNanos));
            List<InstallSnapshotRequest> next = sent(outputs, InstallSnapshotRequest.class);
            assertThat(next, hasSize(1));
            assertThat(next.getFirst().offset(), equalTo(offset));
            chunk = next.getFirst();
        }
    }

    // Guards against batches for a slow member that are bounded in number only: each holds at
    // least one entry, whatever its size, and is encoded for each member.
    @Test
    void bytesInFlightToOneMemberAreBounded() {
        for (int number = 0; number < 6; number++) {
            mNode.propose(LARGE);
        }
        long bytes =
                mNode.outputs(RaftOutput.Send.class).stream()
                        .filter(send -> send.message().to().equals(OTHER_PEER))
                        .map(send -> send.message().body())
                        .filter(AppendEntriesRequest.class::isInstance)
                        .flatMap(body -> ((AppendEntriesRequest) body).entries().stream())
                        .mapToLong(entry -> entry.payload().size())
                        .sum();
        assertThat(bytes, lessThan(3L * MEBIBYTE));
    }

    // Guards against a log that is never cut again after one snapshot was lost.
    @Test
    void snapshotThatWasLostIsRequestedAgain() {
        mTakesSnapshots = false;
        commitMany(12);
        assertThat(requests(), hasSize(1));
        keepLeading(9_000);
        assertThat(requests(), hasSize(1));
        keepLeading(2_000);
        assertThat(requests(), hasSize(2));
    }

    // Guards against a log without bound while snapshots take too long.
    @Test
    void proposalsAreRefusedWhileTheLogCannotBeCut() {
        mTakesSnapshots = false;
        commitMany(100);
        assertThat(mNode.node().logSize().bytes(), lessThanOrEqualTo(LOG_BOUND_BYTES));
        assertThat(
                mNode.outputs(RaftOutput.RequestFailed.class).getLast().failure(),
                equalTo(new RaftFailure.Refused(RaftFailure.Reason.OVERLOADED)));
        mNode.step(new RaftInput.SnapshotTaken(mNode.node().commitIndex(), Bytes.EMPTY));
        assertThat(
                RaftNodeHarness.outputsOf(mNode.propose(LARGE), RaftOutput.RequestFailed.class),
                empty());
    }

    // Guards against snapshots of the leader that accumulate in memory while the disk is full.
    @Test
    void receivedSnapshotsWaitUntilTheLastOneIsSynced() {
        RaftNodeHarness node = RaftNodeHarness.withManualSync(RaftNodeHarness.defaultSettings());
        node.receive(PEER, 2, wholeSnapshot(40));
        node.receive(PEER, 2, wholeSnapshot(80));
        assertThat(node.node().commitIndex(), equalTo(40L));
        node.sync();
        node.receive(PEER, 2, wholeSnapshot(80));
        assertThat(node.node().commitIndex(), equalTo(80L));
    }

    private static InstallSnapshotRequest wholeSnapshot(long index) {
        return new InstallSnapshotRequest(index, 2, Membership.EMPTY, 0, Bytes.EMPTY, true, index);
    }

    private void commit(Bytes command) {
        mNode.advanceMillis(1);
        mNode.propose(command);
        mNode.acknowledge(PEER, mNode.node().lastIndex());
        if (mTakesSnapshots) {
            takeSnapshots();
        }
    }

    private void commitMany(int count) {
        IntStream.range(0, count).forEach(_ -> commit(LARGE));
    }

    /** Lets the time pass beside a member that answers, so that the leader keeps leading. */
    private void keepLeading(long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += 100) {
            mNode.tickForMillis(100);
            mNode.acknowledge(PEER, mNode.node().lastIndex());
        }
    }

    private List<RaftOutput.TakeSnapshot> requests() {
        return mNode.outputs(RaftOutput.TakeSnapshot.class);
    }

    /** Answers the request for a snapshot that has not been answered, if there is one. */
    private void takeSnapshots() {
        if (requests().size() > mSnapshotsTaken) {
            mSnapshotsTaken++;
            mNode.step(new RaftInput.SnapshotTaken(requests().getLast().index(), mState));
        }
    }

    /** Lets the leader send the newest snapshot to a member whose entries are gone. */
    private InstallSnapshotRequest startTransfer() {
        keepLeading(400);
        return sent(mNode.outputs(RaftOutput.class), InstallSnapshotRequest.class).getLast();
    }

    private static <T extends MessageBody> List<T> sent(List<RaftOutput> outputs, Class<T> kind) {
        return RaftNodeHarness.outputsOf(outputs, RaftOutput.Send.class).stream()
                .filter(send -> send.message().to().equals(OTHER_PEER))
                .map(send -> send.message().body())
                .filter(kind::isInstance)
                .map(kind::cast)
                .toList();
    }
}
