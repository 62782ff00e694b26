package dev.kumquatweir.program.burn;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.program.instance.FrameType;
import dev.kumquatweir.transport.PeerNetwork;
import io.vavr.control.Either;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Sums up the counters of all instances. Thread-safe. */
public final class BurnAggregator {
    private static final long REQUEST_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final BurnRecorder mRecorder;
    private final PeerNetwork mNetwork;
    private final List<InstanceId> mPeers;

    /**
     * @param recorder counters of this instance
     * @param network connections to the other instances
     * @param peers the other instances
     */
    public BurnAggregator(BurnRecorder recorder, PeerNetwork network, List<InstanceId> peers) {
        mRecorder = recorder;
        mNetwork = network;
        mPeers = List.copyOf(peers);
    }

    /**
     * The sum, and who is missing from it.
     *
     * @param summary the sum
     * @param missingInstances instances that did not answer within 2 s
     */
    public record AggregatedBurn(BurnSummary summary, SortedSet<InstanceId> missingInstances) {}

    /** Answers other instances from now on. */
    public void start() {
        mNetwork.handle(
                FrameType.BURN.number(),
                (peer, payload, responder) -> responder.respond(mRecorder.summary().encode()));
    }

    /** Asks all instances and waits for their answers; for virtual threads. */
    public AggregatedBurn aggregate() {
        List<CompletableFuture<Either<BurnFailure, BurnSummary>>> responses =
                mPeers.stream().map(this::requestSummary).toList();
        BurnSummary sum = mRecorder.summary();
        SortedSet<InstanceId> missing = new TreeSet<>();
        for (int index = 0; index < responses.size(); index++) {
            Either<BurnFailure, BurnSummary> response = responses.get(index).join();
            if (response.isRight()) {
                sum = sum.plus(response.get());
            } else {
                missing.add(mPeers.get(index));
            }
        }
        return new AggregatedBurn(sum, missing);
    }

    private CompletableFuture<Either<BurnFailure, BurnSummary>> requestSummary(InstanceId peer) {
        return mNetwork.request(peer, FrameType.BURN.number(), Bytes.EMPTY, REQUEST_TIMEOUT_NANOS)
                .thenApply(
                        response ->
                                response.<BurnFailure>mapLeft(
                                                failure ->
                                                        new BurnFailure.Damaged(
                                                                peer.value(), failure.message()))
                                        .flatMap(BurnSummary::decode));
    }
}
