package dev.kumquatweir.storage;

import java.util.ArrayList;
import java.util.List;

/** One open file of the log. Used by one thread. */
final class Segment {
    /** Size of a segment without entries: a sealed start whose body is the first index. */
    static final int HEADER_BYTES = SealedFiles.sizeBytes(Long.BYTES);

    private static final String PREFIX = "segment-";
    private static final String SUFFIX = ".log";

    private final DataFile mFile;
    private final long mFirstIndex;
    private final List<Long> mOffsets;
    private long mEndBytes;

    Segment(DataFile file, long firstIndex, List<Long> offsets, long endBytes) {
        mFile = file;
        mFirstIndex = firstIndex;
        mOffsets = new ArrayList<>(offsets);
        mEndBytes = endBytes;
    }

    /** Returns the name of the segment that begins at an index; names sort by index. */
    static String name(long firstIndex) {
        return String.format("%s%020d%s", PREFIX, firstIndex, SUFFIX);
    }

    /** Returns the index that a segment of a name begins with. */
    static long firstIndex(String name) {
        return Long.parseLong(name.substring(PREFIX.length(), name.length() - SUFFIX.length()));
    }

    static boolean isName(String file) {
        return file.startsWith(PREFIX) && file.endsWith(SUFFIX);
    }

    String name() {
        return name(mFirstIndex);
    }

    DataFile file() {
        return mFile;
    }

    long firstIndex() {
        return mFirstIndex;
    }

    /** Returns the index of the last entry, or the one before the first if there is none. */
    long lastIndex() {
        return mFirstIndex + mOffsets.size() - 1;
    }

    long endBytes() {
        return mEndBytes;
    }

    void added(int recordBytes) {
        mOffsets.add(mEndBytes);
        mEndBytes += recordBytes;
    }

    /** Forgets the entries from an index on and returns the size that the file has then. */
    long cutFrom(long index) {
        int kept = (int) (index - mFirstIndex);
        mEndBytes = mOffsets.get(kept);
        mOffsets.subList(kept, mOffsets.size()).clear();
        return mEndBytes;
    }
}
