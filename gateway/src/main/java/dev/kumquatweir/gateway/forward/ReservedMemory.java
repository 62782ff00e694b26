package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.policy.placement.PlacementHelper;
import io.servicetalk.concurrent.api.Single;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Memory that engines hold for one prompt. Renewed while the request runs, so that the engines free
 * it by themselves soon after this instance has died. Used on the I/O thread.
 */
final class ReservedMemory {
    private static final EventLog LOG = EventLog.of(ReservedMemory.class);

    /** Short, since it bounds how long memory stays held after a crash of this instance. */
    private static final long HOLD_MILLIS = 3_500;

    private static final long RENEW_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long ORDER_LIMIT_MILLIS = 800;

    private final ReservationPort mPort;
    private final String mName;
    private final List<PlacementHelper> mHolders;
    private long mRenewedNanos;
    private boolean mReleased;

    /**
     * @param name prefix of the reservations' names, not used for another request
     * @param helpers engines of the request; those that only read get no order
     */
    ReservedMemory(ReservationPort port, String name, List<PlacementHelper> helpers) {
        mPort = port;
        mName = name;
        mHolders = helpers.stream().filter(helper -> helper.reservedTokens() > 0).toList();
    }

    /** Returns whether there is anything to hold. */
    boolean needed() {
        return !mHolders.isEmpty();
    }

    /** Returns the name of an engine's reservation, empty if it only reads. */
    String nameFor(PlacementHelper helper) {
        int place = mHolders.indexOf(helper);
        return place < 0 ? "" : mName + "-" + place;
    }

    /** Reserves on all engines; tells whether all of them hold the memory. */
    void reserve(long nowNanos, Consumer<Boolean> result) {
        mRenewedNanos = nowNanos;
        List<Single<Boolean>> orders = new ArrayList<>();
        mHolders.forEach(holder -> orders.add(order(holder)));
        Single.collectUnordered(orders)
                .subscribe(
                        held -> result.accept(held.stream().allMatch(Boolean::booleanValue)),
                        problem -> {
                            LOG.warn("reservation_failed", "name", mName, "problem", problem);
                            result.accept(false);
                        });
    }

    /** Renews the reservations when it is time. */
    void tick(long nowNanos) {
        if (mReleased || !needed() || nowNanos - mRenewedNanos < RENEW_NANOS) {
            return;
        }
        mRenewedNanos = nowNanos;
        mHolders.forEach(holder -> order(holder).subscribe(held -> {}, problem -> {}));
    }

    /** Ends the reservations. */
    void release() {
        if (mReleased) {
            return;
        }
        mReleased = true;
        mHolders.forEach(
                holder ->
                        mPort.release(holder.address(), nameFor(holder))
                                .timeout(ORDER_LIMIT_MILLIS, TimeUnit.MILLISECONDS)
                                .subscribe(
                                        done -> {},
                                        problem ->
                                                LOG.warn(
                                                        "release_unconfirmed",
                                                        "name",
                                                        nameFor(holder),
                                                        "upstream",
                                                        holder.upstream(),
                                                        "problem",
                                                        problem)));
    }

    private Single<Boolean> order(PlacementHelper holder) {
        return mPort.reserve(
                        holder.address(), nameFor(holder), holder.reservedTokens(), HOLD_MILLIS)
                .timeout(ORDER_LIMIT_MILLIS, TimeUnit.MILLISECONDS)
                .onErrorReturn(
                        problem -> {
                            LOG.warn(
                                    "reservation_unconfirmed",
                                    "name",
                                    nameFor(holder),
                                    "upstream",
                                    holder.upstream(),
                                    "problem",
                                    problem);
                            return false;
                        });
    }
}
