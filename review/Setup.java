package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Configurations like those of a small deployment. */
final class Setup {
    static final String HOST = "app.example";
    static final int MAX_BODY_BYTES = 4_194_304;

    private Setup() {}

    static Map<String, Object> route(
            String name, String prefix, String type, int timeoutMillis, String service, int maxAttempts) {
        return Json.map(
                "name", name, "host", HOST, "prefix", prefix, "routeType", type, "timeoutMs", timeoutMillis,
                "targetLatencyMs", 193, "priority", 2, "service", service, "maxAttempts", maxAttempts,
                "sticky", false, "resumable", false);
    }

    static Map<String, Object> plainService(String name, int maxConnections) {
        return Json.map(
                "name", name, "healthPath", "/healthz", "maxConnections", maxConnections,
                "protocol", "h1", "tls", false);
    }

    /** A service with model runners as on the sheet of qfs-turnline; models have 65,500 MB. */
    static Map<String, Object> engineService(String name, List<String> models, int adapters) {
        List<Object> list = new ArrayList<>();
        for (String model : models) {
            list.add(
                    Json.map(
                            "name", model, "weightsMb", 65_500, "loadS", 6.0, "adapters", adapters,
                            "adapterMb", 40, "warmS", 0.38, "diskS", 0.76));
        }
        Map<String, Object> service = plainService(name, 230);
        service.put(
                "engine",
                Json.map(
                        "slots", 32, "kvCapacityTokens", 116_993, "kvTokenBytes", 327_680, "linkMbps", 1_100_000,
                        "moves", true, "backups", true, "stride", 6, "maxCount", 12, "hostMb", 130_000,
                        "diskMb", 1_300_000, "pinMs", 4_000, "holdMs", 2_000, "handle_s", 5.0,
                        "models", list, "weightsMb", 200_000, "adapterSlots", 8, "loadsPerS", 6.8));
        return service;
    }

    static String configuration(int version, List<Map<String, Object>> routes, List<Map<String, Object>> services) {
        return Json.write(
                Json.map(
                        "version", version, "routes", routes, "services", services,
                        "limits",
                        Json.map(
                                "maxHeaderBytes", 16_384, "maxBodyBytes", MAX_BODY_BYTES,
                                "headerTimeoutMs", 3_000, "idleTimeoutMs", 15_000)));
    }
}
