package dev.kumquatweir.storage;

import java.io.IOException;
import java.util.List;

/**
 * The file operations that the store needs, on one flat folder. A port: tests put faults behind it.
 * Used by one thread.
 */
public interface DataFolder extends AutoCloseable {
    /** Returns the folder's name for messages. */
    String location();

    /**
     * Keeps other processes out until {@link #close}.
     *
     * @return false if another process or store holds the folder
     */
    boolean lock() throws IOException;

    /** Returns the names of all files. */
    List<String> list() throws IOException;

    /** Makes an empty file, replacing one of the same name, and opens it. */
    DataFile create(String name) throws IOException;

    /** Opens an existing file. */
    DataFile open(String name) throws IOException;

    /** Renames a file, replacing the target at once. Durable after the next {@link #sync}. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file if it exists. Durable after the next {@link #sync}. */
    void delete(String name) throws IOException;

    /** Makes creations, renames and deletions durable; never throws {@link NoSpaceException}. */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
}
