package dev.kumquatweir.gateway.forward;

/**
 * Where an engine that helps with a prompt is reached.
 *
 * @param address as {@code ip:port}
 * @param reservationName name of the memory that it holds for the prompt, empty if it only reads
 */
public record HelperAddress(String address, String reservationName) {}
