package dev.kumquatweir.core.duty;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

class NewestValueTest {
    private final Deque<Runnable> mQueue = new ArrayDeque<>();
    private final List<Integer> mSeen = new ArrayList<>();
    private boolean mFull;
    private final NewestValue<Integer> mValue = new NewestValue<>(this::queue, mSeen::add);

    private void queue(Runnable task) {
        if (!mFull) {
            mQueue.add(task);
        }
    }

    private void runQueue() {
        while (!mQueue.isEmpty()) {
            mQueue.remove().run();
        }
    }

    // Guards against large values that accumulate in the queue of an event loop that is late.
    @Test
    void lateEventLoopGetsTheNewestValueOnly() {
        mValue.offer(1);
        mValue.offer(2);
        mValue.offer(3);
        assertThat(mQueue.size(), is(1));
        runQueue();
        mValue.offer(4);
        runQueue();
        assertThat(mSeen, contains(3, 4));
    }

    // Guards against a value that is never handed over since the queue was full.
    @Test
    void tickHandsOverWhatTheFullQueueRefused() {
        mFull = true;
        mValue.offer(1);
        mValue.offer(2);
        mValue.deliver();
        assertThat(mSeen, contains(2));
        mFull = false;
        mValue.offer(3);
        runQueue();
        assertThat(mSeen, contains(2, 3));
    }
}
