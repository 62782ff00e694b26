package dev.kumquatweir.core.configuration;

import dev.kumquatweir.core.identity.ProfileName;
import dev.kumquatweir.core.identity.ServiceName;
import java.util.List;

/**
 * A service that callers can use, and which of its calls may be repeated. Immutable.
 *
 * @param name name of the service
 * @param kind engines or plain upstreams
 * @param profile profile of calls that name none
 * @param repeatableRoutes calls that may be repeated besides GET, HEAD and OPTIONS
 */
public record ServiceRoute(
        ServiceName name,
        UpstreamKind kind,
        ProfileName profile,
        List<RepeatableRoute> repeatableRoutes) {

    /** Copies the list, so that the record is immutable. */
    public ServiceRoute {
        repeatableRoutes = List.copyOf(repeatableRoutes);
    }

    /**
     * Returns whether a call may be executed more than once. A call that is not declared repeatable
     * is treated as an action, because a duplicated side effect can't be undone.
     *
     * @param method HTTP method in upper case
     * @param path path below the service, with a leading slash
     */
    public boolean repeatable(String method, String path) {
        return switch (method) {
            case "GET", "HEAD", "OPTIONS" -> true;
            default -> repeatableRoutes.stream().anyMatch(route -> route.matches(method, path));
        };
    }
}
