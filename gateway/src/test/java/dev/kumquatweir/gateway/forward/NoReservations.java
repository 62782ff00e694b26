package dev.kumquatweir.gateway.forward;

import io.servicetalk.concurrent.api.Single;

/** Engines without memory to reserve. */
final class NoReservations implements ReservationPort {
    @Override
    public Single<Boolean> reserve(String address, String name, long tokens, long leaseMillis) {
        return Single.succeeded(false);
    }

    @Override
    public Single<Boolean> release(String address, String name) {
        return Single.succeeded(false);
    }
}
