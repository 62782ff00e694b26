package dev.kumquatweir.storage;

import java.io.IOException;
import java.nio.ByteBuffer;

/** An open file of a {@link DataFolder}. Used by one thread. */
public interface DataFile extends AutoCloseable {
    /** Returns the size in bytes. */
    long size() throws IOException;

    /**
     * Reads from a position until the buffer is full or the file ends.
     *
     * @return the number of bytes read
     */
    int read(ByteBuffer target, long position) throws IOException;

    /**
     * Writes at a position. May write less than the buffer holds.
     *
     * @return the number of bytes written
     * @throws NoSpaceException if no space is left; some bytes may have been written
     */
    int write(ByteBuffer source, long position) throws IOException;

    /** Cuts the file to a size. Durable after the next {@link #force}. */
    void truncate(long size) throws IOException;

    /**
     * Makes content and size durable. An exception, whatever its cause, leaves unknown what is
     * durable; never {@link NoSpaceException}.
     */
    void force() throws IOException;

    @Override
    void close() throws IOException;
}
