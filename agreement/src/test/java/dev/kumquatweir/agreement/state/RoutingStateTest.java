package dev.kumquatweir.agreement.state;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.agreement.codec.CommandCodec;
import dev.kumquatweir.agreement.port.EntryKind;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.FailureDomain;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests routing documents and failure domains in the replicated state machine. */
final class RoutingStateTest {
    private static final FailureDomain DOMAIN = new FailureDomain("klang-a");

    private final StateMachine mState = new StateMachine(StateLimits.STANDARD);
    private long mIndex;

    /**
     * Guards against a delayed or resent document that replaces one of a higher or equal version.
     */
    @Test
    void lowerOrEqualVersionDoesNotReplaceTheDocument() {
        assertThat(put(7, "seven"), is(new StateResult.RoutingStored(7)));
        assertThat(put(5, "five"), is(new StateResult.RoutingStored(7)));
        assertThat(put(7, "other"), is(new StateResult.RoutingStored(7)));
        assertThat(mState.routing().document(), is(Bytes.ofText("seven")));
        assertThat(mState.routing().changeCount(), is(1L));
        put(9, "nine");
        assertThat(mState.routing().version(), is(9L));
    }

    /** Guards against a resent command that counts as another change. */
    @Test
    void repeatedDomainCommandCountsAsOneChange() {
        set(true);
        set(true);
        assertThat(mState.routing().domainsOutOfService(), is(Set.of(DOMAIN)));
        assertThat(mState.routing().changeCount(), is(1L));
        set(false);
        assertThat(mState.routing().domainsOutOfService(), is(Set.of()));
    }

    /** Guards against a delayed order on a failure domain that undoes a later one. */
    @Test
    void domainCommandOfAnOlderStateHasNoEffect() {
        set(true);
        long base = mState.routing().changeCount();
        assertThat(setFrom(base, false), is(new StateResult.DomainUpdated()));
        assertThat(setFrom(base + 1, true), is(new StateResult.DomainUpdated()));
        assertThat(setFrom(base, false), is(new StateResult.DomainOvertaken(base + 2)));
        assertThat(mState.routing().domainsOutOfService(), is(Set.of(DOMAIN)));
    }

    /** Guards against an order that is refused because it, or the same, is in force already. */
    @Test
    void repeatedDomainCommandOfAnOlderStateIsConfirmed() {
        assertThat(setFrom(0, true), is(new StateResult.DomainUpdated()));
        assertThat(setFrom(0, true), is(new StateResult.DomainUpdated()));
        assertThat(mState.routing().changeCount(), is(1L));
    }

    /**
     * Guards against a snapshot that omits the routing state, so that a restarted replica loses it.
     */
    @Test
    void snapshotKeepsRoutingDocumentAndDomains() {
        put(7, "seven");
        set(true);
        StateMachine restored = StateMachine.restore(mState.snapshot()).get();
        assertThat(restored.routing(), is(mState.routing()));
    }

    private StateResult put(long version, String document) {
        return apply(new StateCommand.PutRouting(1, version, Bytes.ofText(document)));
    }

    private void set(boolean outOfService) {
        apply(new StateCommand.SetDomain(1, DOMAIN, outOfService, StateCommand.SetDomain.ANY_BASE));
    }

    private StateResult setFrom(long baseChangeCount, boolean outOfService) {
        return apply(new StateCommand.SetDomain(1, DOMAIN, outOfService, baseChangeCount));
    }

    private StateResult apply(StateCommand command) {
        mIndex++;
        return mState.apply(
                new LogEntry(mIndex, 1, CommandCodec.encode(command), EntryKind.COMMAND));
    }
}
