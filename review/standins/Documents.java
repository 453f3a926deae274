import java.util.List;

/** Configurations of the operator. */
final class Documents {
    private Documents() {}

    static String configuration(int version, List<String> routes, List<String> services) {
        return configuration(version, routes, services, 4_194_304);
    }

    static String configuration(int version, List<String> routes, List<String> services, int bodyBytes) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
            + String.join(",", services) + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
            + bodyBytes + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }

    /** A route of a plain service; [kind] is idempotent or non_idempotent. */
    static String plainRoute(String name, String kind, String service, int attempts, int timeoutMs) {
        return route(name, kind, service, attempts, timeoutMs, 200, 1)
            + "\"sticky\":false,\"resumable\":false}";
    }

    static String streamRoute(String name, String service, int attempts, int timeoutMs, int targetMs, int priority,
        boolean resumable) {
        return route(name, "streaming", service, attempts, timeoutMs, targetMs, priority)
            + "\"sticky\":true,\"resumable\":" + resumable + ",\"gap_aim_ms\":200}";
    }

    private static String route(String name, String kind, String service, int attempts, int timeoutMs, int targetMs,
        int priority) {
        return "{\"name\":\"" + name + "\",\"host\":\"desk.example\",\"prefix\":\"/" + name + "/\",\"kind\":\"" + kind
            + "\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":" + targetMs + ",\"priority\":" + priority
            + ",\"service\":\"" + service + "\",\"max_attempts\":" + attempts + ",";
    }

    static String plainService(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}";
    }

    /** A service of model runners with the figures of the sheet of `cuadros-bog`. */
    static String modelService(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_conns\":370,\"protocol\":\"h1\",\"tls\":false,"
            + "\"engine\":{\"slots\":64,\"kv_capacity_tokens\":577238,\"kv_token_bytes\":327680,\"link_mbps\":3100000.0,"
            + "\"moves\":true,\"backups\":true,\"stride\":12,\"most\":12,\"kv_retention_s\":5.0,\"role_switch_s\":3.0,"
            + "\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"models\":[{\"name\":\"m\"}]}}";
    }
}
