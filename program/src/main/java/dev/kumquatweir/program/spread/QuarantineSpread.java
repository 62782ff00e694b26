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
 * Tells the other instances of the quarantine and takes what they tell. A changed mark and each
 * change of an exclusive use is sent within 50 ms; uses are repeated every 500 ms, and so are the
 * marks, 100 at a time in turn, so that a lost frame or a restarted instance catches up. The state
 * belongs to the dispatch duty and is only used there. Thread-safe.
 */
public final class QuarantineSpread {
    private static final EventLog LOG = EventLog.of(QuarantineSpread.class);
    private static final int RING_CAPACITY = 16;
    private static final long TICK_MILLIS = 50;
    private static final long REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int REPEATED_MARKS = 100;
    private static final int DEATH_LIMIT = 2;

    private final Quarantine mQuarantine;
    private final Consumer<LongConsumer> mDispatch;
    private final PeerNetwork mNetwork;
    private final List<InstanceId> mPeers;
    private final EventLoop mDuty;
    private final Map<String, Map<UpstreamIncarnation, SuspicionState>> mSent = new HashMap<>();
    private final Set<String> mRefused = new HashSet<>();
    private long mChanges;
    private long mRepeatedNanos = Long.MIN_VALUE;
    private String mCursor = "";
    private boolean mUsesSent;
    private volatile int mMarkCount;
    private volatile int mRefusedCount;

    /**
     * Registers for the frames that it takes.
     *
     * @param quarantine the quarantine of this instance, owned by the dispatch duty
     * @param dispatch runs a task on the dispatch duty
     * @param peers the other instances
     */
    public QuarantineSpread(
            Quarantine quarantine,
            Consumer<LongConsumer> dispatch,
            PeerNetwork network,
            List<InstanceId> peers) {
        mQuarantine = quarantine;
        mDispatch = dispatch;
        mNetwork = network;
        mPeers = List.copyOf(peers);
        mDuty =
                new EventLoop(
                        "quarantine",
                        RING_CAPACITY,
                        TICK_MILLIS,
                        () -> mDispatch.accept(this::spread),
                        (thread, fault) -> LOG.error("quarantine_fault", fault));
        network.handle(
                FrameType.QUARANTINE.number(),
                (peer, payload, responder) ->
                        QuarantineCodec.update(payload)
                                .peek(update -> mDispatch.accept(now -> absorb(peer, update, now)))
                                .peekLeft(fault -> LOG.failure("frame_malformed", fault)));
    }

    /** Starts the thread. */
    public void start() {
        mDuty.start();
    }

    /** Ends the thread. */
    public void stop() {
        mDuty.stop();
    }

    /** Returns the number of contents that are marked, suspects included. */
    public int marks() {
        return mMarkCount;
    }

    /** Returns the number of contents that are refused. */
    public int refused() {
        return mRefusedCount;
    }

    private void absorb(InstanceId peer, QuarantineUpdate update, long nowNanos) {
        update.marks().forEach(mark -> mQuarantine.mergeRemote(mark, nowNanos));
        mQuarantine.mergeRemote(peer.value(), update.uses(), nowNanos);
    }

    private void spread(long nowNanos) {
        boolean repeats =
                mRepeatedNanos == Long.MIN_VALUE || nowNanos - mRepeatedNanos >= REPEAT_NANOS;
        if (!repeats && mChanges == mQuarantine.changeCount()) {
            return;
        }
        mChanges = mQuarantine.changeCount();
        List<QuarantineMark> marks = mQuarantine.marks(nowNanos);
        List<QuarantineMark> due = new ArrayList<>(changed(marks));
        if (repeats) {
            mRepeatedNanos = nowNanos;
            due.addAll(nextInTurn(marks));
            count(marks);
        }
        send(due.stream().distinct().flatMap(mark -> parts(mark).stream()).toList(), nowNanos);
    }

    private void send(List<QuarantineMark> marks, long nowNanos) {
        var uses =
                mQuarantine.exclusiveUses(nowNanos).stream()
                        .limit(QuarantineCodec.MOST_USES)
                        .toList();
        boolean usesEnded = mUsesSent && uses.isEmpty();
        mUsesSent = !uses.isEmpty();
        if (marks.isEmpty() && uses.isEmpty() && !usesEnded) {
            return;
        }
        for (int from = 0; from == 0 || from < marks.size(); from += QuarantineCodec.MOST_MARKS) {
            int to = Math.min(marks.size(), from + QuarantineCodec.MOST_MARKS);
            Bytes frame =
                    QuarantineCodec.encode(new QuarantineUpdate(marks.subList(from, to), uses));
            mPeers.forEach(peer -> mNetwork.send(peer, FrameType.QUARANTINE.number(), frame));
        }
    }

    private List<QuarantineMark> changed(List<QuarantineMark> marks) {
        List<QuarantineMark> changed = new ArrayList<>();
        Set<String> live = new HashSet<>();
        for (QuarantineMark mark : marks) {
            live.add(mark.contentHash());
            Map<UpstreamIncarnation, SuspicionState> states = new HashMap<>();
            mark.suspicions().forEach((death, blame) -> states.put(death, blame.state()));
            if (!states.equals(mSent.put(mark.contentHash(), states))) {
                changed.add(mark);
            }
        }
        mSent.keySet().retainAll(live);
        return changed;
    }

    private List<QuarantineMark> nextInTurn(List<QuarantineMark> marks) {
        List<QuarantineMark> sorted =
                marks.stream().sorted(Comparator.comparing(QuarantineMark::contentHash)).toList();
        List<QuarantineMark> next =
                sorted.stream()
                        .filter(mark -> mark.contentHash().compareTo(mCursor) > 0)
                        .limit(REPEATED_MARKS)
                        .toList();
        boolean end = next.size() < REPEATED_MARKS;
        mCursor = end ? "" : next.getLast().contentHash();
        return next;
    }

    private void count(List<QuarantineMark> marks) {
        Set<String> refused = new HashSet<>();
        for (QuarantineMark mark : marks) {
            long deaths =
                    mark.suspicions().values().stream()
                            .filter(blame -> blame.state() == SuspicionState.CONFIRMED)
                            .count();
            if (deaths >= DEATH_LIMIT) {
                refused.add(mark.contentHash());
                if (!mRefused.contains(mark.contentHash())) {
                    LOG.warn(
                            "request_quarantined",
                            "content_hash",
                            mark.contentHash(),
                            "upstreams",
                            mark.suspicions().keySet().stream()
                                    .map(death -> death.upstream().value())
                                    .sorted()
                                    .toList());
                }
            }
        }
        mRefused.clear();
        mRefused.addAll(refused);
        mMarkCount = marks.size();
        mRefusedCount = refused.size();
    }

    private static List<QuarantineMark> parts(QuarantineMark mark) {
        if (mark.suspicions().size() <= QuarantineCodec.MOST_DEATHS) {
            return List.of(mark);
        }
        List<QuarantineMark> parts = new ArrayList<>();
        Map<UpstreamIncarnation, QuarantineMark.Suspicion> part = new HashMap<>();
        mark.suspicions()
                .forEach(
                        (death, blame) -> {
                            part.put(death, blame);
                            if (part.size() == QuarantineCodec.MOST_DEATHS) {
                                parts.add(new QuarantineMark(mark.contentHash(), part));
                                part.clear();
                            }
                        });
        parts.add(new QuarantineMark(mark.contentHash(), part));
        return parts;
    }
}
