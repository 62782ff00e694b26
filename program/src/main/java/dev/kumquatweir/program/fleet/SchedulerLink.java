package dev.kumquatweir.program.fleet;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.program.instance.FrameType;
import dev.kumquatweir.transport.PeerNetwork;
import dev.kumquatweir.transport.TransportFailure;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Carries the messages of an entry instance to the scheduler on the leader. */
interface SchedulerLink {
    /** Sends a request; completes with its response or the failure, on any thread. */
    CompletionStage<Either<TransportFailure, Bytes>> request(
            InstanceId leader, FrameType type, Bytes content, long timeoutNanos);

    /** Sends a message without a response; returns why it can't be sent, or nothing. */
    Option<TransportFailure> send(InstanceId leader, FrameType type, Bytes content);

    /** Returns the link of an instance that never has a leader. */
    static SchedulerLink unconnected() {
        return new SchedulerLink() {
            @Override
            public CompletionStage<Either<TransportFailure, Bytes>> request(
                    InstanceId leader, FrameType type, Bytes content, long timeoutNanos) {
                return CompletableFuture.completedFuture(Either.left(lost(leader)));
            }

            @Override
            public Option<TransportFailure> send(InstanceId leader, FrameType type, Bytes content) {
                return Option.of(lost(leader));
            }

            private TransportFailure lost(InstanceId leader) {
                return new TransportFailure.NotConnected(leader);
            }
        };
    }

    /** Returns a link over the connections between instances. */
    static SchedulerLink over(PeerNetwork network) {
        return new SchedulerLink() {
            @Override
            public CompletionStage<Either<TransportFailure, Bytes>> request(
                    InstanceId leader, FrameType type, Bytes content, long timeoutNanos) {
                return network.request(leader, type.number(), content, timeoutNanos);
            }

            @Override
            public Option<TransportFailure> send(InstanceId leader, FrameType type, Bytes content) {
                return network.send(leader, type.number(), content);
            }
        };
    }
}
