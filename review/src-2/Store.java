import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store, as PROTOCOL.md describes it: rows with the empty part, transactions under
 * conditions, reads and the feed of changes. It keeps its whole history.
 */
final class Store {
    private record Row(String table, String key, String value, long version) {
    }

    private final Map<String, TreeMap<String, Row>> tables = new TreeMap<>();
    /** All changes in order; a removed row has no value. */
    private final List<Row> changes = new ArrayList<>();
    private final long startedAt = System.nanoTime();
    private long version = 1;
    final Http.Server server;
    /** Whether calls get no response, as in an outage of the store. */
    volatile boolean isSilent;
    /** When the feed of the engines' table last answered a call that had waited for less than 0.2 s. */
    volatile long shortFeedAt = -1;

    Store(String host) throws IOException {
        server = new Http.Server(host, 0, this::handle);
    }

    /** Writes a row on behalf of the operator or an engine. */
    synchronized void put(String table, String key, Object value) {
        version++;
        String encoded = Base64.getEncoder().encodeToString(Json.write(value).getBytes(StandardCharsets.UTF_8));
        write(new Row(table, key, encoded, version));
        notifyAll();
    }

    synchronized void remove(String table, String key) {
        version++;
        write(new Row(table, key, null, version));
        notifyAll();
    }

    /** The value of a row, or null. */
    synchronized String get(String table, String key) {
        Row row = rows(table).get(key);
        return row == null ? null : new String(Base64.getDecoder().decode(row.value), StandardCharsets.UTF_8);
    }

    synchronized List<String> keys(String table) {
        return new ArrayList<>(rows(table).keySet());
    }

    private void write(Row row) {
        if (row.value == null) rows(row.table).remove(row.key);
        else rows(row.table).put(row.key, row);
        changes.add(row);
    }

    private TreeMap<String, Row> rows(String table) {
        return tables.computeIfAbsent(table, t -> new TreeMap<>());
    }

    private boolean handle(Http.Message request, Socket socket) throws Exception {
        Thread.sleep(4);
        if (isSilent) return swallow();
        byte[] answer = switch (request.method() + " " + request.path()) {
            case "GET /rows-get" -> read(request);
            case "GET /rows-feed" -> feed(request);
            case "POST /rows-tx" -> transact(request);
            default -> Http.answer(404, new byte[0]);
        };
        // A call that was waiting when the outage began gets no response either.
        if (isSilent) return swallow();
        socket.getOutputStream().write(answer);
        return true;
    }

    /** A connection on which a response is lost delivers nothing further. */
    private boolean swallow() throws InterruptedException {
        Thread.sleep(Long.MAX_VALUE);
        return false;
    }

    private byte[] json(int status, Map<String, Object> body) {
        body.put("ver", version);
        body.put("now_ms", (System.nanoTime() - startedAt) / 1_000_000);
        return Http.answer(status, Json.write(body).getBytes(StandardCharsets.UTF_8), "Content-Type", "application/json");
    }

    private Map<String, Object> message(Row row) {
        Map<String, Object> message = Json.map("table", row.table, "part", "", "key", row.key, "ver", row.version);
        if (row.value == null) message.put("removed", true);
        else message.put("value", row.value);
        return message;
    }

    private synchronized byte[] read(Http.Message request) {
        String from = request.parameter("from");
        List<Object> rows = new ArrayList<>();
        for (Row row : rows(request.parameter("table")).values()) {
            if (from == null || row.key.compareTo(from) >= 0) rows.add(message(row));
        }
        return json(200, Json.map("rows", rows, "truncated", false));
    }

    private synchronized byte[] feed(Http.Message request) throws InterruptedException {
        String table = request.parameter("table");
        long calledAt = Site.now();
        long since = Long.parseLong(request.parameter("since_rev"));
        long end = System.nanoTime() + Long.parseLong(request.parameter("wait_ms")) * 1_000_000;
        while (true) {
            TreeMap<String, Row> latest = new TreeMap<>();
            for (Row row : changes) {
                if (row.table.equals(table) && row.version > since) latest.put(row.key, row);
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!latest.isEmpty() || left <= 0) {
                if (table.equals("servers") && Site.now() - calledAt < 200) shortFeedAt = Site.now();
                List<Object> rows = new ArrayList<>();
                latest.values().stream().sorted((a, b) -> Long.compare(a.version, b.version))
                    .forEach(row -> rows.add(message(row)));
                return json(200, Json.map("rows", rows));
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized byte[] transact(Http.Message request) {
        Map<String, Object> body = Json.object(request.text());
        List<Map<String, Object>> expected = (List<Map<String, Object>>) body.getOrDefault("expect", List.of());
        List<Map<String, Object>> writes = (List<Map<String, Object>>) body.getOrDefault("writes", List.of());
        List<Map<String, Object>> deletes = (List<Map<String, Object>>) body.getOrDefault("delete", List.of());
        for (List<Map<String, Object>> entries : List.of(writes, deletes)) {
            for (Map<String, Object> entry : entries) {
                if (List.of("op", "servers").contains(entry.get("table"))) return json(403, Json.map());
            }
        }
        List<Object> present = new ArrayList<>();
        boolean fits = true;
        for (Map<String, Object> entry : expected) {
            Row row = rows((String) entry.get("table")).get((String) entry.get("key"));
            if (row != null) present.add(message(row));
            if ((row == null ? 0 : row.version) != (Long) entry.get("ver")) fits = false;
        }
        if (!fits) return json(412, Json.map("rows", present));
        version++;
        for (Map<String, Object> entry : writes) {
            write(new Row((String) entry.get("table"), (String) entry.get("key"), (String) entry.get("value"), version));
        }
        for (Map<String, Object> entry : deletes) {
            write(new Row((String) entry.get("table"), (String) entry.get("key"), null, version));
        }
        notifyAll();
        return json(200, Json.map());
    }
}
