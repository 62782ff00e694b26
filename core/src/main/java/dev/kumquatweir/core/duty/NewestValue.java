package dev.kumquatweir.core.duty;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Hands values to an event loop, where each one replaces those before it: a loop that is late gets
 * the newest value only, so that at most one waits whatever its size. Thread-safe.
 *
 * @param <T> type of the values
 */
public final class NewestValue<T> {
    private final Consumer<Runnable> mOffer;
    private final Consumer<T> mConsumer;
    private final AtomicReference<@Nullable T> mWaiting = new AtomicReference<>();

    /**
     * @param offer queues a task for the event loop, as {@link EventLoop#offer} does
     * @param consumer called on the thread of the event loop
     */
    public NewestValue(Consumer<Runnable> offer, Consumer<T> consumer) {
        mOffer = offer;
        mConsumer = consumer;
    }

    /** Replaces the value that waits. */
    public void offer(T value) {
        if (mWaiting.getAndSet(value) == null) {
            mOffer.accept(this::deliver);
        }
    }

    /**
     * Hands over the value that waits, if there is one. Called on the thread of the event loop; its
     * tick has to call it as well, since a full queue refuses the task.
     */
    public void deliver() {
        T value = mWaiting.getAndSet(null);
        if (value != null) {
            mConsumer.accept(value);
        }
    }
}
