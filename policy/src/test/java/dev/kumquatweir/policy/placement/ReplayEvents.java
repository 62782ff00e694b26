package dev.kumquatweir.policy.placement;

import java.util.PriorityQueue;

/** Events of a simulation in virtual time. Those with equal times keep their order. */
final class ReplayEvents {
    private final PriorityQueue<ScheduledEvent> mEvents = new PriorityQueue<>();
    private long mLastOrder;
    private long mNowNanos;

    /** An action scheduled for a time. */
    private record ScheduledEvent(long nanos, long order, Runnable action)
            implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            int byTime = Long.compare(nanos, other.nanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** Returns the time that the simulation has reached. */
    long nowNanos() {
        return mNowNanos;
    }

    void schedule(long nanos, Runnable action) {
        mLastOrder++;
        mEvents.add(new ScheduledEvent(nanos, mLastOrder, action));
    }

    /** Runs an action at a time after the present event, at once if that is now. */
    void after(long nanos, Runnable action) {
        if (nanos == mNowNanos) {
            action.run();
        } else {
            schedule(nanos, action);
        }
    }

    /** Runs the events up to a time. */
    void run(long untilNanos) {
        while (!mEvents.isEmpty() && mEvents.peek().nanos() <= untilNanos) {
            ScheduledEvent event = mEvents.remove();
            mNowNanos = event.nanos();
            event.action().run();
        }
        mNowNanos = untilNanos;
    }
}
