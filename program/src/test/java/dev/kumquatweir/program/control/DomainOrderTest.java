package dev.kumquatweir.program.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.agreement.codec.CommandCodec;
import dev.kumquatweir.agreement.port.EntryKind;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.state.RoutingImage;
import dev.kumquatweir.agreement.state.StateCommand;
import dev.kumquatweir.agreement.state.StateLimits;
import dev.kumquatweir.agreement.state.StateMachine;
import dev.kumquatweir.agreement.state.StateResult;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.failure.Failure;
import dev.kumquatweir.core.identity.FailureDomain;
import io.vavr.control.Either;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Replays orders of an operator in virtual time. The operator gives an order to one instance, gives
 * up after a second, closes that connection and goes on with another instance.
 */
final class DomainOrderTest {
    private static final FailureDomain DOMAIN = new FailureDomain("klang-a");
    private static final long LIMIT_MILLIS = 2_500;

    private final StateMachine mState = new StateMachine(StateLimits.STANDARD);
    private long mIndex;

    /** Guards against an order that waited in a suspended instance and undoes a later one. */
    @Test
    void orderReadAfterItsCallerLeftHasNoEffect() {
        give(true);
        // Given to an instance that is suspended, then to another one.
        give(false);
        give(true);
        Order late = new Order(false, 4_000);
        late.read(false);
        assertThat(late.failure(), instanceOf(DomainOrder.CallerLeft.class));
        assertThat(mState.routing().domainsOutOfService(), is(Set.of(DOMAIN)));
    }

    /**
     * Guards against an instance that is suspended between the check of its caller and its
     * proposal.
     */
    @Test
    void orderProposedAfterLaterOnesHasNoEffect() {
        give(true);
        Order suspended = new Order(false, 0);
        suspended.read(true);
        give(false);
        give(true);
        suspended.propose(4_000);
        assertThat(suspended.failure(), instanceOf(DomainOrder.Overtaken.class));
        assertThat(mState.routing().domainsOutOfService(), is(Set.of(DOMAIN)));
    }

    /** Guards against a proposal that is repeated after its caller has moved on. */
    @Test
    void repeatedProposalOfAnOlderStateHasNoEffect() {
        give(true);
        Order repeated = new Order(false, 0);
        repeated.read(true);
        repeated.apply();
        give(true);
        repeated.propose(2_000);
        repeated.read(false);
        assertThat(repeated.failure(), instanceOf(DomainOrder.CallerLeft.class));
        assertThat(mState.routing().domainsOutOfService(), is(Set.of(DOMAIN)));
    }

    /** Guards against an order that is refused because a configuration came at the same time. */
    @Test
    void orderIsTriedAgainAfterAnotherChange() {
        Order order = new Order(true, 0);
        order.read(true);
        apply(new StateCommand.PutRouting(0, 7, Bytes.ofText("seven")));
        order.propose(30);
        order.read(true);
        order.propose(60);
        assertThat(order.mStep, is(new DomainOrder.Step.Finish(Either.right(true))));
        assertThat(mState.routing().domainsOutOfService(), is(Set.of(DOMAIN)));
    }

    /** Guards against an order that is confirmed without a majority that confirmed its base. */
    @Test
    void orderWithoutCertainStateFails() {
        Order order = new Order(true, 0);
        order.mStep =
                order.mOrder.afterRead(Either.left(new ControlFailure.LeaderUnreachable()), true);
        assertThat(order.failure(), instanceOf(ControlFailure.LeaderUnreachable.class));
    }

    /** Gives an order whose caller waits for its result. */
    private void give(boolean outOfService) {
        Order order = new Order(outOfService, 0);
        order.read(true);
        order.propose(10);
        assertThat(order.mStep, is(new DomainOrder.Step.Finish(Either.right(true))));
    }

    private StateResult apply(StateCommand command) {
        mIndex++;
        return mState.apply(
                new LogEntry(mIndex, 1, CommandCodec.encode(command), EntryKind.COMMAND));
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** An order in one instance. */
    private final class Order {
        private final DomainOrder mOrder;
        private DomainOrder.Step mStep;

        Order(boolean outOfService, long arrivedMillis) {
            mOrder = new DomainOrder(DOMAIN, outOfService, nanos(arrivedMillis + LIMIT_MILLIS));
            mStep = mOrder.start();
        }

        void read(boolean callerWaits) {
            assertThat(mStep, instanceOf(DomainOrder.Step.Read.class));
            Either<Failure, RoutingImage> image = Either.right(mState.routing());
            mStep = mOrder.afterRead(image, callerWaits);
        }

        void propose(long millis) {
            mStep = mOrder.afterProposal(Either.right(apply()), nanos(millis));
        }

        /** Applies the proposal without telling its result. */
        StateResult apply() {
            return DomainOrderTest.this.apply(((DomainOrder.Step.Propose) mStep).command());
        }

        Failure failure() {
            return ((DomainOrder.Step.Finish) mStep).result().getLeft();
        }
    }
}
