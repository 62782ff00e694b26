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

/**
 * Blocking client of the control-plane leader. Every call waits for the leader's reply or a
 * timeout, so it must run on a virtual thread. Thread-safe.
 */
final class ControlStateClient {
    private static final long REQUEST_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final ControlPlane mControl;
    private final Clocks mClocks;

    ControlStateClient(ControlPlane control, Clocks clocks) {
        mControl = control;
        mClocks = clocks;
    }

    /**
     * A configuration version read from the leader.
     *
     * @param reply the leader's reply, with the version and the retained history
     * @param document the decoded document, {@link ConfigurationDocument#EMPTY} if no version
     *     exists
     */
    record StoredConfiguration(ControlReply.Configuration reply, ConfigurationDocument document) {}

    /**
     * Sends a request to the leader and waits for the reply.
     *
     * @return the reply, or a failure if the request failed or the reply has another type
     */
    <T extends ControlReply> Either<OperatorFailure, T> request(
            ControlRequest request, Class<T> type) {
        ControlReply reply =
                mControl.submit(request, REQUEST_TIMEOUT_NANOS).toCompletableFuture().join();
        if (type.isInstance(reply)) {
            return Either.right(type.cast(reply));
        }
        ControlFailure failure =
                reply instanceof ControlReply.Failed failed
                        ? failed.failure()
                        : new ControlFailure.Malformed(
                                "the leader sent a reply of an unexpected type");
        return Either.left(new OperatorFailure.Control(failure));
    }

    /** Requests a change and accepts any reply but a failure, since the reply carries no data. */
    Either<OperatorFailure, ControlReply> requestChange(ControlRequest request) {
        return request(request, ControlReply.class)
                .flatMap(
                        reply ->
                                reply instanceof ControlReply.Failed failed
                                        ? Either.left(new OperatorFailure.Control(failed.failure()))
                                        : Either.right(reply));
    }

    /** Reads a version of the configuration; version 0 stands for the newest one. */
    Either<OperatorFailure, StoredConfiguration> configuration(long version) {
        return request(
                        new ControlRequest.ReadConfiguration(version),
                        ControlReply.Configuration.class)
                .flatMap(ControlStateClient::toStoredConfiguration);
    }

    /**
     * Polls until a version is in force everywhere, a request fails or the timeout has passed, and
     * returns the last reply. A timeout of 0 asks once.
     */
    Either<OperatorFailure, ControlReply.Rollout> awaitInForce(long version, long timeoutNanos) {
        long startNanos = mClocks.nowNanos();
        while (true) {
            Either<OperatorFailure, ControlReply.Rollout> force =
                    request(new ControlRequest.ReadRollout(version), ControlReply.Rollout.class);
            boolean finished = force.isLeft() || force.get().inForce();
            if (finished || mClocks.nowNanos() - startNanos >= timeoutNanos) {
                return force;
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }

    private static Either<OperatorFailure, StoredConfiguration> toStoredConfiguration(
            ControlReply.Configuration reply) {
        if (reply.document().size() == 0 && reply.version() > 0) {
            return Either.left(
                    new OperatorFailure.UnknownName(
                            "stored version", Long.toString(reply.version())));
        }
        if (reply.version() == 0) {
            return Either.right(new StoredConfiguration(reply, ConfigurationDocument.EMPTY));
        }
        return ConfigurationReader.readStored(reply.document())
                .<OperatorFailure>mapLeft(OperatorFailure.Invalid::new)
                .map(document -> new StoredConfiguration(reply, document));
    }
}
