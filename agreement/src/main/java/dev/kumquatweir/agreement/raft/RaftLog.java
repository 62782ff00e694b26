package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.codec.MembershipCodec;
import dev.kumquatweir.agreement.port.EntryKind;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.agreement.port.StoredState;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The log in memory: the entries after a base index, and the memberships that they set. The base is
 * the last compacted entry, of which only index and term are kept. Called only by the thread that
 * steps the {@link RaftNode}.
 */
final class RaftLog {
    /** Term returned for an index outside the log. */
    static final long UNKNOWN_TERM = -1;

    /** Objects that hold an entry: the record, its bytes, an array header and a list element. */
    private static final int ENTRY_OVERHEAD_BYTES = 96;

    private final List<LogEntry> mEntries = new ArrayList<>();
    private final TreeMap<Long, Membership> mMemberships = new TreeMap<>();
    private final boolean mStoredEntriesDiscarded;
    private long mBaseIndex;
    private long mBaseTerm;
    private long mBytes;
    private @Nullable SnapshotImage mSnapshot;

    RaftLog(StoredState state) {
        mSnapshot = state.snapshot().orElse(null);
        mMemberships.put(0L, Membership.EMPTY);
        if (mSnapshot != null) {
            mBaseIndex = mSnapshot.index();
            mBaseTerm = mSnapshot.term();
            mMemberships.put(mBaseIndex, mSnapshot.membership());
        }
        List<LogEntry> stored = state.entries();
        mStoredEntriesDiscarded = !stored.isEmpty() && !continuesSnapshot(stored);
        if (stored.isEmpty() || mStoredEntriesDiscarded) {
            return;
        }
        LogEntry first = stored.getFirst();
        if (first.index() <= mBaseIndex) {
            // The term before the first entry is not known, so the first entry becomes the base.
            mBaseIndex = first.index();
            mBaseTerm = first.term();
            append(stored.subList(1, stored.size()));
        } else {
            append(stored);
        }
    }

    private boolean continuesSnapshot(List<LogEntry> stored) {
        long first = stored.getFirst().index();
        if (first == mBaseIndex + 1) {
            return true;
        }
        return first <= mBaseIndex
                && stored.getLast().index() >= mBaseIndex
                && stored.get((int) (mBaseIndex - first)).term() == mBaseTerm;
    }

    /** Returns whether stored entries do not continue the snapshot and must be truncated. */
    boolean storedEntriesDiscarded() {
        return mStoredEntriesDiscarded;
    }

    long baseIndex() {
        return mBaseIndex;
    }

    LogSize size() {
        return new LogSize(mEntries.size(), mBytes);
    }

    /** Returns what an entry takes in memory. */
    static long bytes(LogEntry entry) {
        return (long) entry.payload().size() + ENTRY_OVERHEAD_BYTES;
    }

    long lastIndex() {
        return mBaseIndex + mEntries.size();
    }

    long lastTerm() {
        return mEntries.isEmpty() ? mBaseTerm : mEntries.getLast().term();
    }

    @Nullable SnapshotImage snapshot() {
        return mSnapshot;
    }

    long snapshotIndex() {
        return mSnapshot == null ? 0 : mSnapshot.index();
    }

    /** Returns the term of an entry, {@link #UNKNOWN_TERM} outside the log. */
    long term(long index) {
        if (index == mBaseIndex) {
            return mBaseTerm;
        }
        return index < mBaseIndex || index > lastIndex() ? UNKNOWN_TERM : entry(index).term();
    }

    LogEntry entry(long index) {
        return mEntries.get((int) (index - mBaseIndex - 1));
    }

    /** Returns the latest membership in the log, committed or not. */
    Membership membership() {
        return mMemberships.lastEntry().getValue();
    }

    /** Returns the index of the entry that set the latest membership. */
    long membershipIndex() {
        return mMemberships.lastKey();
    }

    Membership membershipAt(long index) {
        return mMemberships.floorEntry(index).getValue();
    }

    void append(List<LogEntry> entries) {
        entries.forEach(this::append);
    }

    void append(LogEntry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalStateException(
                    "entry " + entry.index() + " does not follow " + lastIndex());
        }
        mEntries.add(entry);
        mBytes += bytes(entry);
        if (entry.kind() == EntryKind.MEMBERSHIP) {
            Membership membership =
                    MembershipCodec.decode(entry.payload())
                            .getOrElseThrow(fault -> new IllegalStateException(fault.message()));
            mMemberships.put(entry.index(), membership);
        }
    }

    void truncateFrom(long index) {
        remove((int) (index - mBaseIndex - 1), mEntries.size());
        mMemberships.tailMap(index, true).clear();
    }

    /** Returns entries from an index within the limits, but at least one if there is any. */
    List<LogEntry> slice(long fromIndex, int maxEntries, long maxBytes) {
        int start = (int) (fromIndex - mBaseIndex - 1);
        int end = start;
        long bytes = 0;
        while (end < mEntries.size() && end - start < maxEntries) {
            bytes += mEntries.get(end).payload().size();
            if (bytes > maxBytes && end > start) {
                break;
            }
            end++;
        }
        return mEntries.subList(start, end);
    }

    /** Returns what the entries after an index up to another one take in memory. */
    long bytesBetween(long afterIndex, long lastIndex) {
        return mEntries
                .subList((int) (afterIndex - mBaseIndex), (int) (lastIndex - mBaseIndex))
                .stream()
                .mapToLong(RaftLog::bytes)
                .sum();
    }

    /**
     * Returns the first index from which the entries up to a last one are within the limits. The
     * last one counts even if it exceeds them.
     */
    long firstIndexWithin(long lastIndex, int maxEntries, long maxBytes) {
        long first = lastIndex;
        long bytes = bytes(entry(lastIndex));
        while (first - 1 > mBaseIndex && lastIndex - first + 1 < maxEntries) {
            bytes += bytes(entry(first - 1));
            if (bytes > maxBytes) {
                break;
            }
            first--;
        }
        return first;
    }

    /** Returns the first index, after the base, of the same-term run that ends at an index. */
    long firstIndexOfTerm(long index) {
        long first = index;
        while (first - 1 > mBaseIndex && term(first - 1) == term(index)) {
            first--;
        }
        return first;
    }

    /** Sets a snapshot taken by this replica and drops entries up to compactThrough. */
    void compact(SnapshotImage snapshot, long compactThrough) {
        mSnapshot = snapshot;
        if (compactThrough > mBaseIndex) {
            long term = term(compactThrough);
            remove(0, (int) (compactThrough - mBaseIndex));
            mBaseIndex = compactThrough;
            mBaseTerm = term;
        }
        mMemberships.headMap(mMemberships.floorKey(snapshot.index()), false).clear();
    }

    /** Replaces the whole log with a snapshot received from the leader. */
    void restore(SnapshotImage snapshot) {
        mSnapshot = snapshot;
        remove(0, mEntries.size());
        mBaseIndex = snapshot.index();
        mBaseTerm = snapshot.term();
        mMemberships.clear();
        mMemberships.put(snapshot.index(), snapshot.membership());
    }

    private void remove(int from, int to) {
        List<LogEntry> removed = mEntries.subList(from, to);
        mBytes -= removed.stream().mapToLong(RaftLog::bytes).sum();
        removed.clear();
    }
}
