package dev.kumquatweir.gateway.http;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.core.time.Clocks;
import io.netty.channel.Channel;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Owner of the limits of all accepted connections of a process: each listener has its own number of
 * connections, all of them share one budget of memory. Thread-safe.
 */
public final class ConnectionGuard {
    /**
     * Time without any progress after which an unread response is given up while the budget is used
     * up. Longer than the pauses of a lossy network.
     */
    private static final long SHORT_UNREAD_MILLIS = 3_000;

    private final ConnectionLimits mLimits;
    private final ConnectionBudget mBudget;
    private final long mMaximumHeadBytes;
    private final AtomicLong mHeadBytes = new AtomicLong();
    private final LimitCounters mCounters;
    private final Clocks mClocks;
    private final List<Group> mGroups = new CopyOnWriteArrayList<>();

    /**
     * @param budgetBytes memory for incomplete heads, held requests and unread responses
     * @param metrics gets the counters
     */
    public ConnectionGuard(
            ConnectionLimits limits, long budgetBytes, MetricRegistry metrics, Clocks clocks) {
        mLimits = limits;
        mBudget = new ConnectionBudget(budgetBytes);
        mMaximumHeadBytes = budgetBytes;
        mCounters = new LimitCounters(metrics, clocks.nowNanos());
        mClocks = clocks;
        Gauge<Long> used = mBudget::usedBytes;
        metrics.register("kumquatweir_connection_budget_used_bytes", used);
    }

    /** Returns the bytes that count for the budget. */
    public long usedBytes() {
        return mBudget.usedBytes();
    }

    /** Returns the number of open connections of all listeners. */
    int openConnections() {
        return mGroups.stream().mapToInt(group -> group.mOpen.size()).sum();
    }

    Clocks clocks() {
        return mClocks;
    }

    /**
     * Returns what guards the connections of one listener.
     *
     * @param name name of the listener in the log
     * @param maximumConnections connections above which those without a request are closed
     */
    public Group group(String name, int maximumConnections) {
        Group group = new Group(name, maximumConnections);
        mGroups.add(group);
        return group;
    }

    /** The connections of one listener. Thread-safe. */
    public final class Group {
        private final String mName;
        private final int mMaximumConnections;
        private final Set<GuardedConnection> mOpen = ConcurrentHashMap.newKeySet();

        private Group(String name, int maximumConnections) {
            mName = name;
            mMaximumConnections = maximumConnections;
        }

        /** Guards a channel whose pipeline is complete. Called on its I/O thread. */
        GuardedConnection install(Channel channel) {
            GuardedConnection connection = new GuardedConnection(this, channel);
            mOpen.add(connection);
            connection.install(channel.pipeline());
            if (mOpen.size() > mMaximumConnections) {
                closeOne(connection);
            }
            return connection;
        }

        /**
         * Closes a connection without a head, or else the one that is idle for longest. It no
         * longer counts from now on: its end is only reported after all pending connections are
         * accepted, and until then each of them would choose the same one.
         */
        private void closeOne(GuardedConnection newest) {
            Optional<GuardedConnection> idlest =
                    mOpen.stream()
                            .filter(connection -> connection != newest && !connection.busy())
                            .min(
                                    Comparator.comparing(GuardedConnection::hadRequest)
                                            .thenComparing(GuardedConnection::lastNanos));
            GuardedConnection victim = idlest.orElse(newest);
            mOpen.remove(victim);
            victim.closeIfNotBusy(LimitCause.DESCRIPTORS);
        }

        /** Counts a connection again that was to be closed, as a request has come meanwhile. */
        void keep(GuardedConnection connection) {
            mOpen.add(connection);
        }

        /**
         * Notes a change of the memory for heads of a connection. While all of them together are
         * too large, the connection with the largest closes of those whose request is incomplete,
         * so that ordinary ones can be completed.
         */
        void changeHeadBytes(long moreBytes) {
            long sum = mHeadBytes.addAndGet(moreBytes);
            if (moreBytes > 0 && sum > mMaximumHeadBytes) {
                mGroups.stream()
                        .flatMap(group -> group.mOpen.stream())
                        .filter(GuardedConnection::incomplete)
                        .max(Comparator.comparingLong(GuardedConnection::headBytes))
                        .ifPresent(GuardedConnection::closeIncomplete);
            }
        }

        ConnectionLimits limits() {
            return mLimits;
        }

        /** Returns the time after which a response is given up of which nothing is read. */
        long unreadMillis() {
            return mBudget.full()
                    ? Math.min(SHORT_UNREAD_MILLIS, mLimits.unreadMillis())
                    : mLimits.unreadMillis();
        }

        ConnectionBudget budget() {
            return mBudget;
        }

        long nowNanos() {
            return mClocks.nowNanos();
        }

        void closed(GuardedConnection connection) {
            mOpen.remove(connection);
        }

        void count(Channel channel, LimitCause cause, long bytes) {
            mCounters.count(mName, channel, cause, bytes, mClocks.nowNanos());
        }
    }
}
