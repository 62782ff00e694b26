package dev.kumquatweir.program.fleet;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.CallerLimits;
import dev.kumquatweir.core.routing.EngineCost;
import dev.kumquatweir.core.routing.Repeatability;
import dev.kumquatweir.core.routing.Route;
import dev.kumquatweir.core.routing.RoutedService;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.core.routing.ServiceShare;
import dev.kumquatweir.core.routing.UpstreamPhase;
import dev.kumquatweir.core.routing.UpstreamStatus;
import dev.kumquatweir.gateway.forward.ForwardingState;
import dev.kumquatweir.gateway.forward.UpstreamResponseHead;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Routes and upstreams of a warm-up; all upstreams have one address. Immutable. */
final class WarmUpState implements ForwardingState {
    static final String HOST = "warm-up.invalid";
    static final String STREAM_PATH = "/stream/";
    static final String CALL_PATH = "/call/";
    private static final ServiceName ENGINES = new ServiceName("warm-up-engines");
    private static final ServiceName CALLS = new ServiceName("warm-up-calls");
    private static final FailureDomain DOMAIN = new FailureDomain("warm-up");
    private static final int UPSTREAMS = 8;
    private static final int SLOTS = 8;
    private static final long MAXIMUM_BODY_BYTES = 64 << 10;
    private static final EngineCost COST =
            new EngineCost(SLOTS, 400_000, 1, 0.007, 0.0025, 256, 0.09, 2_048, 48, 0.1);

    private final RoutingTable mRouting =
            new RoutingTable(
                    1,
                    List.of(
                            route("stream", STREAM_PATH, ENGINES, Repeatability.RESUMABLE, true),
                            route("call", CALL_PATH, CALLS, Repeatability.ONCE, false)),
                    List.of(
                            new RoutedService(ENGINES, 0, Optional.of(COST)),
                            new RoutedService(CALLS, 0, Optional.empty())),
                    List.of(),
                    new CallerLimits(MAXIMUM_BODY_BYTES));
    private final List<UpstreamStatus> mUpstreams;

    /**
     * @param upstreamAddress address of all upstreams, as {@code ip:port}
     */
    WarmUpState(String upstreamAddress) {
        mUpstreams =
                Stream.of(ENGINES, CALLS)
                        .flatMap(
                                service ->
                                        IntStream.range(0, UPSTREAMS)
                                                .mapToObj(
                                                        number ->
                                                                status(
                                                                        service,
                                                                        number,
                                                                        upstreamAddress)))
                        .toList();
    }

    private static Route route(
            String name, String path, ServiceName service, Repeatability kind, boolean streaming) {
        return Route.builder(name, HOST, path)
                .shares(List.of(new ServiceShare(service, 1)))
                .execution(kind, streaming)
                .times(10_000, 1_000, 200)
                .limits(1, 2)
                .build();
    }

    private static UpstreamStatus status(ServiceName service, int number, String address) {
        return new UpstreamStatus(
                new UpstreamId(service.value() + "-" + number),
                1,
                service,
                address,
                DOMAIN,
                SLOTS,
                UpstreamPhase.READY,
                0,
                1);
    }

    RoutingTable table() {
        return mRouting;
    }

    @Override
    public Optional<RoutingTable> routing() {
        return Optional.of(mRouting);
    }

    @Override
    public List<UpstreamStatus> upstreams() {
        return mUpstreams;
    }

    @Override
    public List<String> carriers() {
        return List.of();
    }

    @Override
    public FailureDomain domain() {
        return DOMAIN;
    }

    @Override
    public boolean acceptsRequests(UpstreamId upstream) {
        return true;
    }

    @Override
    public void recordResponse(UpstreamId upstream, UpstreamResponseHead head, long nowNanos) {}

    @Override
    public Set<UpstreamId> avoidedUpstreams(long nowNanos) {
        return Set.of();
    }
}
