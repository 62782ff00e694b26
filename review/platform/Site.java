package review;

import java.util.Map;

/** The configuration of the small deployment that the scripts use: one plain service. */
final class Site {
    static final String SERVICE = "bookings";
    static final String HOLD = "/hold/";
    static final String READ = "/read/";
    static final int TIMEOUT_MILLIS = 1_000;
    private static final String HOST = "bookings.example";
    private static final String KEY = "n2ctnfzs989anu6wsjnb";

    private Site() {}

    /** Returns a configuration with a route that runs once and one that may be repeated. */
    static String configuration(long version) {
        return """
                {"version":%d,"route_table":[%s,%s],
                "services":[{"name":"%s","health_check_path":"/healthz","max_connections":110,
                "protocol":"h1","tls_enabled":false,"cold_start_s":0.0,"cold_per_s":0.0}],
                "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
                "header_timeout_ms":3000,"idle_timeout_ms":15000},
                "tenants":[{"name":"hule930","api_keys":["%s"],"priority":1}]}"""
                .formatted(
                        version,
                        route("r-hold", HOLD, "non_idempotent", 1),
                        route("r-read", READ, "idempotent", 2),
                        SERVICE,
                        KEY);
    }

    private static String route(String name, String prefix, String kind, int attempts) {
        return """
                {"name":"%s","hostname":"%s","path_prefix":"%s","route_kind":"%s",
                "timeout_ms":%d,"target_latency_ms":150,"priority":2,
                "traffic_split":[{"service":"%s","weight":100}],"max_attempts":%d,
                "public":false,"session_affinity":true,"stream_resumption":true,
                "target_gap_ms":200}"""
                .formatted(name, HOST, prefix, kind, TIMEOUT_MILLIS, SERVICE, attempts);
    }

    /** Returns the headers of a client's request. */
    static Map<String, String> headers(String attemptId) {
        return Map.of(
                "Host",
                HOST,
                "X-Attempt-Id",
                attemptId,
                "X-Deadline-Remaining",
                Integer.toString(TIMEOUT_MILLIS),
                "X-Key",
                KEY);
    }
}
