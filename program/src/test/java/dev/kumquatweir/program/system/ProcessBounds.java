package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.UncheckedIOException;
import java.util.NoSuchElementException;

/** Bounds that a process keeps whatever its clients and upstreams send. */
final class ProcessBounds {
    /** Heap, direct memory and code cache are 160 MiB at most; classes and threads add to it. */
    private static final long MAXIMUM_MEMORY_BYTES = 240L << 20;

    /** Open descriptors beyond those before the load: connections of all clients, some spare. */
    private static final long MAXIMUM_MORE_DESCRIPTORS = 64;

    private final LocalProcess mProcess;
    private final long mDescriptorsBefore;
    private final long mMaximumMoreDescriptors;

    /** Notes the state of a process before the load. */
    ProcessBounds(LocalProcess process) {
        this(process, 0);
    }

    /**
     * Notes the state of a process before the load.
     *
     * @param connections connections of the load beyond those of a few clients
     */
    ProcessBounds(LocalProcess process, int connections) {
        mProcess = process;
        mMaximumMoreDescriptors = MAXIMUM_MORE_DESCRIPTORS + connections;
        mDescriptorsBefore = process.openDescriptors();
    }

    /** Fails if the process has ended or holds too much; prints what it holds. */
    void check(String load, String result) {
        long memory = 0;
        long descriptors = 0;
        boolean alive = mProcess.alive();
        if (alive) {
            try {
                memory = mProcess.peakMemoryBytes();
                descriptors = mProcess.openDescriptors() - mDescriptorsBefore;
            } catch (UncheckedIOException | NoSuchElementException ended) {
                // The process ended meanwhile.
                alive = false;
            }
        }
        System.out.printf(
                "limits load=%s %s; alive %b, peak %d MB, descriptors %+d%n",
                load, result, alive, memory >> 20, descriptors);
        assertThat("alive after " + load, alive, is(true));
        assertThat("peak memory", memory, lessThan(MAXIMUM_MEMORY_BYTES));
        assertThat("descriptors", descriptors, lessThan(mMaximumMoreDescriptors));
    }
}
