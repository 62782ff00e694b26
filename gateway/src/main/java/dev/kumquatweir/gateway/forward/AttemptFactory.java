package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.policy.placement.PlacementGrant;
import io.servicetalk.http.api.StreamingHttpClient;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Prepares the sends of one request to upstreams. Confined to the I/O thread. */
final class AttemptFactory {
    private final ForwardingPorts mPorts;
    private final ForwardedRequest mRequest;
    private final Set<String> mAddresses = new HashSet<>();

    AttemptFactory(ForwardingPorts ports, ForwardedRequest request) {
        mPorts = ports;
        mRequest = request;
    }

    /**
     * Returns an attempt that is not yet sent.
     *
     * @param events the events of the stream so far
     * @param resumes whether the caller has received a part of the stream from this instance
     */
    Attempt create(
            PlacementGrant grant,
            ReservedMemory memory,
            Attempt.Owner owner,
            EventSequence events,
            boolean resumes,
            long nowNanos) {
        boolean atMostOnce = !mRequest.route().repeatability().allowsReexecution();
        // A pooled connection may have just been closed by the upstream. The send would then fail
        // with an unknown outcome, and a request that runs at most once could not be resent.
        boolean sentBefore = !mAddresses.add(grant.address());
        boolean newConnection =
                ResponseEvidence.needsNewConnection(
                        mRequest.head().requestId(), atMostOnce, sentBefore);
        StreamingHttpClient client =
                newConnection
                        ? mPorts.clients().newClient(grant.address())
                        : mPorts.clients().of(grant.address());
        UpstreamInstructions instructions =
                new UpstreamInstructions(
                        grant.upstream(),
                        TimeUnit.NANOSECONDS.toMillis(mRequest.deadlineNanos() - nowNanos),
                        mRequest.team().map(team -> team.name()),
                        resumes ? events.lastId() : -1,
                        memory.addresses(grant.helpers()));
        events.startAttempt(resumes);
        Attempt attempt = new Attempt(mRequest, mPorts, owner, events, grant, nowNanos);
        attempt.prepare(
                client,
                newConnection,
                UpstreamRequests.newRequest(client, mRequest, instructions, mPorts));
        return attempt;
    }
}
