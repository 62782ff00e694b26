package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.port.LogStore;
import dev.kumquatweir.storage.DiskFolder;
import dev.kumquatweir.storage.FileLogStore;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/** The disk of a replica, which outlives its process. */
interface VirtualDisk {
    /** Returns the store for a process that starts. */
    LogStore open();

    /** Loses the contents. No process may use the disk. */
    void erase();

    /** Returns a disk in memory, whose random source supplies the id of each store. */
    static VirtualDisk inMemory(SplittableRandom random) {
        return new VirtualDisk() {
            private MemoryLogStore mStore = newStore(random);

            @Override
            public LogStore open() {
                return mStore;
            }

            @Override
            public void erase() {
                mStore = newStore(random);
            }
        };
    }

    private static MemoryLogStore newStore(SplittableRandom random) {
        return new MemoryLogStore("%016x".formatted(random.nextLong()));
    }

    /** Returns a disk with the files of the product. */
    static VirtualDisk inFolder(Path folder) {
        return new VirtualDisk() {
            @Override
            public LogStore open() {
                try {
                    return new FileLogStore(DiskFolder.open(folder));
                } catch (IOException fault) {
                    throw new UncheckedIOException(fault);
                }
            }

            @Override
            public void erase() {
                try {
                    for (Path file : files(folder)) {
                        Files.delete(file);
                    }
                } catch (IOException fault) {
                    throw new UncheckedIOException(fault);
                }
            }
        };
    }

    /** Returns what the files of a folder take together. */
    static long usedBytes(Path folder) {
        return files(folder).stream().mapToLong(file -> file.toFile().length()).sum();
    }

    private static List<Path> files(Path folder) {
        try (Stream<Path> files = Files.list(folder)) {
            return files.toList();
        } catch (IOException fault) {
            throw new UncheckedIOException(fault);
        }
    }
}
