package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.state.RoutingImage;
import dev.kumquatweir.agreement.state.StateCommand;
import dev.kumquatweir.agreement.state.StateResult;
import dev.kumquatweir.core.failure.Failure;
import dev.kumquatweir.core.identity.FailureDomain;
import io.vavr.control.Either;

/**
 * Decides the steps of an operator's order on a failure domain. Orders carry no version, so an
 * order that was delayed, as in a suspended process, must not undo a later one. It is based on a
 * state that was read after its arrival, and takes effect only if its caller waited for it after
 * that read and no other change came since. A caller that moved on had closed its connection before
 * it gave a later order. Immutable.
 *
 * @param domain the failure domain
 * @param outOfService whether it is taken out of service
 * @param untilNanos monotonic time after which the order is not tried again
 */
record DomainOrder(FailureDomain domain, boolean outOfService, long untilNanos) {
    /** The next step of an order. */
    sealed interface Step {
        /** Reads the current state with a linearizable read. */
        record Read() implements Step {}

        /** Proposes a command, which may be repeated until its result is known. */
        record Propose(StateCommand command) implements Step {}

        /** Ends the order; the result is right once it is in force. */
        record Finish(Either<Failure, Boolean> result) implements Step {}
    }

    /** Returns the first step. */
    Step start() {
        return new Step.Read();
    }

    /** Returns the step after a read. */
    Step afterRead(Either<Failure, RoutingImage> state, boolean callerWaits) {
        if (!callerWaits) {
            return new Step.Finish(Either.left(new CallerLeft()));
        }
        return state.fold(
                failure -> new Step.Finish(Either.left(failure)),
                image ->
                        new Step.Propose(
                                new StateCommand.SetDomain(
                                        0, domain, outOfService, image.changeCount())));
    }

    /** Returns the step after a proposal. */
    Step afterProposal(Either<Failure, StateResult> result, long nowNanos) {
        return result.fold(
                failure -> new Step.Finish(Either.left(failure)),
                applied ->
                        switch (applied) {
                            case StateResult.DomainUpdated _ -> new Step.Finish(Either.right(true));
                            case StateResult.DomainOvertaken _ when nowNanos < untilNanos ->
                                    new Step.Read();
                            case StateResult.DomainOvertaken _ ->
                                    new Step.Finish(Either.left(new Overtaken()));
                            default ->
                                    new Step.Finish(
                                            Either.left(
                                                    new ControlFailure.Malformed(
                                                            "unexpected command result")));
                        });
    }

    /** The caller closed its connection before the order was proposed; it had no effect. */
    record CallerLeft() implements Failure {
        @Override
        public String code() {
            return "caller_left";
        }

        @Override
        public String message() {
            return "the caller no longer waits for this order";
        }
    }

    /** Other changes came between each read and proposal; the order had no effect. */
    record Overtaken() implements Failure {
        @Override
        public String code() {
            return "overtaken";
        }

        @Override
        public String message() {
            return "other changes overtook this order";
        }
    }
}
