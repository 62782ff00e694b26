package dev.kumquatweir.gateway.fleet;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.failure.Failure;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.UpstreamStatus;
import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;

/**
 * Operations that a control instance offers to operators and upstreams. Implementations are
 * thread-safe; the returned stages complete normally and within a bounded time.
 */
public interface FleetPort {
    /**
     * Stores a routing document if its version is higher than that of the stored one.
     *
     * @param version version of the document
     * @param document the document as the operator sent it
     * @return the version stored from now on, completed once enough disks hold it
     */
    CompletionStage<Either<Failure, Long>> putRouting(long version, Bytes document);

    /** Reads the latest routing document; fails if it can't be confirmed to be the latest. */
    CompletionStage<Either<Failure, Bytes>> readRouting();

    /**
     * Takes a failure domain out of service or puts it back into service.
     *
     * @param domain the failure domain
     * @param outOfService whether it is taken out of service
     * @param callerWaits returns whether the caller still waits for the result; an order whose
     *     caller has left has no effect
     */
    CompletionStage<Either<Failure, Boolean>> setDomain(
            FailureDomain domain, boolean outOfService, BooleanSupplier callerWaits);

    /** Records a heartbeat; completes once it should have reached the entry instances. */
    CompletionStage<Boolean> recordHeartbeat(UpstreamStatus status);

    /**
     * Records that an upstream is leaving.
     *
     * @param upstream the upstream
     * @param startedAtMillis start time of the leaving process in milliseconds, 0 if it sent none
     */
    CompletionStage<Boolean> recordDeparture(UpstreamId upstream, long startedAtMillis);
}
