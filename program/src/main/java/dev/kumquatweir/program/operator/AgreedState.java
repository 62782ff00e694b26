package dev.kumquatweir.program.operator;

import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.program.control.ControlFailure;
import dev.kumquatweir.program.control.ControlPlane;
import dev.kumquatweir.program.control.ControlReply;
import dev.kumquatweir.program.control.ControlRequest;
import dev.kumquatweir.settings.ConfigurationReader;
import io.vavr.control.Either;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Asks the leader and waits for its answer; called from virtual threads only. Thread-safe. */
final class AgreedState {
    private static final long ASK_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final ControlPlane mControl;
    private final Clocks mClocks;

    AgreedState(ControlPlane control, Clocks clocks) {
        mControl = control;
        mClocks = clocks;
    }

    /** A kept document and what the history says. */
    record Kept(ControlReply.Configuration reply, ConfigurationDocument document) {}

    <T extends ControlReply> Either<OperatorFailure, T> ask(ControlRequest request, Class<T> type) {
        ControlReply reply = mControl.submit(request, ASK_LIMIT_NANOS).toCompletableFuture().join();
        if (type.isInstance(reply)) {
            return Either.right(type.cast(reply));
        }
        ControlFailure failure =
                reply instanceof ControlReply.Failed failed
                        ? failed.failure()
                        : new ControlFailure.Malformed("the leader's answer does not fit");
        return Either.left(new OperatorFailure.Control(failure));
    }

    /** Makes a change whose answer says no more than that it is done. */
    Either<OperatorFailure, ControlReply> carryOut(ControlRequest request) {
        return ask(request, ControlReply.class)
                .flatMap(
                        reply ->
                                reply instanceof ControlReply.Failed failed
                                        ? Either.left(new OperatorFailure.Control(failed.failure()))
                                        : Either.right(reply));
    }

    /** Reads a document; version 0 is the newest. */
    Either<OperatorFailure, Kept> configuration(long version) {
        return ask(new ControlRequest.ReadConfiguration(version), ControlReply.Configuration.class)
                .flatMap(AgreedState::kept);
    }

    /** Waits until a version is in force, at most for the limit, and returns the last answer. */
    Either<OperatorFailure, ControlReply.Rollout> awaitForce(long version, long limitNanos) {
        long startNanos = mClocks.nowNanos();
        while (true) {
            Either<OperatorFailure, ControlReply.Rollout> force =
                    ask(new ControlRequest.ReadRollout(version), ControlReply.Rollout.class);
            boolean settled = force.isLeft() || force.get().inForce();
            if (settled || mClocks.nowNanos() - startNanos >= limitNanos) {
                return force;
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private static Either<OperatorFailure, Kept> kept(ControlReply.Configuration reply) {
        if (reply.document().size() == 0 && reply.version() > 0) {
            return Either.left(
                    new OperatorFailure.UnknownName(
                            "kept version", Long.toString(reply.version())));
        }
        if (reply.version() == 0) {
            return Either.right(new Kept(reply, ConfigurationDocument.EMPTY));
        }
        return ConfigurationReader.readStored(reply.document())
                .<OperatorFailure>mapLeft(OperatorFailure.Invalid::new)
                .map(document -> new Kept(reply, document));
    }
}
