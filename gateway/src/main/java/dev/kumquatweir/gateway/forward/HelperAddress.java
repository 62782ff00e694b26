package dev.kumquatweir.gateway.forward;

/**
 * Address of an engine that takes part in the prefill of a prompt.
 *
 * @param address as {@code ip:port}
 * @param reservationName name of its memory reservation for the prompt, empty if it has none
 */
public record HelperAddress(String address, String reservationName) {}
