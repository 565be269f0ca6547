package review3;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The project's own processes, each started with its command of the deploy file. */
final class Deployment implements AutoCloseable {
    /** A process of the system on a loopback address of its own. */
    final class Node {
        final String name;
        final String role;
        final String ip;
        final String settings;
        volatile Process process;
        volatile boolean isKept = true;
        int starts;

        Node(String name, String role, String ip, String settings) {
            this.name = name;
            this.role = role;
            this.ip = ip;
            this.settings = settings;
        }

        String edge() {
            return ip + ":" + edgePort;
        }

        synchronized void start() throws IOException {
            Path file = folder.resolve(name + ".toml");
            Files.writeString(file, settings);
            List<String> command = List.of(commandOf(role).split(" "));
            ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
            builder.environment().put("SHALLOTPLANK_CONFIG", file.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".out").toFile()));
            process = builder.start();
            starts++;
            record.add("%s started, process %d", name, process.pid());
        }

        /** Sends a signal, such as KILL, STOP or CONT, to the process. */
        void signal(String signal) throws Exception {
            record.add("signal %s to %s", signal, name);
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
        }

        /** Starts the process again a second after it has ended, as the platform does. */
        void startAgainWhenEnded() {
            Http.thread("restart " + name, () -> {
                process.waitFor();
                record.add("%s ended with status %d", name, process.exitValue());
                Thread.sleep(1_000);
                if (isKept) start();
            });
        }

        boolean isReady() {
            try {
                HttpURLConnection call = (HttpURLConnection) new URL("http://" + ip + ":" + readyPort + "/ready").openConnection();
                call.setConnectTimeout(500);
                call.setReadTimeout(500);
                return call.getResponseCode() == 200;
            } catch (IOException e) {
                return false;
            }
        }
    }

    private final Path root;
    private final Path folder;
    private final Record record;
    private final String prefix;
    final String storeAddress;
    final int storePort;
    final int edgePort;
    final int readyPort;
    final int controlPort;
    final int directoryPort;
    final int relayPort;
    final int enginePort;
    final boolean requiresFence;
    final List<Node> nodes = new ArrayList<>();
    private final List<String> gatewayIps = new ArrayList<>();

    Deployment(Path root, Record record, boolean requiresFence) throws IOException {
        this.root = root;
        this.record = record;
        this.requiresFence = requiresFence;
        folder = Files.createTempDirectory("review-3-");
        long pid = ProcessHandle.current().pid();
        prefix = "127." + (20 + pid % 200) + "." + (1 + (pid / 200) % 200) + ".";
        storePort = freePort();
        edgePort = freePort();
        readyPort = freePort();
        controlPort = freePort();
        directoryPort = freePort();
        relayPort = freePort();
        enginePort = freePort();
        storeAddress = ip(1) + ":" + storePort;
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    Path folder() {
        return folder;
    }

    String ip(int last) {
        return prefix + last;
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** The command of a role in the deploy file. */
    private String commandOf(String role) throws IOException {
        String text = Files.readString(root.resolve("deploy/system.toml"));
        Matcher found = Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]+)\"").matcher(text);
        if (!found.find()) throw new IOException("no role " + role + " in the deploy file");
        return found.group(1);
    }

    /** Names the addresses of the gateways, which the settings of each of them hold as seeds. */
    void planGateways(int count) {
        for (int i = 0; i < count; i++) gatewayIps.add(ip(10 + i));
    }

    Node gateway(int index, String zone) throws IOException {
        String ip = gatewayIps.get(index);
        List<String> seeds = new ArrayList<>();
        for (String other : gatewayIps) seeds.add(other + ":" + controlPort);
        Map<String, String> values = new LinkedHashMap<>();
        values.put("node_name", "edge-" + zone + "-" + (index + 1));
        values.put("zone", zone);
        values.put("listen.edge_addr", ip + ":" + edgePort);
        values.put("listen.readiness", ip + ":" + readyPort);
        values.put("listen.directory", ip + ":" + directoryPort);
        values.put("listen.control", ip + ":" + controlPort);
        values.put("platform.addr", storeAddress);
        values.put("port_range.0", String.valueOf(relayPort));
        values.put("seeds|json", Json.write(seeds.subList(0, Math.min(3, seeds.size()))));
        values.put("limits.max_fds", "6300");
        values.put("bounds.grace_s", "8");
        values.put("bounds.ttl_max_s", "5");
        values.put("bounds.retry_ratio", "0.2");
        values.put("bounds.retry_window_s", "10");
        values.put("bounds.retry_slack", "88");
        values.put("bounds.require_fence|json", String.valueOf(requiresFence));
        Node node = new Node(values.get("node_name"), "gateway", ip, filled("platform/settings.toml.template", values));
        nodes.add(node);
        return node;
    }

    Node relay(int rank, String ip) throws IOException {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("node_name", "side-" + (rank + 1));
        values.put("ip", ip);
        values.put("port_range.0", String.valueOf(relayPort));
        values.put("app", ip + ":" + enginePort);
        Node node = new Node(values.get("node_name"), "relay", ip, filled("platform/relay.toml.template", values));
        nodes.add(node);
        return node;
    }

    private String filled(String template, Map<String, String> values) throws IOException {
        String text = Files.readString(root.resolve(template));
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        if (text.contains("{{")) throw new IOException("a placeholder of " + template + " has no value");
        return text;
    }

    Node node(String name) {
        return nodes.stream().filter(node -> node.name.equals(name)).findFirst().orElse(null);
    }

    /** Waits until all gateways are ready; false if they are not in time. */
    boolean awaitReady(long timeoutMs) throws InterruptedException {
        long end = System.nanoTime() + timeoutMs * 1_000_000;
        while (System.nanoTime() < end) {
            if (nodes.stream().filter(node -> node.role.equals("gateway")).allMatch(Node::isReady)) return true;
            Thread.sleep(100);
        }
        return false;
    }

    /** Ends all processes that were started, and removes their files. */
    @Override
    public void close() {
        for (Node node : nodes) {
            node.isKept = false;
            if (node.process != null) node.process.destroyForcibly();
        }
        for (Node node : nodes) {
            try {
                if (node.process != null) node.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP") != null) return;
        File[] files = folder.toFile().listFiles();
        if (files != null) for (File file : files) file.delete();
        folder.toFile().delete();
    }
}
