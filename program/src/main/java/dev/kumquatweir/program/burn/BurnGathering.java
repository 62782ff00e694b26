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
public final class BurnGathering {
    private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final BurnRecorder mRecorder;
    private final PeerNetwork mNetwork;
    private final List<InstanceId> mOthers;

    /**
     * @param recorder counters of this instance
     * @param network connections to the other instances
     * @param others the other instances
     */
    public BurnGathering(BurnRecorder recorder, PeerNetwork network, List<InstanceId> others) {
        mRecorder = recorder;
        mNetwork = network;
        mOthers = List.copyOf(others);
    }

    /**
     * The sum, and who is missing from it.
     *
     * @param summary the sum
     * @param missing instances that did not answer within 2 s
     */
    public record Gathered(BurnSummary summary, SortedSet<InstanceId> missing) {}

    /** Answers other instances from now on. */
    public void start() {
        mNetwork.handle(
                FrameType.BURN.number(),
                (peer, payload, responder) -> responder.respond(mRecorder.summary().encode()));
    }

    /** Asks all instances and waits for their answers; for virtual threads. */
    public Gathered gather() {
        List<CompletableFuture<Either<BurnFailure, BurnSummary>>> answers =
                mOthers.stream().map(this::ask).toList();
        BurnSummary sum = mRecorder.summary();
        SortedSet<InstanceId> missing = new TreeSet<>();
        for (int index = 0; index < answers.size(); index++) {
            Either<BurnFailure, BurnSummary> answer = answers.get(index).join();
            if (answer.isRight()) {
                sum = sum.plus(answer.get());
            } else {
                missing.add(mOthers.get(index));
            }
        }
        return new Gathered(sum, missing);
    }

    private CompletableFuture<Either<BurnFailure, BurnSummary>> ask(InstanceId other) {
        return mNetwork.request(other, FrameType.BURN.number(), Bytes.EMPTY, LIMIT_NANOS)
                .thenApply(
                        answer ->
                                answer.<BurnFailure>mapLeft(
                                                failure ->
                                                        new BurnFailure.Damaged(
                                                                other.value(), failure.message()))
                                        .flatMap(BurnSummary::decode));
    }
}
