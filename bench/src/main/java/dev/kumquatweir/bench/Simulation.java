package dev.kumquatweir.bench;

import java.util.PriorityQueue;

/** Virtual time and the events that are due. Events of the same time run in order of scheduling. */
final class Simulation {
    private record Event(long atNanos, long sequence, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private long mNowNanos;
    private long mSequence;

    /** Returns the present. */
    long now() {
        return mNowNanos;
    }

    /** Runs a task after a time. */
    void after(long delayNanos, Runnable task) {
        mEvents.add(new Event(mNowNanos + Math.max(0, delayNanos), mSequence++, task));
    }

    /** Runs a task at a time, or now if that has passed. */
    void at(long atNanos, Runnable task) {
        after(atNanos - mNowNanos, task);
    }

    /** Runs all events up to a time. */
    void runUntil(long untilNanos) {
        Event next = mEvents.peek();
        while (next != null && next.atNanos() <= untilNanos) {
            mEvents.poll();
            mNowNanos = next.atNanos();
            next.task().run();
            next = mEvents.peek();
        }
        mNowNanos = untilNanos;
    }
}
