package dev.kumquatweir.agreement.state;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.agreement.codec.CommandCodec;
import dev.kumquatweir.agreement.port.EntryKind;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.control.ClaimDecision;
import dev.kumquatweir.core.control.ClaimOutcome;
import dev.kumquatweir.core.control.RecordedResponse;
import dev.kumquatweir.core.identity.CommandId;
import dev.kumquatweir.core.identity.IdempotencyKey;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.core.identity.TeamName;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class StateMachineTest {
    private static final long DAY_MILLIS = TimeUnit.HOURS.toMillis(24);
    private static final long TIME_LIMIT_MILLIS = 1_000;
    private static final ClaimKey KEY = key("key");
    private static final RecordedResponse RESPONSE =
            new RecordedResponse(201, "application/json", Bytes.ofText("{}"), true);
    private static final StateLimits SMALL_LIMITS =
            new StateLimits(3, 10, DAY_MILLIS, 2, 2, 3, 1, 100, 20, 4, 4);

    private StateMachine mMachine = new StateMachine(StateLimits.STANDARD);
    private long mIndex = 1;
    private long mNowMillis = 1_000_000;

    // Guards against accepting two changes of the same base version, and against a conflict that
    // does
    // not name the author of the accepted change.
    @Test
    void secondChangeFromTheSameBaseVersionConflicts() {
        assertThat(change("one", "anna", 0), equalTo(new StateResult.ConfigurationAccepted(1)));
        assertThat(
                change("two", "ben", 0),
                equalTo(new StateResult.ConfigurationConflict(1, "anna", mNowMillis)));
        assertThat(mMachine.configurationDocument(), equalTo(Bytes.ofText("one")));
    }

    // Guards against a resent command that is applied twice or conflicts with its own first run.
    @Test
    void resentCommandGetsItsFirstResult() {
        StateResult first = change("one", "anna", 0);
        change("two", "ben", 1);
        restart();
        assertThat(change("one", "anna", 0), equalTo(first));
        assertThat(mMachine.configurationVersion(), equalTo(2L));
    }

    // Guards against unbounded growth of command results, history and documents.
    @Test
    void configurationTablesAreBounded() {
        mMachine = new StateMachine(SMALL_LIMITS);
        for (int version = 0; version < 6; version++) {
            change("change-" + version, "anna", version);
        }
        assertThat(mMachine.history().size(), equalTo(3));
        assertThat(mMachine.history().getLast().baseVersion(), equalTo(5L));
        assertThat(mMachine.configurationDocument(4).isPresent(), is(false));
        assertThat(mMachine.configurationDocument(5).isPresent(), is(true));
        assertThat(change("change-0", "anna", 0), instanceOf(conflict()));
        assertThat(
                change("a document that is too long", "anna", 6),
                equalTo(new StateResult.DocumentTooLarge(20)));
    }

    // Guards against two granted claimants, and against a lost reply after which the claimant's own
    // resent claim is refused.
    @Test
    void onlyTheFirstClaimantIsGranted() {
        Claimant first = claimant("first", start("a"));
        assertThat(claim(first, "hash"), instanceOf(StateResult.ClaimGranted.class));
        assertThat(
                claim(claimant("second", start("b")), "hash"),
                equalTo(new StateResult.ClaimRunning()));
        assertThat(claim(first, "hash"), instanceOf(StateResult.ClaimGranted.class));
    }

    // Guards against a second execution after a response was recorded, also if the repeated request
    // arrives at another instance.
    @Test
    void repeatedRequestGetsTheRecordedResponse() {
        Claimant first = claimant("first", start("a"));
        claim(first, "hash");
        record(first, new ClaimOutcome.Finished(RESPONSE));
        restart();
        assertThat(
                claim(claimant("second", start("b")), "hash"),
                equalTo(new StateResult.ClaimFinished(RESPONSE)));
    }

    // Guards against one idempotency key used for two different requests.
    @Test
    void differentRequestUnderTheSameKeyIsRefused() {
        long incarnation = start("a");
        claim(claimant("first", incarnation), "hash");
        assertThat(
                claim(claimant("second", incarnation), "else"),
                equalTo(new StateResult.ClaimKeyReused()));
    }

    // Guards against reporting "in progress" forever, and against a second execution, after the
    // time
    // limit.
    @Test
    void outcomeIsUnknownOnceTheTimeLimitPassed() {
        Claimant first = claimant("first", start("a"));
        claim(first, "hash");
        mNowMillis += TIME_LIMIT_MILLIS;
        assertThat(
                claim(claimant("second", start("b")), "hash"),
                equalTo(new StateResult.ClaimUnknown()));
        assertThat(claim(first, "hash"), equalTo(new StateResult.ClaimUnknown()));
    }

    // Guards against a second execution after the claimant crashed, because it may have sent the
    // request before.
    @Test
    void outcomeIsUnknownOnceTheClaimantStartsAnew() {
        claim(claimant("first", start("a")), "hash");
        long other = start("b");
        long again = start("a");
        assertThat(
                claim(claimant("second", other), "hash"), equalTo(new StateResult.ClaimUnknown()));
        restart();
        assertThat(
                claim(claimant("third", again), "hash"), equalTo(new StateResult.ClaimUnknown()));
    }

    // Guards against claims by a process that has been replaced by a restarted one.
    @Test
    void claimOfAnEarlierIncarnationIsRefused() {
        long old = start("a");
        start("a");
        assertThat(
                claim(claimant("first", old), "hash"),
                equalTo(
                        new StateResult.ClaimRefused(
                                StateResult.ClaimRefusalReason.STALE_INCARNATION)));
    }

    // Guards against a key that stays blocked although its request was never executed.
    @Test
    void abandonedClaimMayBeClaimedByAnotherRequestOnly() {
        long incarnation = start("a");
        Claimant first = claimant("first", incarnation);
        claim(first, "hash");
        record(first, new ClaimOutcome.NotExecuted());
        assertThat(
                claim(first, "hash"),
                equalTo(new StateResult.ClaimRefused(StateResult.ClaimRefusalReason.ABANDONED)));
        assertThat(
                claim(claimant("second", incarnation), "hash"),
                instanceOf(StateResult.ClaimGranted.class));
        assertThat(
                record(first, new ClaimOutcome.Finished(RESPONSE)),
                equalTo(new StateResult.OutcomeRefused()));
    }

    // Guards against a claim that reaches the log after its own abandonment and blocks the key.
    @Test
    void claimAfterItsAbandonmentIsRefused() {
        Claimant first = claimant("first", start("a"));
        record(first, new ClaimOutcome.NotExecuted());
        assertThat(
                claim(first, "hash"),
                equalTo(new StateResult.ClaimRefused(StateResult.ClaimRefusalReason.ABANDONED)));
    }

    // Guards against a recorded response that is replaced or withdrawn.
    @Test
    void recordedOutcomeIsFinal() {
        Claimant first = claimant("first", start("a"));
        claim(first, "hash");
        record(first, new ClaimOutcome.Unknown());
        record(first, new ClaimOutcome.Finished(RESPONSE));
        assertThat(
                record(first, new ClaimOutcome.NotExecuted()),
                equalTo(new StateResult.OutcomeRefused()));
        var other = new RecordedResponse(500, "", Bytes.EMPTY, true);
        record(first, new ClaimOutcome.Finished(other));
        assertThat(claim(first, "hash"), equalTo(new StateResult.ClaimFinished(RESPONSE)));
    }

    // Guards against expiry earlier than 24 h after the outcome or the deadline, whichever is
    // later,
    // and against an expiry command that examines the whole table.
    @Test
    void claimsExpireByEntryInBoundedSteps() {
        mMachine = new StateMachine(SMALL_LIMITS);
        Claimant claimant = claimant("first", start("a"));
        for (String name : new String[] {"k1", "k2", "k3"}) {
            claim(claimant, key(name), "hash");
        }
        mNowMillis += TIME_LIMIT_MILLIS + DAY_MILLIS - 1;
        assertThat(expire(), equalTo(new StateResult.Expired(0, false)));
        assertThat(expire(), equalTo(new StateResult.Expired(0, true)));
        mNowMillis += 1;
        assertThat(expire(), equalTo(new StateResult.Expired(2, false)));
        restart();
        assertThat(expire(), equalTo(new StateResult.Expired(1, true)));
    }

    // Guards against a claimant that sends its request although the claim was not granted.
    @Test
    void onlyGrantedClaimsMayBeSent() {
        var granted = new StateResult.ClaimGranted(5);
        assertThat(ClaimDecisions.of(granted, 70), equalTo(new ClaimDecision.Granted(70)));
        var refused = new StateResult.ClaimRefused(StateResult.ClaimRefusalReason.FULL);
        assertThat(ClaimDecisions.of(refused, 70), equalTo(new ClaimDecision.Unavailable()));
        assertThat(
                ClaimDecisions.of(new StateResult.Malformed(""), 70),
                equalTo(new ClaimDecision.Unavailable()));
    }

    // Guards against unbounded memory: a full table refuses claims, and bodies of large responses
    // are
    // not stored.
    @Test
    void claimTableIsBounded() {
        mMachine = new StateMachine(SMALL_LIMITS);
        Claimant claimant = claimant("first", start("a"));
        for (String name : new String[] {"k1", "k2", "k3"}) {
            claim(claimant, key(name), "hash");
        }
        assertThat(
                claim(claimant, key("k4"), "hash"),
                equalTo(new StateResult.ClaimRefused(StateResult.ClaimRefusalReason.FULL)));
        var large = new RecordedResponse(200, "", Bytes.ofText("eleven bytes"), true);
        apply(
                new StateCommand.RecordOutcome(
                        mNowMillis, claimant, key("k1"), new ClaimOutcome.Finished(large)));
        assertThat(
                claim(claimant, key("k1"), "hash"),
                equalTo(
                        new StateResult.ClaimFinished(
                                new RecordedResponse(200, "", Bytes.EMPTY, false))));
    }

    // Guards against a claim that becomes active again because the clock of a new leader is behind.
    @Test
    void timeNeverGoesBack() {
        Claimant first = claimant("first", start("a"));
        claim(first, "hash");
        mNowMillis += TIME_LIMIT_MILLIS;
        expire();
        mNowMillis -= TIME_LIMIT_MILLIS;
        assertThat(claim(first, "hash"), equalTo(new StateResult.ClaimUnknown()));
    }

    // Guards against two holders of the same fencing epoch.
    @Test
    void laterEpochIsLarger() {
        var first = (StateResult.EpochAcquired) epoch("a");
        restart();
        var second = (StateResult.EpochAcquired) epoch("b");
        assertThat(second.epoch() > first.epoch(), is(true));
        assertThat(mMachine.epoch("rollout").orElseThrow().holder(), equalTo(new InstanceId("b")));
    }

    // Guards against a resent start command that ends the incarnation it created.
    @Test
    void resentStartKeepsTheIncarnation() {
        var start = new StateCommand.StartInstance(mNowMillis, new InstanceId("a"), 5);
        assertThat(apply(start), equalTo(apply(start)));
    }

    // Guards against an undecodable entry that crashes the replica.
    @Test
    void malformedEntryChangesNothing() {
        Bytes before = mMachine.snapshot();
        var entry = new LogEntry(2, 1, Bytes.ofText("junk"), EntryKind.COMMAND);
        assertThat(mMachine.apply(entry), instanceOf(StateResult.Malformed.class));
        assertThat(mMachine.snapshot(), equalTo(before));
    }

    private static Class<StateResult.ConfigurationConflict> conflict() {
        return StateResult.ConfigurationConflict.class;
    }

    private static ClaimKey key(String name) {
        return new ClaimKey(new TeamName("team"), new IdempotencyKey(name));
    }

    private static Claimant claimant(String request, long incarnation) {
        String instance = incarnation % 2 == 0 ? "even" : "odd";
        return new Claimant(new RequestId(request), new InstanceId(instance), incarnation);
    }

    private long start(String name) {
        // Incarnations of instance a are even and those of b odd, so that claimant() can derive the
        // instance from the incarnation.
        boolean even = name.equals("a");
        mIndex += (mIndex + 1) % 2 == 0 == even ? 0 : 1;
        var instance = new InstanceId(even ? "even" : "odd");
        var result = apply(new StateCommand.StartInstance(mNowMillis, instance, mIndex));
        return ((StateResult.InstanceStarted) result).incarnation();
    }

    private StateResult change(String document, String changedBy, long base) {
        return apply(
                new StateCommand.ApplyConfiguration(
                        mNowMillis,
                        new CommandId(document.replace(' ', '-')),
                        changedBy,
                        base,
                        Bytes.ofText(document)));
    }

    private StateResult claim(Claimant claimant, String hash) {
        return claim(claimant, KEY, hash);
    }

    private StateResult claim(Claimant claimant, ClaimKey key, String hash) {
        return apply(new StateCommand.Claim(mNowMillis, claimant, key, hash, TIME_LIMIT_MILLIS));
    }

    private StateResult record(Claimant claimant, ClaimOutcome outcome) {
        return apply(new StateCommand.RecordOutcome(mNowMillis, claimant, KEY, outcome));
    }

    private StateResult expire() {
        return apply(new StateCommand.Expire(mNowMillis));
    }

    private StateResult epoch(String holder) {
        return apply(new StateCommand.AcquireEpoch(mNowMillis, "rollout", new InstanceId(holder)));
    }

    private StateResult apply(StateCommand command) {
        mIndex++;
        Bytes payload = CommandCodec.encode(command);
        return mMachine.apply(new LogEntry(mIndex, 1, payload, EntryKind.COMMAND));
    }

    /** Replaces the state machine by one restored from its snapshot. */
    private void restart() {
        Bytes snapshot = mMachine.snapshot();
        mMachine = StateMachine.restore(snapshot).get();
        assertThat(mMachine.snapshot(), equalTo(snapshot));
    }
}
