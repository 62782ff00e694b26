package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.port.EntryKind;
import dev.kumquatweir.agreement.port.HardState;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.LogStore;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.agreement.port.StorageWrite;
import dev.kumquatweir.agreement.port.StoredState;
import dev.kumquatweir.agreement.raft.RaftInput;
import dev.kumquatweir.agreement.raft.RaftMessage;
import dev.kumquatweir.agreement.raft.RaftNode;
import dev.kumquatweir.agreement.raft.RaftOutput;
import dev.kumquatweir.agreement.raft.RaftSettings;
import dev.kumquatweir.core.bytes.Bytes;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * A replica with its disk, which syncs each write at once, in virtual time. Its state is the last
 * command that it applied.
 */
final class VirtualReplica {
    private final String mName;
    private final RaftSettings mSettings;
    private final SplittableRandom mRandom;
    private final Consumer<RaftMessage> mSender;
    private final Set<Bytes> mApplied = new HashSet<>();
    private final VirtualDisk mDisk;
    private LogStore mStore;
    private String mStoreId;
    private Bytes mState = Bytes.EMPTY;
    private @Nullable RaftNode mNode;

    VirtualReplica(
            String name,
            RaftSettings settings,
            SplittableRandom random,
            VirtualDisk disk,
            Consumer<RaftMessage> sender) {
        mName = name;
        mSettings = settings;
        mRandom = random;
        mSender = sender;
        mDisk = disk;
        mStore = disk.open();
        mStoreId = mStore.load().get().storeId();
        mStore.close();
    }

    void found(SnapshotImage snapshot) {
        mStore = mDisk.open();
        mStore.load().get();
        mStore.write(
                        List.of(
                                new StorageWrite(
                                        1,
                                        Optional.of(HardState.INITIAL),
                                        Optional.of(snapshot),
                                        StorageWrite.NO_INDEX,
                                        List.of(),
                                        StorageWrite.NO_INDEX)))
                .get();
        mStore.close();
    }

    void start(long nowNanos) {
        mApplied.clear();
        mState = Bytes.EMPTY;
        mStore = mDisk.open();
        StoredState stored = mStore.load().get();
        RaftNode node = new RaftNode(mSettings, mName, stored, mRandom.split(), nowNanos);
        mNode = node;
        execute(node, node.start(), nowNanos);
    }

    void kill() {
        mNode = null;
        mStore.close();
    }

    /** Empties the disk of a replica that is not running. */
    void loseDisk() {
        mDisk.erase();
        mStore = mDisk.open();
        mStoreId = mStore.load().get().storeId();
        mStore.close();
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

    /** Returns the last command that is applied, also by way of a snapshot. */
    Bytes state() {
        return mState;
    }

    private void execute(RaftNode node, List<RaftOutput> outputs, long nowNanos) {
        List<StorageWrite> writes = new ArrayList<>();
        List<RaftInput> inputs = new ArrayList<>();
        for (RaftOutput output : outputs) {
            switch (output) {
                case RaftOutput.Send(RaftMessage message) -> mSender.accept(message);
                case RaftOutput.Write(StorageWrite write) -> writes.add(write);
                case RaftOutput.Apply(LogEntry entry, long _) -> apply(entry);
                case RaftOutput.Restore(SnapshotImage snapshot) -> mState = snapshot.data();
                case RaftOutput.TakeSnapshot(long index) ->
                        inputs.add(new RaftInput.SnapshotTaken(index, mState));
                default -> {}
            }
        }
        if (!writes.isEmpty()) {
            inputs.add(new RaftInput.StorageSynced(mStore.write(writes).get()));
        }
        inputs.forEach(input -> execute(node, node.step(input, nowNanos), nowNanos));
    }

    private void apply(LogEntry entry) {
        if (entry.kind() == EntryKind.COMMAND) {
            mApplied.add(entry.payload());
            mState = entry.payload();
        }
    }
}
