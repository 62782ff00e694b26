package dev.kumquatweir.transport;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;

/** Receives the requests and one-way frames of one type. */
@FunctionalInterface
public interface PeerHandler {
    /**
     * Takes one frame. Called on the {@code peer-io} thread, in the order of arrival from each
     * peer: it must not block, and hands longer work to another duty. An exception is logged and
     * refuses the request.
     *
     * @param peer authenticated sender
     * @param payload content of the frame
     * @param responder takes the answer to a request; ignores answers to a one-way frame
     */
    void handle(InstanceId peer, Bytes payload, Responder responder);
}
