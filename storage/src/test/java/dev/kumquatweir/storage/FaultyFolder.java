package dev.kumquatweir.storage;

import dev.kumquatweir.core.bytes.Bytes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A folder in memory that knows what is durable. Each write is short at random. One fault can be
 * set for the operation with a certain number; {@link #afterCrash} gives what a loss of power
 * leaves.
 */
final class FaultyFolder implements DataFolder {
    enum Fault {
        NONE,
        /** Writes (after a part of the bytes), creations and renames find no space. */
        NO_SPACE,
        /** The next sync of a file or folder fails and loses what was not synced. */
        SYNC_FAILS,
        /** Syncs of files find no space, as on file systems that allocate late. */
        SYNC_WITHOUT_SPACE,
        /** Files can't be closed. */
        CLOSE_FAILS,
        /** Power is lost: this and all further operations fail. */
        CRASH
    }

    /** A change of a file that is not durable yet. */
    private sealed interface Change {
        record Write(int position, Bytes content) implements Change {}

        record Truncation(int size) implements Change {}
    }

    private static final class Node {
        private final List<Change> mUnsynced = new ArrayList<>();
        private byte[] mContent = new byte[0];
        private byte[] mSynced = new byte[0];

        static Node of(byte[] content) {
            Node node = new Node();
            node.mContent = content.clone();
            node.mSynced = content.clone();
            return node;
        }
    }

    private final Map<String, Node> mFiles = new TreeMap<>();
    private final Map<String, Node> mDurableFiles = new TreeMap<>();
    private final List<Consumer<Map<String, Node>>> mUnsyncedChanges = new ArrayList<>();
    private final Random mRandom;
    private Fault mFault = Fault.NONE;
    private int mFaultAt;
    private int mOperations;
    private boolean mClosed;
    private long mCapacityBytes = Long.MAX_VALUE;

    FaultyFolder(long seed) {
        mRandom = new Random(seed);
    }

    FaultyFolder failAt(Fault fault, int operation) {
        mFault = fault;
        mFaultAt = operation;
        return this;
    }

    /** Limits what all files take together; beyond it there is no space. */
    FaultyFolder withCapacity(long bytes) {
        mCapacityBytes = bytes;
        return this;
    }

    /** Returns what all files take together. */
    long usedBytes() {
        return mFiles.values().stream().mapToLong(node -> node.mContent.length).sum();
    }

    void repair() {
        mFault = Fault.NONE;
    }

    int operations() {
        return mOperations;
    }

    byte[] content(String name) {
        return file(name).mContent.clone();
    }

    void replace(String name, byte[] content) {
        Node node = Node.of(content);
        mFiles.put(name, node);
        mDurableFiles.put(name, node);
    }

    /** Returns an independent folder with the same files, all of them durable. */
    FaultyFolder copy() {
        FaultyFolder copy = new FaultyFolder(1);
        mFiles.forEach((name, node) -> copy.replace(name, node.mContent));
        return copy;
    }

    /**
     * Returns what is left after a loss of power. Of the changes to the folder that were not synced
     * any may be lost, and so may be each write of a file since its last sync, whole or in part.
     */
    FaultyFolder afterCrash(long seed) {
        Random random = new Random(seed);
        mUnsyncedChanges.stream()
                .filter(change -> random.nextBoolean())
                .forEach(change -> change.accept(mDurableFiles));
        FaultyFolder left = new FaultyFolder(seed);
        mDurableFiles.forEach((name, node) -> left.replace(name, survivor(node, random)));
        return left;
    }

    private static byte[] survivor(Node node, Random random) {
        byte[] survivor = node.mSynced;
        if (random.nextInt(4) == 0) {
            return survivor;
        }
        for (Change change : node.mUnsynced) {
            survivor =
                    switch (change) {
                        case Change.Write write -> afterWrite(survivor, write, random);
                        case Change.Truncation cut ->
                                random.nextBoolean()
                                        ? Arrays.copyOf(survivor, cut.size())
                                        : survivor;
                    };
        }
        return survivor;
    }

    private static byte[] afterWrite(byte[] content, Change.Write write, Random random) {
        byte[] bytes = write.content().toArray();
        int first = random.nextInt(bytes.length + 1);
        int second = first + random.nextInt(bytes.length - first + 1);
        return switch (random.nextInt(6)) {
            case 0 -> content;
            case 1 -> overwritten(content, write.position(), bytes, 0, bytes.length);
            case 2 -> overwritten(content, write.position(), bytes, 0, first);
            case 3 -> overwritten(content, write.position(), bytes, first, second);
            case 4 -> {
                byte[] begun = overwritten(content, write.position(), bytes, 0, first);
                yield overwritten(begun, write.position(), bytes, second, bytes.length);
            }
            default -> {
                // The size became durable before the content.
                byte[] begun = overwritten(content, write.position(), bytes, 0, first);
                yield Arrays.copyOf(begun, Math.max(begun.length, write.position() + bytes.length));
            }
        };
    }

    /**
     * Returns a content after a part of a write; what lies between its end and the part is zero.
     */
    private static byte[] overwritten(
            byte[] content, int position, byte[] bytes, int from, int to) {
        if (from == to) {
            return content;
        }
        byte[] result = Arrays.copyOf(content, Math.max(content.length, position + to));
        System.arraycopy(bytes, from, result, position + from, to - from);
        return result;
    }

    @Override
    public String location() {
        return "folder";
    }

    @Override
    public boolean lock() {
        return true;
    }

    @Override
    public List<String> list() {
        return List.copyOf(mFiles.keySet());
    }

    @Override
    public DataFile create(String name) throws IOException {
        step(name, true);
        Node node = new Node();
        change(files -> files.put(name, node));
        return new MemoryFile(name, node);
    }

    @Override
    public DataFile open(String name) {
        return new MemoryFile(name, file(name));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        step(to, true);
        Node node = file(from);
        change(
                files -> {
                    files.remove(from);
                    files.put(to, node);
                });
    }

    @Override
    public void delete(String name) throws IOException {
        step(name, false);
        change(files -> files.remove(name));
    }

    @Override
    public void sync() throws IOException {
        step("folder", false);
        failSync();
        mUnsyncedChanges.forEach(change -> change.accept(mDurableFiles));
        mUnsyncedChanges.clear();
    }

    @Override
    public void close() {
        mClosed = true;
    }

    boolean closed() {
        return mClosed;
    }

    private Node file(String name) {
        Node node = mFiles.get(name);
        if (node == null) {
            throw new AssertionError("no file " + name);
        }
        return node;
    }

    private void change(Consumer<Map<String, Node>> change) {
        change.accept(mFiles);
        mUnsyncedChanges.add(change);
    }

    private boolean due(Fault fault) {
        return mFault == fault && mOperations >= mFaultAt;
    }

    private void step(String name, boolean needsSpace) throws IOException {
        mOperations++;
        if (due(Fault.CRASH)) {
            throw new IOException("power lost");
        }
        if (needsSpace && due(Fault.NO_SPACE)) {
            throw new NoSpaceException(name);
        }
    }

    private void failSync() throws IOException {
        if (due(Fault.SYNC_FAILS)) {
            mFault = Fault.NONE;
            throw new IOException("injected sync failure");
        }
    }

    private final class MemoryFile implements DataFile {
        private final String mName;
        private final Node mNode;

        MemoryFile(String name, Node node) {
            mName = name;
            mNode = node;
        }

        @Override
        public long size() {
            return mNode.mContent.length;
        }

        @Override
        public int read(ByteBuffer target, long position) {
            int count = Math.min(target.remaining(), mNode.mContent.length - (int) position);
            target.put(mNode.mContent, (int) position, count);
            return count;
        }

        @Override
        public int write(ByteBuffer source, long position) throws IOException {
            int count = 1 + mRandom.nextInt(source.remaining());
            byte[] bytes = new byte[count];
            source.get(bytes);
            int end = (int) position + count;
            int size = Math.max(mNode.mContent.length, end);
            if (usedBytes() + size - mNode.mContent.length > mCapacityBytes) {
                throw new NoSpaceException(mName);
            }
            mNode.mContent = Arrays.copyOf(mNode.mContent, size);
            System.arraycopy(bytes, 0, mNode.mContent, (int) position, count);
            mNode.mUnsynced.add(new Change.Write((int) position, Bytes.copyOf(bytes)));
            step(mName, true);
            return count;
        }

        @Override
        public void truncate(long size) throws IOException {
            step(mName, false);
            mNode.mContent = Arrays.copyOf(mNode.mContent, (int) size);
            mNode.mUnsynced.add(new Change.Truncation((int) size));
        }

        @Override
        public void force() throws IOException {
            step(mName, false);
            if (due(Fault.SYNC_WITHOUT_SPACE)) {
                throw new IOException("No space left on device");
            }
            failSync();
            mNode.mSynced = mNode.mContent.clone();
            mNode.mUnsynced.clear();
        }

        @Override
        public void close() throws IOException {
            if (due(Fault.CLOSE_FAILS)) {
                throw new IOException("injected close failure");
            }
        }
    }
}
