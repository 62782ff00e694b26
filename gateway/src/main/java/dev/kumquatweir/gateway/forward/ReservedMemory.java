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
    private static final long LEASE_MILLIS = 3_500;

    private static final long RENEW_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long CALL_TIMEOUT_MILLIS = 800;

    private final ReservationPort mPort;
    private final String mName;
    private final List<PlacementHelper> mReservingHelpers;
    private long mRenewedNanos;
    private boolean mReleased;

    /**
     * @param name prefix of the reservations' names, not used for another request
     * @param helpers engines of the request; those that only read get no order
     */
    ReservedMemory(ReservationPort port, String name, List<PlacementHelper> helpers) {
        mPort = port;
        mName = name;
        mReservingHelpers = helpers.stream().filter(helper -> helper.reservedTokens() > 0).toList();
    }

    /** Returns whether there is anything to hold. */
    boolean isNeeded() {
        return !mReservingHelpers.isEmpty();
    }

    /** Returns the name of an engine's reservation, empty if it only reads. */
    String reservationName(PlacementHelper helper) {
        int position = mReservingHelpers.indexOf(helper);
        return position < 0 ? "" : mName + "-" + position;
    }

    /** Reserves on all engines; tells whether all of them hold the memory. */
    void reserve(long nowNanos, Consumer<Boolean> onResult) {
        mRenewedNanos = nowNanos;
        List<Single<Boolean>> reservations = new ArrayList<>();
        mReservingHelpers.forEach(holder -> reservations.add(reserveOn(holder)));
        Single.collectUnordered(reservations)
                .subscribe(
                        held -> onResult.accept(held.stream().allMatch(Boolean::booleanValue)),
                        problem -> {
                            LOG.warn("reservation_failed", "name", mName, "problem", problem);
                            onResult.accept(false);
                        });
    }

    /** Renews the reservations when it is time. */
    void tick(long nowNanos) {
        if (mReleased || !isNeeded() || nowNanos - mRenewedNanos < RENEW_NANOS) {
            return;
        }
        mRenewedNanos = nowNanos;
        mReservingHelpers.forEach(holder -> reserveOn(holder).subscribe(held -> {}, problem -> {}));
    }

    /** Ends the reservations. */
    void release() {
        if (mReleased) {
            return;
        }
        mReleased = true;
        mReservingHelpers.forEach(
                holder ->
                        mPort.release(holder.address(), reservationName(holder))
                                .timeout(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                                .subscribe(
                                        done -> {},
                                        problem ->
                                                LOG.warn(
                                                        "release_unconfirmed",
                                                        "name",
                                                        reservationName(holder),
                                                        "upstream",
                                                        holder.upstream(),
                                                        "problem",
                                                        problem)));
    }

    private Single<Boolean> reserveOn(PlacementHelper helper) {
        return mPort.reserve(
                        helper.address(),
                        reservationName(helper),
                        helper.reservedTokens(),
                        LEASE_MILLIS)
                .timeout(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .onErrorReturn(
                        problem -> {
                            LOG.warn(
                                    "reservation_unconfirmed",
                                    "name",
                                    reservationName(helper),
                                    "upstream",
                                    helper.upstream(),
                                    "problem",
                                    problem);
                            return false;
                        });
    }
}
