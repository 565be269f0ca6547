import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store: the calls /rows-get, /rows-feed and /rows-tx.
 *
 * A feed holds the changes of rows in their order; one that waits returns with the first change.
 */
final class Store implements Closeable {
    private static final class Row {
        final String value;
        final long version;

        Row(String value, long version) {
            this.value = value;
            this.version = version;
        }
    }

    private static final class Change {
        final String table;
        final String key;
        final String value;
        final long version;

        Change(String table, String key, String value, long version) {
            this.table = table;
            this.key = key;
            this.value = value;
            this.version = version;
        }
    }

    private final Map<String, TreeMap<String, Row>> tables = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final long startedAt = System.nanoTime();
    private final Record record;
    private long version = 0;
    final Http.Server server;

    Store(String host, Record record) throws IOException {
        this.record = record;
        server = new Http.Server(host, 0, this::handle);
    }

    String address() {
        return server.address();
    }

    /** Writes a row, or removes it if [value] is null; returns the version. */
    synchronized long put(String table, String key, String value) {
        version++;
        TreeMap<String, Row> rows = tables.computeIfAbsent(table, name -> new TreeMap<>());
        if (value == null) rows.remove(key);
        else rows.put(key, new Row(value, version));
        history.add(new Change(table, key, value, version));
        notifyAll();
        return version;
    }

    synchronized String get(String table, String key) {
        Row row = tables.getOrDefault(table, new TreeMap<>()).get(key);
        return row == null ? null : row.value;
    }

    private boolean handle(Http.Message request, Socket socket, OutputStream out) throws Exception {
        Thread.sleep(4);
        switch (request.path()) {
            case "/rows-get": Http.json(out, "200 OK", read(request)); break;
            case "/rows-feed": Http.json(out, "200 OK", feed(request)); break;
            case "/rows-tx": transact(request, out); break;
            default: Http.json(out, "404 Not Found", "{}");
        }
        return true;
    }

    private synchronized String read(Http.Message request) {
        String table = request.query("table");
        String from = request.query("from") == null ? "" : request.query("from");
        List<String> rows = new ArrayList<>();
        tables.getOrDefault(table, new TreeMap<>()).tailMap(from)
            .forEach((key, row) -> rows.add(row(table, key, row.value, row.version)));
        return page(rows);
    }

    private synchronized String feed(Http.Message request) throws InterruptedException {
        String table = request.query("table");
        long since = Long.parseLong(request.query("since_rev"));
        long end = System.nanoTime() + Long.parseLong(request.query("wait_ms")) * 1_000_000;
        while (true) {
            List<String> rows = new ArrayList<>();
            for (Change change : history) {
                if (change.version > since && change.table.equals(table)) {
                    rows.add(row(table, change.key, change.value, change.version));
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!rows.isEmpty() || left <= 0) return page(rows);
            wait(left);
        }
    }

    private String page(List<String> rows) {
        long now = (System.nanoTime() - startedAt) / 1_000_000;
        return "{\"rows\":[" + String.join(",", rows) + "],\"truncated\":false,\"ver\":" + version +
            ",\"now_ms\":" + now + "}";
    }

    private static String row(String table, String key, String value, long version) {
        String start = "{\"table\":" + Json.quote(table) + ",\"part\":\"\",\"key\":" + Json.quote(key) + ",\"ver\":" + version;
        if (value == null) return start + ",\"removed\":true}";
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        return start + ",\"value\":\"" + encoded + "\"}";
    }

    @SuppressWarnings("unchecked")
    private void transact(Http.Message request, OutputStream out) throws IOException {
        Map<String, Object> body = Json.object(request.text());
        boolean applied;
        synchronized (this) {
            applied = true;
            for (Object entry : (List<Object>) body.getOrDefault("expect", List.of())) {
                Map<String, Object> row = (Map<String, Object>) entry;
                Row present = tables.getOrDefault((String) row.get("table"), new TreeMap<>()).get((String) row.get("key"));
                if ((present == null ? 0 : present.version) != (Long) row.get("ver")) applied = false;
            }
            if (applied) {
                for (Object entry : (List<Object>) body.getOrDefault("writes", List.of())) {
                    Map<String, Object> row = (Map<String, Object>) entry;
                    String value = new String(Base64.getDecoder().decode((String) row.get("value")), StandardCharsets.UTF_8);
                    put((String) row.get("table"), (String) row.get("key"), value);
                    record.write("store: " + row.get("table") + "/" + row.get("key") + " = " + value);
                }
                for (Object entry : (List<Object>) body.getOrDefault("delete", List.of())) {
                    Map<String, Object> row = (Map<String, Object>) entry;
                    put((String) row.get("table"), (String) row.get("key"), null);
                    record.write("store: " + row.get("table") + "/" + row.get("key") + " removed");
                }
            }
        }
        if (applied) Http.json(out, "200 OK", "{\"ver\":" + version + ",\"now_ms\":0}");
        else Http.json(out, "412 Precondition Failed", "{\"rows\":[]}");
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
