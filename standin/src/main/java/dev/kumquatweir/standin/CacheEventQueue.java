package dev.kumquatweir.standin;

import dev.kumquatweir.standin.model.CacheChange;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Cache events that wait to be sent, numbered without gaps from 1. Dropped events keep their
 * numbers, so that the receiver sees the gap. Thread-safe.
 */
final class CacheEventQueue {
    private static final int CAPACITY = 20_000;

    /** Number of a message that carries the whole cache instead of changes. */
    static final long WHOLE_LIST = 0;

    private final Deque<Numbered> mWaiting = new ArrayDeque<>();
    private @Nullable List<CacheChange> mWholeList;
    private long mNextSequence = 1;
    private long mDropsLeft;

    private record Numbered(long sequence, CacheChange change) {}

    /**
     * Events to send in one message.
     *
     * @param firstSequence number of the first event
     * @param events events whose numbers follow each other
     */
    record Batch(long firstSequence, List<CacheChange> events) {
        boolean isWholeList() {
            return firstSequence == WHOLE_LIST;
        }
    }

    synchronized void add(List<CacheChange> changes) {
        for (CacheChange change : changes) {
            long sequence = mNextSequence++;
            if (mDropsLeft > 0) {
                mDropsLeft--;
            } else if (mWaiting.size() < CAPACITY) {
                mWaiting.add(new Numbered(sequence, change));
            }
        }
    }

    /** Drops all waiting events and sends the whole cache in their place, as one message. */
    synchronized void replaceAll(List<CacheChange> entries) {
        mWaiting.clear();
        mWholeList = List.copyOf(entries);
    }

    /** Drops the next events, keeping their numbers; 0 ends the dropping. */
    synchronized void dropNext(long events) {
        mDropsLeft = events;
    }

    /** Starts again at number 1, for a new incarnation. */
    synchronized void reset() {
        mWaiting.clear();
        mWholeList = null;
        mNextSequence = 1;
    }

    /** Returns the whole list if it is due, else the oldest waiting events up to the first gap. */
    synchronized Batch oldest(int limit) {
        List<CacheChange> wholeList = mWholeList;
        if (wholeList != null) {
            return new Batch(WHOLE_LIST, wholeList);
        }
        List<CacheChange> events = new ArrayList<>();
        long first = mWaiting.isEmpty() ? mNextSequence : mWaiting.element().sequence();
        for (Numbered waiting : mWaiting) {
            if (events.size() == limit || waiting.sequence() != first + events.size()) {
                break;
            }
            events.add(waiting.change());
        }
        return new Batch(first, events);
    }

    /** Removes the events of a batch that was delivered. */
    synchronized void delivered(Batch batch) {
        if (batch.isWholeList()) {
            mWholeList = null;
            return;
        }
        long end = batch.firstSequence() + batch.events().size();
        mWaiting.removeIf(
                waiting -> waiting.sequence() >= batch.firstSequence() && waiting.sequence() < end);
    }
}
