package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.raft.MessageBody.AppendEntriesRequest;
import dev.kumquatweir.agreement.raft.MessageBody.InstallSnapshotRequest;
import dev.kumquatweir.agreement.raft.RaftMessage;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Links of instances, each of which sends its messages one after the other, in virtual time. */
final class VirtualLinks {
    static final long UNLIMITED = Long.MAX_VALUE;
    private static final int MESSAGE_OVERHEAD_BYTES = 100;

    private final long mBytesPerSecond;
    private final Deque<RaftMessage> mUnlimited = new ArrayDeque<>();
    private final Map<String, Deque<Sending>> mQueues = new HashMap<>();

    VirtualLinks(long bytesPerSecond) {
        mBytesPerSecond = bytesPerSecond;
    }

    private record Sending(RaftMessage message, long endNanos) {}

    void send(RaftMessage message, long nowNanos) {
        if (mBytesPerSecond == UNLIMITED) {
            mUnlimited.add(message);
            return;
        }
        Deque<Sending> queue =
                mQueues.computeIfAbsent(message.from().name(), _ -> new ArrayDeque<>());
        long startNanos = queue.isEmpty() ? nowNanos : queue.getLast().endNanos();
        long nanos = bytes(message) * TimeUnit.SECONDS.toNanos(1) / mBytesPerSecond;
        queue.add(new Sending(message, startNanos + nanos));
    }

    /** Removes and returns the messages that are sent by now. */
    List<RaftMessage> arrivals(long nowNanos) {
        List<RaftMessage> arrived = new ArrayList<>(mUnlimited);
        mUnlimited.clear();
        for (Deque<Sending> queue : mQueues.values()) {
            while (!queue.isEmpty() && queue.getFirst().endNanos() <= nowNanos) {
                arrived.add(queue.removeFirst().message());
            }
        }
        return arrived;
    }

    private static long bytes(RaftMessage message) {
        long content =
                switch (message.body()) {
                    case AppendEntriesRequest append ->
                            append.entries().stream()
                                    .mapToLong(entry -> entry.payload().size())
                                    .sum();
                    case InstallSnapshotRequest chunk -> chunk.data().size();
                    default -> 0;
                };
        return MESSAGE_OVERHEAD_BYTES + content;
    }
}
