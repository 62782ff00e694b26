package dev.kumquatweir.program.spread;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.duty.EventLoop;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.policy.quarantine.Quarantine;
import dev.kumquatweir.policy.quarantine.QuarantineMark;
import dev.kumquatweir.policy.quarantine.SuspicionState;
import dev.kumquatweir.policy.quarantine.UpstreamIncarnation;
import dev.kumquatweir.program.instance.FrameType;
import dev.kumquatweir.transport.PeerNetwork;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * Exchanges quarantine state with the other instances. Changed marks and changed exclusive uses are
 * sent within 50 ms. All exclusive uses are sent again every 500 ms, as are up to 100 marks at a
 * time in turn, so that an instance that lost a frame or was restarted catches up. The quarantine
 * is owned by the dispatch event loop and used only there. Thread-safe.
 */
public final class QuarantineSynchronizer {
    private static final EventLog LOG = EventLog.of(QuarantineSynchronizer.class);
    private static final int QUEUE_CAPACITY = 16;
    private static final long TICK_INTERVAL_MILLIS = 50;
    private static final long REPEAT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int MARKS_PER_REPEAT = 100;
    private static final int CONFIRMED_SUSPICION_LIMIT = 2;
    private static final int PART_STRIKE_LIMIT = 3;

    private final Quarantine mQuarantine;
    private final Consumer<LongConsumer> mDispatchExecutor;
    private final PeerNetwork mNetwork;
    private final List<InstanceId> mPeers;
    private final EventLoop mEventLoop;
    private final Map<String, Map<UpstreamIncarnation, SuspicionState>> mSentStates =
            new HashMap<>();
    private final Set<String> mRefusedContents = new HashSet<>();
    private final Set<String> mStruckParts = new HashSet<>();
    private long mSentChangeCount;
    private long mLastRepeatNanos = Long.MIN_VALUE;
    private String mLastRepeatedHash = "";
    private boolean mExclusiveUsesSent;
    private volatile int mMarkCount;
    private volatile int mRefusedCount;

    /**
     * Registers the handler of quarantine frames.
     *
     * @param quarantine quarantine of this instance, owned by the dispatch event loop
     * @param dispatchExecutor runs a task on the dispatch event loop and passes it the time in ns
     * @param peers the other instances
     */
    public QuarantineSynchronizer(
            Quarantine quarantine,
            Consumer<LongConsumer> dispatchExecutor,
            PeerNetwork network,
            List<InstanceId> peers) {
        mQuarantine = quarantine;
        mDispatchExecutor = dispatchExecutor;
        mNetwork = network;
        mPeers = List.copyOf(peers);
        mEventLoop =
                new EventLoop(
                        "quarantine",
                        QUEUE_CAPACITY,
                        TICK_INTERVAL_MILLIS,
                        () -> mDispatchExecutor.accept(this::sendDueMarks),
                        (thread, fault) -> LOG.error("quarantine_fault", fault));
        network.handle(
                FrameType.QUARANTINE.number(),
                (peer, payload, responder) ->
                        QuarantineCodec.decode(payload)
                                .peek(
                                        update ->
                                                mDispatchExecutor.accept(
                                                        now -> applyUpdate(peer, update, now)))
                                .peekLeft(fault -> LOG.failure("frame_malformed", fault)));
    }

    /** Starts the event loop that sends updates. */
    public void start() {
        mEventLoop.start();
    }

    /** Stops the event loop that sends updates. */
    public void stop() {
        mEventLoop.stop();
    }

    /** Returns the number of request contents with a mark, whether confirmed or only suspected. */
    public int markCount() {
        return mMarkCount;
    }

    /** Returns the number of request contents that are refused because of confirmed crashes. */
    public int refusedCount() {
        return mRefusedCount;
    }

    private void applyUpdate(InstanceId peer, QuarantineUpdate update, long nowNanos) {
        update.marks().forEach(mark -> mQuarantine.mergeRemote(mark, nowNanos));
        mQuarantine.mergeRemote(peer.value(), update.exclusiveUses(), nowNanos);
    }

    private void sendDueMarks(long nowNanos) {
        boolean repeatDue =
                mLastRepeatNanos == Long.MIN_VALUE
                        || nowNanos - mLastRepeatNanos >= REPEAT_INTERVAL_NANOS;
        if (!repeatDue && mSentChangeCount == mQuarantine.changeCount()) {
            return;
        }
        mSentChangeCount = mQuarantine.changeCount();
        List<QuarantineMark> marks = mQuarantine.marks(nowNanos);
        List<QuarantineMark> due = new ArrayList<>(changedMarks(marks));
        if (repeatDue) {
            mLastRepeatNanos = nowNanos;
            due.addAll(nextRepeatedMarks(marks));
            updateCounts(marks.stream().filter(mark -> !mark.ofPart()).toList());
            logStruckParts(marks.stream().filter(QuarantineMark::ofPart).toList());
        }
        send(due.stream().distinct().flatMap(mark -> splitMark(mark).stream()).toList(), nowNanos);
    }

