package review3;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's store: rows in tables, with the empty part only. */
final class Store {
    private record Row(String table, String key, byte[] value, long ver) {
    }

    private final Map<String, TreeMap<String, Row>> tables = new TreeMap<>();
    private final List<Row> log = new ArrayList<>();
    private long ver = 0;
    private final Http.Server server;

    /** Called with each row that a process of the system writes. */
    interface OnWrite {
        void written(String table, String key, String value);
    }

    volatile OnWrite onWrite = (table, key, value) -> {
    };

    Store(String host, int port) throws IOException {
        server = new Http.Server(host, port, this::handle);
    }

    private void handle(Http.Message request, Http.Connection connection) throws Exception {
        switch (request.path()) {
            case "/rows-tx": {
                Thread.sleep(4);
                transact(Json.object(request.text()), connection);
                break;
            }
            case "/rows-get": {
                connection.json(200, get(request));
                break;
            }
            case "/rows-feed": {
                connection.json(200, feed(request));
                break;
            }
            default: connection.json(404, Json.map("error", "no such call"));
        }
    }

    @SuppressWarnings("unchecked")
    private void transact(Map<String, Object> call, Http.Connection connection) throws IOException {
        List<Map<String, Object>> expect = (List<Map<String, Object>>) call.getOrDefault("expect", List.of());
        List<Map<String, Object>> writes = (List<Map<String, Object>>) call.getOrDefault("writes", List.of());
        List<Map<String, Object>> deletes = (List<Map<String, Object>>) call.getOrDefault("delete", List.of());
        long result;
        synchronized (this) {
            for (Map<String, Object> row : expect) {
                Row known = row((String) row.get("table"), (String) row.get("key"));
                long at = known == null ? 0 : known.ver;
                if (at != (Long) row.get("ver")) {
                    connection.json(412, Json.map("rows", List.of(), "ver", ver, "now_ms", now()));
                    return;
                }
            }
            ver++;
            for (Map<String, Object> row : writes) {
                put((String) row.get("table"), (String) row.get("key"), Base64.getDecoder().decode((String) row.get("value")));
            }
            for (Map<String, Object> row : deletes) put((String) row.get("table"), (String) row.get("key"), null);
            result = ver;
            notifyAll();
        }
        for (Map<String, Object> row : writes) {
            String value = new String(Base64.getDecoder().decode((String) row.get("value")), StandardCharsets.UTF_8);
            onWrite.written((String) row.get("table"), (String) row.get("key"), value);
        }
        connection.json(200, Json.map("ver", result));
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private Row row(String table, String key) {
        return tables.getOrDefault(table, new TreeMap<>()).get(key);
    }

    private void put(String table, String key, byte[] value) {
        Row row = new Row(table, key, value, ver);
        if (value == null) tables.computeIfAbsent(table, t -> new TreeMap<>()).remove(key);
        else tables.computeIfAbsent(table, t -> new TreeMap<>()).put(key, row);
        log.add(row);
    }

    /** Writes a row, as the operator and the engines do; null deletes it. */
    synchronized void write(String table, String key, Object value) {
        ver++;
        put(table, key, value == null ? null : Json.write(value).getBytes(StandardCharsets.UTF_8));
        notifyAll();
    }

    /** The value of a row as text, null if there is none. */
    synchronized String read(String table, String key) {
        Row row = row(table, key);
        return row == null ? null : new String(row.value, StandardCharsets.UTF_8);
    }

    private static Map<String, Object> message(Row row) {
        Map<String, Object> message = Json.map("table", row.table, "part", "", "key", row.key, "ver", row.ver);
        if (row.value == null) message.put("removed", true);
        else message.put("value", Base64.getEncoder().encodeToString(row.value));
        return message;
    }

    private synchronized Object get(Http.Message request) {
        String from = request.query("from");
        int limit = Integer.parseInt(request.query("limit") == null ? "500" : request.query("limit"));
        List<Object> rows = new ArrayList<>();
        boolean isTruncated = false;
        for (Row row : tables.getOrDefault(request.query("table"), new TreeMap<>()).values()) {
            if (from != null && row.key.compareTo(from) < 0) continue;
            if (rows.size() == Math.min(limit, 500)) {
                isTruncated = true;
                break;
            }
            rows.add(message(row));
        }
        return Json.map("rows", rows, "truncated", isTruncated, "ver", ver, "now_ms", now());
    }

    private synchronized Object feed(Http.Message request) throws InterruptedException {
        String table = request.query("table");
        long since = Long.parseLong(request.query("since_rev"));
        long until = now() + Math.min(30_000, Long.parseLong(request.query("wait_ms")));
        while (true) {
            Map<String, Row> newest = new TreeMap<>();
            for (int i = log.size() - 1; i >= 0 && log.get(i).ver > since; i--) {
                Row row = log.get(i);
                if (row.table.equals(table)) newest.putIfAbsent(row.key, row);
            }
            long left = until - now();
            if (!newest.isEmpty() || left <= 0) {
                List<Object> rows = new ArrayList<>();
                newest.values().stream().sorted((a, b) -> Long.compare(a.ver, b.ver)).forEach(row -> rows.add(message(row)));
                return Json.map("rows", rows, "ver", ver, "now_ms", now());
            }
            wait(left);
        }
    }
}
