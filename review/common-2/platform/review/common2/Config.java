package review.common2;

import java.util.ArrayList;
import java.util.List;

/** Configurations of a small deployment: one engine service and one plain service. */
public final class Config {
    /** Host of all routes. */
    public static final String HOST = "ficu95.example";

    /** Name of the service with engines. */
    public static final String ENGINES = "huvo11a";

    /** Name of the plain service. */
    public static final String BOOKINGS = "wuno96b";

    /** Key of the only tenant. */
    public static final String KEY = "n2ctnfzs989anu6wsjnb";

    private Config() {}

    /** Returns a configuration. */
    public static String version(long version) {
        return version(version, 0);
    }

    /** Returns a configuration with further routes, which no request uses. */
    public static String version(long version, int idleRoutes) {
        List<String> all = new ArrayList<>();
        all.add(route("quick", "/quick/", "streaming", 10_000, 300, ENGINES, true));
        all.add(route("action", "/action/", "non_idempotent", 1_000, 200, BOOKINGS, false));
        all.add(route("order", "/order/", "non_idempotent", 5_000, 400, BOOKINGS, false));
        all.add(route("read", "/read/", "idempotent", 1_000, 200, BOOKINGS, false));
        for (int number = 0; number < idleRoutes; number++) {
            String name = "idle" + number;
            all.add(route("r-" + name, "/" + name + "/", "idempotent", 1_000, 200, BOOKINGS, false));
        }
        String routes = String.join(",", all);
        return ("{\"version\":%d,\"route_table\":[%s],\"services\":[%s,%s],"
                        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                        + "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"%s\"],"
                        + "\"priority\":1}]}")
                .formatted(
                        version,
                        routes,
                        "{\"name\":\""
                                + ENGINES
                                + "\",\"health_check_path\":\"/healthz\",\"max_connections\":314,"
                                + "\"protocol\":\"h1\",\"tls_enabled\":false,\"cold_start_s\":3.0,"
                                + "\"cold_per_s\":24.0,\"inference_engine\":{\"capacity_slots\":11,"
                                + "\"kv_cache_tokens\":450000,\"kv_bytes\":327680,"
                                + "\"link_bandwidth_mbps\":400000.0,\"step_size\":46,"
                                + "\"model_list\":[{\"name\":\"m\"}],\"step_ms\":0.925,"
                                + "\"per_seq_ms\":0.007,\"context_per_k\":0.00254,"
                                + "\"read_per_s\":256000.0,\"pairs_per_m\":0.0917,\"chunk\":2048,"
                                + "\"report_lag_ms\":200.0,\"loads_per_s\":0.0,\"loads_at_once\":8,"
                                + "\"delays\":[],\"usual\":{\"prompt\":13239,\"answer\":1540},"
                                + "\"hop_latency_ms\":0.1}}",
                        "{\"name\":\""
                                + BOOKINGS
                                + "\",\"health_check_path\":\"/healthz\",\"max_connections\":110,"
                                + "\"protocol\":\"h1\",\"tls_enabled\":false,\"cold_start_s\":0.0,"
                                + "\"cold_per_s\":0.0}",
                        KEY);
    }

    private static String route(
            String name,
            String prefix,
            String kind,
            int timeoutMillis,
            int targetMillis,
            String service,
            boolean resumable) {
        return ("{\"name\":\"%s\",\"hostname\":\"%s\",\"path_prefix\":\"%s\",\"route_kind\":\"%s\","
                        + "\"timeout_ms\":%d,\"target_latency_ms\":%d,\"priority\":1,"
                        + "\"service\":\"%s\",\"max_attempts\":2,\"public\":false,"
                        + "\"session_affinity\":%b,\"stream_resumption\":%b,\"target_gap_ms\":%d}")
                .formatted(
                        name,
                        HOST,
                        prefix,
                        kind,
                        timeoutMillis,
                        targetMillis,
                        service,
                        resumable,
                        resumable,
                        resumable ? 200 : 0);
    }

    /** Returns the fields that a client sends with each request. */
    public static List<String> fields(String attempt, long remainingMillis) {
        return List.of(
                "X-Attempt-Id: " + attempt,
                "X-Deadline-Remaining: " + remainingMillis,
                "X-Key: " + KEY);
    }

    /** Returns the fields of a request for an engine. */
    public static List<String> engineFields(String attempt, long remainingMillis, String part) {
        return Wire.with(
                fields(attempt, remainingMillis),
                "X-Model-Name: m",
                "X-Token-Counts: 1460,80",
                "X-Prompt-Prefix: 5c1e07a2:800," + part + ":660");
    }
}
