package dev.kumquatweir.agreement.codec;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.agreement.lease.LeaseGrant;
import dev.kumquatweir.agreement.lease.LeaseRequest;
import dev.kumquatweir.agreement.port.EntryKind;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.Member;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.MemberRole;
import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.agreement.raft.MessageBody;
import dev.kumquatweir.agreement.raft.RaftMessage;
import dev.kumquatweir.agreement.state.ClaimKey;
import dev.kumquatweir.agreement.state.Claimant;
import dev.kumquatweir.agreement.state.StateCommand;
import dev.kumquatweir.agreement.state.StateMachine;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.control.ClaimOutcome;
import dev.kumquatweir.core.control.RecordedResponse;
import dev.kumquatweir.core.identity.CommandId;
import dev.kumquatweir.core.identity.IdempotencyKey;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.core.identity.TeamName;
import dev.kumquatweir.core.pack.MalformedContent;
import io.vavr.control.Either;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class CodecTest {
    private static final MemberId ANNA = new MemberId("a", "store-a");
    private static final MemberId BEN = new MemberId("b", "store-b");
    private static final Membership MEMBERS =
            new Membership(
                    List.of(
                            new Member(ANNA, MemberRole.VOTER, "127.0.0.1:1"),
                            new Member(BEN, MemberRole.LEARNER, "")));
    private static final InstanceId INSTANCE = new InstanceId("entry-1");
    private static final Claimant CLAIMANT = new Claimant(new RequestId("r"), INSTANCE, 9);
    private static final ClaimKey KEY =
            new ClaimKey(new TeamName("team"), new IdempotencyKey("key"));

    static Stream<MessageBody> bodies() {
        var entries =
                List.of(
                        new LogEntry(8, 3, Bytes.ofText("x"), EntryKind.COMMAND),
                        new LogEntry(9, 4, MembershipCodec.encode(MEMBERS), EntryKind.MEMBERSHIP));
        return Stream.of(
                new MessageBody.PreVoteRequest(1, 2),
                new MessageBody.PreVoteResponse(true),
                new MessageBody.VoteRequest(1, 2, true),
                new MessageBody.VoteResponse(false),
                new MessageBody.AppendEntriesRequest(7, 3, entries, 5, -99),
                new MessageBody.AppendEntriesResponse(true, 1, 2, 3, 4),
                new MessageBody.InstallSnapshotRequest(
                        9, 4, MEMBERS, 100, Bytes.ofText("data"), true, 5),
                new MessageBody.InstallSnapshotResponse(1, 2, 3),
                new MessageBody.TimeoutNow(),
                new MessageBody.StaleTerm());
    }

    static Stream<StateCommand> commands() {
        var answer = new RecordedResponse(200, "text/plain", Bytes.ofText("body"), true);
        return Stream.of(
                new StateCommand.ApplyConfiguration(
                        1, new CommandId("c"), "anna", 3, Bytes.ofText("document")),
                new StateCommand.StartInstance(2, INSTANCE, Long.MIN_VALUE),
                new StateCommand.Claim(3, CLAIMANT, KEY, "hash", 1_000),
                new StateCommand.RecordOutcome(4, CLAIMANT, KEY, new ClaimOutcome.Finished(answer)),
                new StateCommand.RecordOutcome(5, CLAIMANT, KEY, new ClaimOutcome.Unknown()),
                new StateCommand.RecordOutcome(6, CLAIMANT, KEY, new ClaimOutcome.NotExecuted()),
                new StateCommand.Expire(7),
                new StateCommand.AcquireEpoch(8, "rollout", INSTANCE));
    }

    // Guards against a field that is lost or swapped by encoding and decoding, and against an
    // exception or an unbounded allocation for truncated or damaged messages.
    @ParameterizedTest
    @MethodSource("bodies")
    void messagesRoundTripAndDamagedBytesNeverThrow(MessageBody body) {
        var message = new RaftMessage("cluster", ANNA, BEN, 12, body);
        checkRoundTripAndDamage(MessageCodec.encode(message), MessageCodec::decode, message);
    }

    // Guards against the same faults in log entries, which stay on disk.
    @ParameterizedTest
    @MethodSource("commands")
    void commandsRoundTripAndDamagedBytesNeverThrow(StateCommand command) {
        checkRoundTripAndDamage(CommandCodec.encode(command), CommandCodec::decode, command);
        StateCommand later = command.withTime(99);
        assertThat(later.nowMillis(), equalTo(99L));
        assertThat(later.withTime(command.nowMillis()), equalTo(command));
    }

    // Guards against the same faults in lease messages.
    @Test
    void leaseMessagesRoundTripAndDamagedBytesNeverThrow() {
        var request = new LeaseRequest(INSTANCE, -5, 6, 7);
        checkRoundTripAndDamage(LeaseCodec.encode(request), LeaseCodec::decodeRequest, request);
        var document = Optional.of(Bytes.ofText("document"));
        var grant = new LeaseGrant(INSTANCE, 1, 2, 3, document, 4);
        checkRoundTripAndDamage(LeaseCodec.encode(grant), LeaseCodec::decodeGrant, grant);
    }

    // Guards against the same faults in snapshots.
    @Test
    void snapshotsRoundTripAndDamagedBytesNeverThrow() {
        var machine = new StateMachine(dev.kumquatweir.agreement.state.StateLimits.STANDARD);
        long index = 1;
        for (StateCommand command : commands().toList()) {
            index++;
            machine.apply(new LogEntry(index, 1, CommandCodec.encode(command), EntryKind.COMMAND));
        }
        checkRoundTripAndDamage(
                machine.snapshot(),
                content -> StateMachine.restore(content).map(StateMachine::snapshot),
                machine.snapshot());
    }

    // Guards against a damaged length field that makes the decoder allocate gigabytes.
    @Test
    void hugeLengthsAreRefused() {
        byte[] hugeBinary = {(byte) 0xc6, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff};
        byte[] hugeArray = {(byte) 0xdd, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff};
        byte[] hugeText = {(byte) 0xdb, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff};
        for (byte[] content : List.of(hugeBinary, hugeArray, hugeText)) {
            assertThat(MembershipCodec.decode(Bytes.copyOf(content)).isLeft(), is(true));
            assertThat(MessageCodec.decode(Bytes.copyOf(content)).isLeft(), is(true));
        }
    }

    // Guards against a malformed membership that is detected only after it was appended to the log.
    @Test
    void malformedMembershipEntryIsRefusedWithItsMessage() {
        var entry = new LogEntry(2, 1, Bytes.ofText("junk"), EntryKind.MEMBERSHIP);
        var body = new MessageBody.AppendEntriesRequest(1, 1, List.of(entry), 1, 1);
        Bytes encoded = MessageCodec.encode(new RaftMessage("cluster", ANNA, BEN, 1, body));
        assertThat(MessageCodec.decode(encoded).isLeft(), is(true));
    }

    private static <T> void checkRoundTripAndDamage(
            Bytes encoded, Function<Bytes, Either<MalformedContent, T>> decoder, T expected) {
        assertThat(decoder.apply(encoded).get(), equalTo(expected));
        byte[] content = encoded.toArray();
        for (int length = 1; length < content.length; length++) {
            Bytes cut = Bytes.copyOf(Arrays.copyOf(content, length));
            assertThat("cut at " + length, decoder.apply(cut).isLeft(), is(true));
        }
        var random = new SplittableRandom(3);
        for (int round = 0; round < 2_000; round++) {
            byte[] damaged = content.clone();
            damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
            // Damaged bytes may still decode; the decoder must not throw anything.
            decoder.apply(Bytes.copyOf(damaged))
                    .peekLeft(fault -> assertThat(fault.code(), equalTo("malformed_content")));
        }
    }
}
