import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: the store, a configuration, engines and gateways. */
final class Site {
    static final String HOST = "127.0.0.1";
    static final String ROUTE_HOST = "ficu95.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final long STARTED = System.nanoTime();

    final Store store = new Store(HOST);
    final Path folder = Files.createTempDirectory("review-");
    private final PrintWriter record;
    private final List<Consumer<Site>> beats = new ArrayList<>();

    Site(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        note("trouble " + (TROUBLE ? 1 : 0));
    }

    /** Milliseconds since the start of the script. */
    static long now() {
        return (System.nanoTime() - STARTED) / 1_000_000;
    }

    void note(String line) {
        synchronized (record) {
            record.println(String.format("%7d %s", now(), line));
        }
    }

    /** A process ended at its start, such as when another process took one of its ports. */
    static final class StartFailure extends IOException {
        private static final long serialVersionUID = 1;

        StartFailure(String message) {
            super(message);
        }
    }

    /** Runs a case and ends the script: 1 if its rule was broken, 0 if it held, 2 if it could not run. */
    static void run(String recordFile, Case body) {
        int code = 2;
        for (int attempt = 1; code == 2 && attempt <= 3; attempt++) {
            Site site = null;
            boolean isRepeatable = false;
            try {
                site = new Site(recordFile);
                boolean isBroken = body.run(site);
                code = isBroken ? 1 : 0;
                site.note(isBroken ? "result: the rule was broken" : "result: the rule held");
            } catch (Exception | Error e) {
                isRepeatable = e instanceof StartFailure;
                if (site != null) site.note("result: the case could not run: " + e);
                e.printStackTrace();
            }
            Node.killAll();
            if (site != null) site.delete();
            if (!isRepeatable) break;
        }
        System.out.println(code == 1 ? "broken" : code == 0 ? "held" : "not run");
        Runtime.getRuntime().halt(code);
    }

    interface Case {
        /** Returns whether the rule was broken. */
        boolean run(Site site) throws Exception;
    }

    private void delete() {
        if (System.getenv("KEEP") != null) {
            System.out.println(folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // The folder is a temporary one.
        }
    }

    /** A service of the configuration. */
    static Map<String, Object> service(String name, int maxConnections) {
        return Json.map("name", name, "health_path", "/healthz", "max_conns", maxConnections, "protocol", "h1", "tls",
            false, "cold_s", 0.0, "cold_per_s", 0.0);
    }

    /** A route of the configuration, with the figures of the order desk of klipstein-orders. */
    static Map<String, Object> route(String name, String prefix, String kind, String service, int timeout, int attempts) {
        return Json.map("name", name, "host", ROUTE_HOST, "prefix", prefix, "kind", kind, "timeout_ms", timeout,
            "goal_ms", 387, "priority", 1, "service", service, "max_attempts", attempts, "no_auth", false, "sticky",
            false);
    }

    void configure(long version, List<Object> routes, List<Object> services) {
        store.put("op", "config", Json.map("version", version, "routes", routes, "services", services, "limits",
            Json.map("max_header_bytes", 16384, "max_body_bytes", 4194304, "header_timeout_ms", 3000,
                "idle_timeout_ms", 15000),
            "tenants", List.of(Json.map("name", "hule930", "api_keys", List.of(KEY), "priority", 1))));
        note("configuration " + version + " is acknowledged");
    }

    /** A gateway and its addresses. */
    static final class Gateway {
        final Map<String, Integer> ports = new LinkedHashMap<>();
        final String name;
        Node node;

        private Gateway(String name) {
            this.name = name;
        }

        int port() {
            return ports.get("edge");
        }

        String control() {
            return HOST + ":" + ports.get("control");
        }
    }

    Gateway gateway(String name, String zone, List<Gateway> seeds, int relayPort, boolean requireFence)
        throws IOException {
        Gateway gateway = new Gateway(name);
        for (String port : List.of("edge", "readiness", "control", "directory", "metrics")) {
            gateway.ports.put(port, Http.freePort(HOST));
        }
        List<Object> addresses = new ArrayList<>();
        for (Gateway seed : seeds) addresses.add(seed.control());
        if (addresses.isEmpty()) addresses.add(gateway.control());
        Map<String, String> values = new LinkedHashMap<>();
        values.put("node_name", name);
        values.put("zone", zone);
        values.put("listen.edge_addr", HOST + ":" + gateway.ports.get("edge"));
        values.put("listen.readiness", HOST + ":" + gateway.ports.get("readiness"));
        values.put("listen.directory", HOST + ":" + gateway.ports.get("directory"));
        values.put("listen.control", gateway.control());
        values.put("platform.addr", store.server.address());
        values.put("port_range.0", Integer.toString(relayPort));
        values.put("metrics_port", Integer.toString(gateway.ports.get("metrics")));
        values.put("seeds|json", Json.write(addresses));
        values.put("limits.max_fds", "4100");
        values.put("bounds.grace_s", "8");
        values.put("bounds.ttl_max_s", "5");
        values.put("bounds.retry_ratio", "0.2");
        values.put("bounds.retry_window_s", "10");
        values.put("bounds.retry_slack", "88");
        values.put("bounds.require_fence|json", Boolean.toString(requireFence));
        gateway.node = Node.start("gateway", name, folder, values);
        note("gateway " + name + " is started");
        return gateway;
    }

    /** Waits until the gateway answers 200 to GET /ready. */
    void awaitReady(Gateway gateway, long millis) throws Exception {
        long end = now() + millis;
        while (now() < end) {
            if (isReady(gateway)) {
                note("gateway " + gateway.name + " is ready");
                return;
            }
            if (!gateway.node.isAlive()) throw new StartFailure("a gateway has ended: " + gateway.node.log());
            Thread.sleep(50);
        }
        throw new IOException("not ready: " + gateway.node.log());
    }

    boolean isReady(Gateway gateway) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(HOST, gateway.ports.get("readiness")), 500);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(Http.bytes("GET /ready HTTP/1.1\r\nHost: r\r\n\r\n"));
            Http.Message answer = Http.read(socket.getInputStream(), false);
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** A connection of a client to a gateway. */
    static Socket connect(Gateway gateway) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(HOST, gateway.port()), 1_000);
        return socket;
    }

    /** The head of a client's request. */
    static String head(String method, String path, String attempt, int deadline, int length) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + ROUTE_HOST + "\r\nAttempt-Id: " + attempt
            + "\r\nDeadline-Ms: " + deadline + "\r\nCredential: " + KEY + "\r\n"
            + (length >= 0 ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
    }

    static InputStream in(Socket socket) throws IOException {
        return new java.io.BufferedInputStream(socket.getInputStream());
    }

    /** The signature of an engine's answer. */
    static String stamp(String instance, String attempt) {
        return instance.substring(Math.max(0, instance.length() - 4)) + ".07." + attempt + ".0";
    }
}
