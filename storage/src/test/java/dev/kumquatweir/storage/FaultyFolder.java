package dev.kumquatweir.storage;

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

    private static final class Node {
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

    FaultyFolder(long seed) {
        mRandom = new Random(seed);
    }

    FaultyFolder failAt(Fault fault, int operation) {
        mFault = fault;
        mFaultAt = operation;
        return this;
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
     * Returns what is left after a loss of power: of the changes to the folder that were not synced
     * the first few, of bytes that were not synced any number.
     */
    FaultyFolder afterCrash(long seed) {
        Random random = new Random(seed);
        int changes = random.nextInt(mUnsyncedChanges.size() + 1);
        mUnsyncedChanges.subList(0, changes).forEach(change -> change.accept(mDurableFiles));
        FaultyFolder left = new FaultyFolder(seed);
        mDurableFiles.forEach((name, node) -> left.replace(name, survivor(node, random)));
        return left;
    }

    private static byte[] survivor(Node node, Random random) {
        int common = Math.min(node.mContent.length, node.mSynced.length);
        boolean appended =
                node.mContent.length >= node.mSynced.length
                        && Arrays.equals(node.mContent, 0, common, node.mSynced, 0, common);
        if (appended) {
            int kept = common + random.nextInt(node.mContent.length - common + 1);
            byte[] survivor = Arrays.copyOf(node.mContent, kept);
            if (kept > common && random.nextInt(3) == 0) {
                // The size was durable before the content.
                Arrays.fill(survivor, common + random.nextInt(kept - common), kept, (byte) 0);
            }
            return survivor;
        }
        if (random.nextBoolean()) {
            return node.mContent;
        }
        // Bytes that took the place of others are durable in part, the former size still holds.
        byte[] mixture = node.mSynced.clone();
        System.arraycopy(node.mContent, 0, mixture, 0, random.nextInt(common + 1));
        return mixture;
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
            mNode.mContent = Arrays.copyOf(mNode.mContent, size);
            System.arraycopy(bytes, 0, mNode.mContent, (int) position, count);
            step(mName, true);
            return count;
        }

        @Override
        public void truncate(long size) throws IOException {
            step(mName, false);
            mNode.mContent = Arrays.copyOf(mNode.mContent, (int) size);
        }

        @Override
        public void force() throws IOException {
            step(mName, false);
            if (due(Fault.SYNC_WITHOUT_SPACE)) {
                throw new IOException("No space left on device");
            }
            failSync();
            mNode.mSynced = mNode.mContent.clone();
        }

        @Override
        public void close() throws IOException {
            if (due(Fault.CLOSE_FAILS)) {
                throw new IOException("injected close failure");
            }
        }
    }
}
