package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.policy.placement.PlacementHelper;
import io.servicetalk.concurrent.api.Single;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * KV cache memory reserved on helper engines for one prompt. Reservations are leases, renewed while
 * the request runs, so that the engines free the memory soon after a crash of this instance.
 * Confined to the I/O thread.
 */
final class ReservedMemory {
    private static final EventLog LOG = EventLog.of(ReservedMemory.class);

    /** Bounds how long memory stays reserved after a crash of this instance. */
    private static final long LEASE_MILLIS = 3_500;

    private static final long RENEW_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long CALL_TIMEOUT_MILLIS = 800;

    private final ReservationPort mPort;
    private final String mName;
    private final List<PlacementHelper> mReservingHelpers;
    private long mRenewedNanos;
    private boolean mReleased;

    /**
     * @param port sends the calls to the engines
     * @param name prefix of the reservation names, unique to the send
     * @param helpers engines of the request; only those with reserved tokens get a reservation
     */
    ReservedMemory(ReservationPort port, String name, List<PlacementHelper> helpers) {
        mPort = port;
        mName = name;
        mReservingHelpers = helpers.stream().filter(helper -> helper.reservedTokens() > 0).toList();
    }

    /** Returns whether any helper needs a reservation. */
    boolean isNeeded() {
        return !mReservingHelpers.isEmpty();
    }

    /** Returns the addresses of engines, with the names of their reservations. */
    List<HelperAddress> addresses(List<PlacementHelper> helpers) {
        return helpers.stream()
                .map(helper -> new HelperAddress(helper.address(), reservationName(helper)))
                .toList();
    }

    /** Returns the name of an engine's reservation, empty if it needs none. */
    private String reservationName(PlacementHelper helper) {
        int position = mReservingHelpers.indexOf(helper);
        return position < 0 ? "" : mName + "-" + position;
    }

    /**
     * Reserves memory on all engines.
     *
     * @param onResult called once with whether all of them have reserved it
     */
    void reserve(long nowNanos, Consumer<Boolean> onResult) {
        mRenewedNanos = nowNanos;
        List<Single<Boolean>> reservations = new ArrayList<>();
        mReservingHelpers.forEach(helper -> reservations.add(reserveOn(helper)));
        Single.collectUnordered(reservations)
                .subscribe(
                        granted ->
                                onResult.accept(granted.stream().allMatch(Boolean::booleanValue)),
                        exception -> {
                            LOG.warn("reservation_failed", "name", mName, "problem", exception);
                            onResult.accept(false);
                        });
    }

    /** Renews the reservations if the renewal interval has passed. */
    void tick(long nowNanos) {
        if (mReleased || !isNeeded() || nowNanos - mRenewedNanos < RENEW_NANOS) {
            return;
        }
        mRenewedNanos = nowNanos;
        mReservingHelpers.forEach(
                helper -> reserveOn(helper).subscribe(granted -> {}, exception -> {}));
    }

    /** Releases the reservations; has an effect once. */
    void release() {
        if (mReleased) {
            return;
        }
        mReleased = true;
        mReservingHelpers.forEach(
                helper ->
                        mPort.release(helper.address(), reservationName(helper))
                                .timeout(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                                .subscribe(
                                        confirmed -> {},
                                        exception ->
                                                LOG.warn(
                                                        "release_unconfirmed",
                                                        "name",
                                                        reservationName(helper),
                                                        "upstream",
                                                        helper.upstream(),
                                                        "problem",
                                                        exception)));
    }

    private Single<Boolean> reserveOn(PlacementHelper helper) {
        return mPort.reserve(
                        helper.address(),
                        reservationName(helper),
                        helper.reservedTokens(),
                        LEASE_MILLIS)
                .timeout(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .onErrorReturn(
                        exception -> {
                            LOG.warn(
                                    "reservation_unconfirmed",
                                    "name",
                                    reservationName(helper),
                                    "upstream",
                                    helper.upstream(),
                                    "problem",
                                    exception);
                            return false;
                        });
    }
}
