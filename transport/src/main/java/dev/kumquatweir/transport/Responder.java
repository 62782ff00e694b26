package dev.kumquatweir.transport;

import dev.kumquatweir.core.bytes.Bytes;
import io.vavr.control.Option;

/** Takes the answer to one request. Thread-safe. */
public interface Responder {
    /**
     * Queues the answer. Only the first call has an effect. An answer that can't be queued is
     * dropped, and the requester's time limit ends its request.
     *
     * @return why the answer can't be sent, or nothing if it was queued
     */
    Option<TransportFailure> respond(Bytes payload);
}
