package dev.kumquatweir.gateway.forward;

import io.servicetalk.concurrent.api.Single;

/** Orders engines to set memory aside for prompts that no single engine holds. */
public interface ReservationPort {
    /**
     * Reserves memory, or renews a reservation.
     *
     * @param address the engine, as {@code ip:port}
     * @param name name of the reservation
     * @param tokens tokens to hold
     * @param leaseMillis the engine frees it by itself after this time
     * @return whether the memory is held
     */
    Single<Boolean> reserve(String address, String name, long tokens, long leaseMillis);

    /** Ends a reservation; returns whether the engine confirmed it. */
    Single<Boolean> release(String address, String name);
}
