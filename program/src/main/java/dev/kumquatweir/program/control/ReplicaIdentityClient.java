package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.failure.Failure;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.program.instance.FrameType;
import dev.kumquatweir.transport.PeerNetwork;
import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

/** Asks an instance for the identity of its replica. Thread-safe. */
public final class ReplicaIdentityClient {
    private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final PeerNetwork mNetwork;

    /**
     * @param network connections to the other instances
     */
    public ReplicaIdentityClient(PeerNetwork network) {
        mNetwork = network;
    }

    /**
     * Asks an instance with a data folder.
     *
     * @return the identity, or why it was not told; fails after 2 s
     */
    public CompletionStage<Either<Failure, MemberId>> requestIdentity(InstanceId instance) {
        return mNetwork.request(instance, FrameType.FOUNDING.number(), Bytes.EMPTY, LIMIT_NANOS)
                .thenApply(
                        answer ->
                                answer.<Failure>mapLeft(failure -> failure)
                                        .flatMap(
                                                content ->
                                                        FoundingDuty.decode(content)
                                                                .<Failure>mapLeft(fault -> fault)
                                                                .map(Founding.Answer::member)));
    }
}