    private void send(List<QuarantineMark> marks, long nowNanos) {
        var uses =
                mQuarantine.exclusiveUses(nowNanos).stream()
                        .limit(QuarantineCodec.MAXIMUM_EXCLUSIVE_USES)
                        .toList();
        boolean usesEnded = mExclusiveUsesSent && uses.isEmpty();
        mExclusiveUsesSent = !uses.isEmpty();
        if (marks.isEmpty() && uses.isEmpty() && !usesEnded) {
            return;
        }
        for (int from = 0;
                from == 0 || from < marks.size();
                from += QuarantineCodec.MAXIMUM_MARKS) {
            int to = Math.min(marks.size(), from + QuarantineCodec.MAXIMUM_MARKS);
            Bytes frame =
                    QuarantineCodec.encode(new QuarantineUpdate(marks.subList(from, to), uses));
            mPeers.forEach(peer -> mNetwork.send(peer, FrameType.QUARANTINE.number(), frame));
        }
    }

    private List<QuarantineMark> changedMarks(List<QuarantineMark> marks) {
        List<QuarantineMark> changed = new ArrayList<>();
        Set<String> currentHashes = new HashSet<>();
        for (QuarantineMark mark : marks) {
            currentHashes.add(mark.contentHash());
            Map<UpstreamIncarnation, SuspicionState> states = new HashMap<>();
            mark.suspicions()
                    .forEach(
                            (incarnation, suspicion) -> states.put(incarnation, suspicion.state()));
            if (!states.equals(mSentStates.put(mark.contentHash(), states))) {
                changed.add(mark);
            }
        }
        mSentStates.keySet().retainAll(currentHashes);
        return changed;
    }

    private List<QuarantineMark> nextRepeatedMarks(List<QuarantineMark> marks) {
        List<QuarantineMark> sorted =
                marks.stream().sorted(Comparator.comparing(QuarantineMark::contentHash)).toList();
        List<QuarantineMark> next =
                sorted.stream()
                        .filter(mark -> mark.contentHash().compareTo(mLastRepeatedHash) > 0)
                        .limit(MARKS_PER_REPEAT)
                        .toList();
        boolean endReached = next.size() < MARKS_PER_REPEAT;
        mLastRepeatedHash = endReached ? "" : next.getLast().contentHash();
        return next;
    }

    private void updateCounts(List<QuarantineMark> marks) {
        Set<String> refused = new HashSet<>();
        for (QuarantineMark mark : marks) {
            long confirmedSuspicions =
                    mark.suspicions().values().stream()
                            .filter(suspicion -> suspicion.state() == SuspicionState.CONFIRMED)
                            .count();
            if (confirmedSuspicions >= CONFIRMED_SUSPICION_LIMIT) {
                refused.add(mark.contentHash());
                if (!mRefusedContents.contains(mark.contentHash())) {
                    LOG.warn(
                            "request_quarantined",
                            "content_hash",
                            mark.contentHash(),
                            "upstreams",
                            mark.suspicions().keySet().stream()
                                    .map(incarnation -> incarnation.upstream().value())
                                    .sorted()
                                    .toList());
                }
            }
        }
        mRefusedContents.clear();
        mRefusedContents.addAll(refused);
        mMarkCount = marks.size();
        mRefusedCount = refused.size();
    }

    /** Logs the parts of prompts that have reached the strikes for which prompts are refused. */
    private void logStruckParts(List<QuarantineMark> marks) {
        Set<String> struck = new HashSet<>();
        for (QuarantineMark mark : marks) {
            List<String> upstreams =
                    mark.suspicions().entrySet().stream()
                            .filter(entry -> entry.getValue().state() != SuspicionState.EXCUSED)
                            .map(entry -> entry.getKey().upstream().value())
                            .sorted()
                            .toList();
            if (upstreams.size() >= PART_STRIKE_LIMIT) {
                struck.add(mark.contentHash());
                if (!mStruckParts.contains(mark.contentHash())) {
                    LOG.warn("part_struck", "part", mark.contentHash(), "upstreams", upstreams);
                }
            }
        }
        mStruckParts.clear();
        mStruckParts.addAll(struck);
    }

    private static List<QuarantineMark> splitMark(QuarantineMark mark) {
        if (mark.suspicions().size() <= QuarantineCodec.MAXIMUM_SUSPICIONS) {
            return List.of(mark);
        }
        List<QuarantineMark> parts = new ArrayList<>();
        Map<UpstreamIncarnation, QuarantineMark.Suspicion> part = new HashMap<>();
        mark.suspicions()
                .forEach(
                        (incarnation, suspicion) -> {
                            part.put(incarnation, suspicion);
                            if (part.size() == QuarantineCodec.MAXIMUM_SUSPICIONS) {
                                parts.add(new QuarantineMark(mark.contentHash(), part));
                                part.clear();
                            }
                        });
        parts.add(new QuarantineMark(mark.contentHash(), part));
        return parts;
    }
}
