package dev.kumquatweir.gateway.fleet;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.failure.Failure;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.UpstreamStatus;
import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;

/**
 * A control instance as operators and upstreams use it. Thread-safe; stages complete normally and
 * within a bounded time.
 */
public interface FleetPort {
    /**
     * Stores a routing document if its version is higher than the one held.
     *
     * @param version its version
     * @param document the document as the operator sent it
     * @return the version held from now on, once enough disks have it
     */
    CompletionStage<Either<Failure, Long>> putRouting(long version, Bytes document);

    /** Reads the newest routing document; fails where it can't be sure which is the newest. */
    CompletionStage<Either<Failure, Bytes>> readRouting();

    /** Takes a failure domain out of service or returns it. */
    CompletionStage<Either<Failure, Boolean>> setDomain(FailureDomain domain, boolean outOfService);

    /** Takes a heartbeat; completes once the entry instances may be expected to know. */
    CompletionStage<Boolean> recordHeartbeat(UpstreamStatus status);

    /**
     * Takes an upstream's word that it leaves.
     *
     * @param upstream the upstream
     * @param startedAtMillis which start of it, 0 if it did not say
     */
    CompletionStage<Boolean> recordDeparture(UpstreamId upstream, long startedAtMillis);
}
