package dev.kumquatweir.gateway.forward;

import io.servicetalk.concurrent.api.Single;

/** Reserves KV cache memory on engines for prompts that do not fit on a single engine. */
public interface ReservationPort {
    /**
     * Creates a reservation or renews an existing one.
     *
     * @param address the engine, as {@code ip:port}
     * @param name name of the reservation
     * @param tokens number of tokens to reserve memory for
     * @param leaseMillis time after which the engine frees the memory unless it is renewed
     * @return whether the engine has reserved the memory
     */
    Single<Boolean> reserve(String address, String name, long tokens, long leaseMillis);

    /** Releases a reservation; returns whether the engine confirmed it. */
    Single<Boolean> release(String address, String name);
}
