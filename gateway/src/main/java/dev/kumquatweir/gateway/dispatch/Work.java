package dev.kumquatweir.gateway.dispatch;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.ModelName;
import java.util.List;

/** What an upstream is asked to do. */
public sealed interface Work {
    /**
     * Generate text.
     *
     * @param model model to run
     * @param prompt the whole prompt
     * @param maximumTokens longest answer in tokens
     * @param parameters sampling parameters, passed on as they came; must not be changed
     */
    record Generation(ModelName model, String prompt, long maximumTokens, ObjectNode parameters)
            implements Work {}

    /**
     * Call a plain service.
     *
     * @param method HTTP method in upper case
     * @param path path and query below the service, with a leading slash
     * @param headers headers to pass on
     * @param body body to pass on
     */
    record ServiceCall(String method, String path, List<Header> headers, Bytes body)
            implements Work {
        /** Copies the list, so that the record is immutable. */
        public ServiceCall {
            headers = List.copyOf(headers);
        }
    }

    /**
     * One header of a call.
     *
     * @param name name in lower case
     * @param value value
     */
    record Header(String name, String value) {}
}
