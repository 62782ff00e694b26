package dev.kumquatweir.storage;

import dev.kumquatweir.agreement.codec.MembershipCodec;
import dev.kumquatweir.agreement.port.HardState;
import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.core.bytes.Bytes;
import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** The sealed files besides the log: store id, hard state and snapshots. Used by one thread. */
final class StateFiles {
    private static final String STORE_ID = "store-id";
    private static final String HARD_STATE = "hard-state";
    private static final String SNAPSHOT_PREFIX = "snapshot-";
    private static final String SNAPSHOT_SUFFIX = ".image";

    private final DataFolder mFolder;
    private final SealedFiles mSealed;

    StateFiles(DataFolder folder) {
        mFolder = folder;
        mSealed = new SealedFiles(folder);
    }

    /** Deletes what an interrupted write left. */
    void deleteTemporary() throws IOException {
        for (String name : mFolder.list()) {
            if (name.endsWith(SealedFiles.TEMPORARY) && !name.equals(RecoveryPoint.NAME)) {
                mFolder.delete(name);
            }
        }
    }

    /**
     * Returns the store id, and makes one if the folder is new. The store id is written last: a
     * folder without it holds nothing that was acknowledged, unless its files show otherwise.
     */
    StoreId loadOrMakeStoreId() throws IOException {
        Optional<SealedFiles.Content> stored = mSealed.readIfListed(STORE_ID);
        if (stored.isPresent()) {
            return stored.get().storeId();
        }
        boolean used =
                mFolder.list().stream().anyMatch(name -> isSnapshot(name) || Segment.isName(name));
        if (used) {
            throw new DamageException(
                    mFolder.location(), 0, "the store id is missing but the folder is in use");
        }
        StoreId made = StoreId.random();
        writeHardState(made, HardState.INITIAL);
        mSealed.write(STORE_ID, made, new byte[0]);
        return made;
    }

    /** Reads term and vote; a missing file is damage, since a new store writes one first. */
    HardState readHardState(StoreId storeId) throws IOException {
        SealedFiles.Content content =
                mSealed.readIfListed(HARD_STATE)
                        .orElseThrow(() -> new DamageException(HARD_STATE, 0, "missing file"));
        ByteBuffer body = body(HARD_STATE, content, storeId);
        long term = body.getLong();
        String votedFor = StandardCharsets.UTF_8.decode(body).toString();
        return new HardState(term, votedFor);
    }

    void writeHardState(StoreId storeId, HardState state) throws IOException {
        byte[] votedFor = state.votedFor().getBytes(StandardCharsets.UTF_8);
        ByteBuffer body = ByteBuffer.allocate(Long.BYTES + votedFor.length);
        body.putLong(state.term()).put(votedFor);
        mSealed.write(HARD_STATE, storeId, body.array());
    }

    /** Reads the newest snapshot. Damage is not bypassed by an older one: its log may be gone. */
    Optional<SnapshotImage> readSnapshot(StoreId storeId) throws IOException {
        Optional<String> newest = snapshots().stream().max(Comparator.naturalOrder());
        if (newest.isEmpty()) {
            return Optional.empty();
        }
        String name = newest.get();
        ByteBuffer body = body(name, mSealed.read(name), storeId);
        try {
            long index = body.getLong();
            long term = body.getLong();
            byte[] encoded = new byte[body.getInt()];
            body.get(encoded);
            byte[] data = new byte[body.remaining()];
            body.get(data);
            Membership membership =
                    MembershipCodec.decode(Bytes.copyOf(encoded))
                            .getOrElseThrow(fault -> new DamageException(name, 0, fault.message()));
            if (!name.equals(snapshotName(index, term))) {
                throw new DamageException(name, 0, "holds the snapshot at index " + index);
            }
            return Optional.of(new SnapshotImage(index, term, membership, Bytes.copyOf(data)));
        } catch (BufferUnderflowException | NegativeArraySizeException fault) {
            throw new DamageException(name, 0, "the snapshot's fields do not fit its size");
        }
    }

    void writeSnapshot(StoreId storeId, SnapshotImage image) throws IOException {
        byte[] membership = MembershipCodec.encode(image.membership()).toArray();
        byte[] data = image.data().toArray();
        ByteBuffer body = ByteBuffer.allocate(20 + membership.length + data.length);
        body.putLong(image.index()).putLong(image.term()).putInt(membership.length);
        body.put(membership).put(data);
        mSealed.write(snapshotName(image.index(), image.term()), storeId, body.array());
    }

    /** Deletes all snapshots but one. */
    void deleteSnapshotsExcept(SnapshotImage kept) throws IOException {
        String keptName = snapshotName(kept.index(), kept.term());
        for (String name : snapshots()) {
            if (!name.equals(keptName)) {
                mFolder.delete(name);
            }
        }
    }

    private static ByteBuffer body(String name, SealedFiles.Content content, StoreId storeId)
            throws DamageException {
        if (!content.storeId().equals(storeId)) {
            throw new DamageException(name, 16, "the file belongs to another store");
        }
        return content.body();
    }

    private List<String> snapshots() throws IOException {
        return mFolder.list().stream().filter(StateFiles::isSnapshot).toList();
    }

    private static boolean isSnapshot(String name) {
        return name.startsWith(SNAPSHOT_PREFIX) && name.endsWith(SNAPSHOT_SUFFIX);
    }

    private static String snapshotName(long index, long term) {
        return String.format("%s%020d-%020d%s", SNAPSHOT_PREFIX, index, term, SNAPSHOT_SUFFIX);
    }
}
