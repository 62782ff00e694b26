package dev.kumquatweir.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/** A {@link DataFolder} on the file system of the machine. */
public final class DiskFolder implements DataFolder {
    private static final String LOCK_FILE = "lock";
    // Closing any channel of a file drops the process's POSIX locks on it, so a second store of
    // this
    // process must not even open the lock file.
    private static final Set<Path> HELD = ConcurrentHashMap.newKeySet();

    private final Path mFolder;
    private @Nullable FileChannel mLock;

    private DiskFolder(Path folder) {
        mFolder = folder;
    }

    /**
     * Opens a folder and makes it if it is missing.
     *
     * @param folder the data folder; nothing else may be kept in it
     * @throws NoSpaceException if the disk has no room for the folder
     */
    public static DiskFolder open(Path folder) throws IOException {
        Path absolute = folder.toAbsolutePath();
        try {
            Files.createDirectories(absolute);
        } catch (IOException fault) {
            throw classified(absolute.toString(), fault);
        }
        Path parent = absolute.getParent();
        if (parent != null) {
            syncFolder(parent);
        }
        return new DiskFolder(absolute.toRealPath());
    }

    @Override
    public String location() {
        return mFolder.toString();
    }

    @Override
    public boolean lock() throws IOException {
        if (mLock != null) {
            return true;
        }
        if (!HELD.add(mFolder)) {
            return false;
        }
        try {
            mLock = lockFile();
        } finally {
            if (mLock == null) {
                HELD.remove(mFolder);
            }
        }
        return mLock != null;
    }

    @Override
    public List<String> list() throws IOException {
        try (Stream<Path> files = Files.list(mFolder)) {
            return files.map(file -> file.getFileName().toString()).sorted().toList();
        }
    }

    @Override
    public DataFile create(String name) throws IOException {
        return openFile(
                name,
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE);
    }

    @Override
    public DataFile open(String name) throws IOException {
        return openFile(name, StandardOpenOption.READ, StandardOpenOption.WRITE);
    }

    @Override
    public void rename(String from, String to) throws IOException {
        try {
            Files.move(mFolder.resolve(from), mFolder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException fault) {
            throw classified(to, fault);
        }
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(mFolder.resolve(name));
    }

    @Override
    public void sync() throws IOException {
        syncFolder(mFolder);
    }

    @Override
    public void close() throws IOException {
        FileChannel lock = mLock;
        if (lock != null) {
            lock.close();
            mLock = null;
            HELD.remove(mFolder);
        }
    }

    private @Nullable FileChannel lockFile() throws IOException {
        FileChannel channel = openLockFile();
        boolean locked = false;
        try {
            locked = channel.tryLock() != null;
        } finally {
            if (!locked) {
                channel.close();
            }
        }
        return locked ? channel : null;
    }

    private FileChannel openLockFile() throws IOException {
        try {
            return FileChannel.open(
                    mFolder.resolve(LOCK_FILE),
                    StandardOpenOption.CREATE,
                    StandardOpenOption.WRITE);
        } catch (IOException fault) {
            throw classified(LOCK_FILE, fault);
        }
    }

    private DataFile openFile(String name, StandardOpenOption... options) throws IOException {
        try {
            return new DiskFile(name, FileChannel.open(mFolder.resolve(name), options));
        } catch (IOException fault) {
            throw classified(name, fault);
        }
    }

    private static void syncFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    /** Recognises a full disk by the text of the system error; Java has no type or code for it. */
    static IOException classified(String name, IOException fault) {
        String text = String.valueOf(fault.getMessage()).toLowerCase(Locale.ROOT);
        boolean full = text.contains("no space left") || text.contains("quota exceeded");
        return full ? new NoSpaceException(name) : fault;
    }

    private record DiskFile(String name, FileChannel channel) implements DataFile {
        @Override
        public long size() throws IOException {
            return channel.size();
        }

        @Override
        public int read(ByteBuffer target, long position) throws IOException {
            int total = 0;
            while (target.hasRemaining()) {
                int count = channel.read(target, position + total);
                if (count < 0) {
                    break;
                }
                total += count;
            }
            return total;
        }

        @Override
        public int write(ByteBuffer source, long position) throws IOException {
            try {
                return channel.write(source, position);
            } catch (IOException fault) {
                throw classified(name, fault);
            }
        }

        @Override
        public void truncate(long size) throws IOException {
            channel.truncate(size);
        }

        @Override
        public void force() throws IOException {
            // fdatasync: content and size, not the time of change.
            channel.force(false);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
