package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.port.EntryKind;
import dev.kumquatweir.agreement.port.HardState;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.agreement.port.StorageCompletion;
import dev.kumquatweir.agreement.port.StorageWrite;
import dev.kumquatweir.agreement.port.StoredState;
import dev.kumquatweir.agreement.raft.RaftInput;
import dev.kumquatweir.agreement.raft.RaftMessage;
import dev.kumquatweir.agreement.raft.RaftNode;
import dev.kumquatweir.agreement.raft.RaftOutput;
import dev.kumquatweir.agreement.raft.RaftSettings;
import dev.kumquatweir.core.bytes.Bytes;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** A replica with its disk, which syncs each write at once, in virtual time. */
final class VirtualReplica {
    private final String mName;
    private final RaftSettings mSettings;
    private final SplittableRandom mRandom;
    private final Consumer<RaftMessage> mSender;
    private final List<LogEntry> mEntries = new ArrayList<>();
    private final List<Bytes> mApplied = new ArrayList<>();
    private String mStoreId;
    private HardState mHardState = HardState.INITIAL;
    private Optional<SnapshotImage> mSnapshot = Optional.empty();
    private @Nullable RaftNode mNode;

    VirtualReplica(
            String name,
            RaftSettings settings,
            SplittableRandom random,
            Consumer<RaftMessage> sender) {
        mName = name;
        mSettings = settings;
        mRandom = random;
        mSender = sender;
        mStoreId = newStoreId();
    }

    void found(SnapshotImage snapshot) {
        mSnapshot = Optional.of(snapshot);
    }

    void start(long nowNanos) {
        mApplied.clear();
        StoredState stored = new StoredState(mStoreId, mHardState, mSnapshot, mEntries);
        RaftNode node = new RaftNode(mSettings, mName, stored, mRandom.split(), nowNanos);
        mNode = node;
        execute(node, node.start(), nowNanos);
    }

    void kill() {
        mNode = null;
    }

    /** Empties the disk of a replica that is not running. */
    void loseDisk() {
        mStoreId = newStoreId();
        mEntries.clear();
        mHardState = HardState.INITIAL;
        mSnapshot = Optional.empty();
    }

    void step(RaftInput input, long nowNanos) {
        RaftNode node = mNode;
        if (node != null) {
            execute(node, node.step(input, nowNanos), nowNanos);
        }
    }

    /** Returns the running replica, empty while the process is down. */
    Optional<RaftNode> node() {
        return Optional.ofNullable(mNode);
    }

    MemberId id() {
        return new MemberId(mName, mStoreId);
    }

    /** Returns whether a command has been applied since the process started. */
    boolean hasApplied(Bytes command) {
        return mApplied.contains(command);
    }

    private String newStoreId() {
        return "%016x".formatted(mRandom.nextLong());
    }

    private void execute(RaftNode node, List<RaftOutput> outputs, long nowNanos) {
        long sequence = 0;
        for (RaftOutput output : outputs) {
            if (output instanceof RaftOutput.Send(RaftMessage message)) {
                mSender.accept(message);
            } else if (output instanceof RaftOutput.Write(StorageWrite write)) {
                store(write);
                sequence = write.sequence();
            } else if (output instanceof RaftOutput.Apply(LogEntry entry, long _)
                    && entry.kind() == EntryKind.COMMAND) {
                mApplied.add(entry.payload());
            }
        }
        if (sequence > 0) {
            StorageCompletion completion = new StorageCompletion(sequence, lastIndex());
            execute(node, node.step(new RaftInput.StorageSynced(completion), nowNanos), nowNanos);
        }
    }

    private void store(StorageWrite write) {
        mHardState = write.hardState().orElse(mHardState);
        mSnapshot = write.snapshot().or(() -> mSnapshot);
        if (write.truncateFrom() != StorageWrite.NO_INDEX) {
            mEntries.removeIf(entry -> entry.index() >= write.truncateFrom());
        }
        mEntries.addAll(write.entries());
        mEntries.removeIf(entry -> entry.index() <= write.compactThrough());
    }

    private long lastIndex() {
        return mEntries.isEmpty()
                ? mSnapshot.map(SnapshotImage::index).orElse(0L)
                : mEntries.getLast().index();
    }
}
