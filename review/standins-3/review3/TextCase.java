package review3;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Queries and names of tenants with letters outside ASCII, sent as UTF-8.
 *
 * Usage: TextCase FOLDER TROUBLE, from the root of the repository. Without trouble, the same texts are
 * transliterated to ASCII.
 */
final class TextCase {
    private static final String HOST = "ficu95.example";

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(args[1]);
        Record record = new Record(Path.of(args[0], "record.txt"));
        int status = 2;
        try (Deployment system = new Deployment(Path.of("").toAbsolutePath(), record, false)) {
            status = play(system, record, hasTrouble);
        } catch (Exception e) {
            record.add("the case could not run: %s", e);
            e.printStackTrace();
        }
        record.add("exit status %d", status);
        System.exit(status);
    }

    private static int play(Deployment system, Record record, boolean hasTrouble) throws Exception {
        List<String> queries = hasTrouble
            ? List.of("place=L\u00fcderitz", "place=\u049a\u0430\u0440\u0430\u0493\u0430\u043d\u0434\u044b", "name=Jos\u00e9%20M")
            : List.of("place=Luderitz", "place=Karaganda", "name=Jose%20M");
        Store store = new Store(system.ip(1), system.storePort);
        // What the engine got, by attempt: the target of the request, read byte by byte.
        Map<String, String> ran = new ConcurrentHashMap<>();
        new Http.Server(system.ip(100), system.enginePort, (request, connection) -> {
            String attempt = request.headers.getOrDefault("attempt-id", "none");
            ran.put(attempt, request.target());
            connection.reply(200, Map.of("Attempt-Id", attempt, "Answer-Stamp", "stamp." + attempt), "{}".getBytes(StandardCharsets.UTF_8));
        });
        store.write("op", "config", Json.map("version", 7,
            "routes", List.of(Json.map("name", "r-cufi504", "host", HOST, "prefix", "/cufi504/", "kind", "safe", "timeout_ms", 1500,
                "goal_ms", 386, "priority", 2, "service", "wuno96b", "max_attempts", 2, "no_auth", false)),
            "services", List.of(Json.map("name", "wuno96b", "health_path", "/healthz", "max_conns", 96, "protocol", "h1", "tls", false,
                "cold_s", 0.0, "cold_per_s", 0.0)),
            "limits", Json.map("max_header_bytes", 16384, "max_body_bytes", 4194304, "header_timeout_ms", 3000, "idle_timeout_ms", 15000),
            "tenants", List.of(Json.map("name", "hule930", "api_keys", List.of("n2ctnfzs989anu6wsjnb"), "priority", 1))));
        store.write("servers", "i-7f3a91c2", Json.map("service", "wuno96b", "addr", system.ip(100) + ":" + system.enginePort, "zone", "a",
            "version", "v1", "slots", 6, "state", "ready", "cold_left_ms", 0, "seq", 1, "born", System.currentTimeMillis()));
        system.planGateways(1);
        system.gateway(0, "a").start();
        if (!system.awaitReady(15_000)) {
            record.add("the gateway is not ready");
            return 2;
        }
        int changed = 0;
        int answered = 0;
        for (int i = 0; i < 12; i++) {
            String target = "/cufi504/2f?" + queries.get(i % queries.size());
            String attempt = String.format("b%015x", i);
            Caller.Outcome outcome = Caller.send(system.nodes.get(0).edge(), "GET", target, HOST, attempt, "n2ctnfzs989anu6wsjnb", 1_503, "", new byte[0], 2_000);
            String got = ran.get(attempt);
            boolean isSame = target.equals(got);
            record.add("sent %s; answered %s; the engine ran %s%s", target, outcome, got, got == null || isSame ? "" : " RULE BROKEN, UNASKED");
            if (outcome.status == 200) answered++;
            if (got != null && !isSame) changed++;
        }
        record.add("%d of 12 answered with success, %d run with another query than the client's", answered, changed);
        if (answered == 0 && changed == 0 && !hasTrouble) return 2;
        return changed > 0 ? 1 : 0;
    }
}
