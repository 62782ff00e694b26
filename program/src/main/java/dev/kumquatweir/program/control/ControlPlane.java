package dev.kumquatweir.program.control;

import dev.kumquatweir.core.control.ClaimPort;
import dev.kumquatweir.core.control.ConfigurationPort;
import dev.kumquatweir.program.permit.PermitPort;
import java.util.concurrent.CompletionStage;

/**
 * Access of an instance to the replicated control state: configuration, claims, permits and cluster
 * membership. Implementations are thread-safe.
 */
public interface ControlPlane {
    /** Starts the replica, if this instance has one, and the clients of the leader. */
    void start();

    /** Returns access to the configuration in force on this instance. */
    ConfigurationPort configuration();

    /** Returns the port that decides claims. */
    ClaimPort claims();

    /** Returns the port that renews permits with the leader. */
    PermitPort permits();

    /**
     * Sends a request to the leader.
     *
     * @param timeoutNanos time after which the stage completes with {@link
     *     ControlFailure.LeaderUnreachable}
     */
    CompletionStage<ControlReply> submit(ControlRequest request, long timeoutNanos);

    /** Returns the status of this instance's replica. */
    ReplicaStatus replicaStatus();

    /**
     * Transfers leadership and releases the configuration lease before a planned stop. Waits up to
     * 2 s for each.
     */
    void handOver();

    /** Stops the replica and the clients of the leader. */
    void stop();
}
