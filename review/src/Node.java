import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.Paths;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of the project, started with the command of a role in the deploy file. */
final class Node implements Closeable {
    private final String role;
    private final Path settings;
    private final Path log;
    private final Path root;
    private Process process;

    private Node(String role, Path root, Path folder, String name, String text) throws IOException {
        this.role = role;
        this.root = root;
        settings = folder.resolve(name + ".toml");
        log = folder.resolve(name + ".log");
        Files.writeString(settings, text);
    }

    /** The addresses of one machine, on free ports. */
    static final class Ports {
        private static final java.util.Set<Integer> given = new java.util.HashSet<>();
        final String callers;
        final String readiness;
        final String directory;
        final String peers;
        final int metrics;

        Ports(String host) throws IOException {
            callers = host + ":" + free(host);
            readiness = host + ":" + free(host);
            directory = host + ":" + free(host);
            peers = host + ":" + free(host);
            metrics = free(host);
        }

        static synchronized int free(String host) throws IOException {
            while (true) {
                try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
                    if (given.add(socket.getLocalPort())) return socket.getLocalPort();
                }
            }
        }
    }

    /** A gateway entry with the settings of a small deployment. */
    static Node gateway(Path root, Path folder, String name, Ports ports, String zone, String store, String seeds,
                        int relayPort, boolean fences) throws IOException {
        String text = "instance_id = \"" + name + "\"\n" +
            "zone = \"" + zone + "\"\n" +
            "listen_address = \"" + ports.callers + "\"\n" +
            "readiness_address = \"" + ports.readiness + "\"\n" +
            "directory_address = \"" + ports.directory + "\"\n" +
            "peer_address = \"" + ports.peers + "\"\n" +
            "store_address = \"" + store + "\"\n" +
            "metrics_port = " + ports.metrics + "\n" +
            "relay_port = " + relayPort + "\n" +
            "seed_addresses = " + seeds + "\n" +
            "max_connections = 4100\n" +
            "stop_grace_seconds = 8\n" +
            "entry_list_ttl_seconds = 5\n" +
            "retry_ratio = 0.2\n" +
            "retry_window_seconds = 10\n" +
            "retry_slack = 88\n" +
            "fences_checked = " + fences + "\n";
        return new Node("gateway", root, folder, name, text);
    }

    /** A relay that listens at [listen], beside the engine at [engine]. */
    static Node relay(Path root, Path folder, String name, String listen, String engine) throws IOException {
        String text = "instance_id = \"" + name + "\"\n" +
            "listen_address = \"" + listen + "\"\n" +
            "engine_address = \"" + engine + "\"\n";
        return new Node("relay", root, folder, name, text);
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command(root, role));
        builder.directory(root.toFile());
        builder.environment().put("SHALLOTPLANK_CONFIG", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    /** The words of the command of [role] in the deploy file. */
    private static List<String> command(Path root, String role) throws IOException {
        boolean isRole = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) isRole = line.equals("[roles." + role + "]");
            if (isRole && line.startsWith("run = ")) {
                String words = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return new ArrayList<>(List.of(words.split(" ")));
            }
        }
        throw new IOException("no command of the role " + role);
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    Path log() {
        return log;
    }

    @Override
    public void close() {
        if (process == null) return;
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until the entry at [readiness] says that it is ready; returns whether it does in time. */
    static boolean awaitReady(String readiness, int seconds) throws InterruptedException {
        byte[] question = Http.bytes("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        for (int tries = 0; tries < seconds * 10; tries++) {
            Http.Message answer = Http.call(readiness, question, 500);
            if (answer != null && answer.status() == 200) return true;
            Thread.sleep(100);
        }
        return false;
    }

    static Path root() {
        return Paths.get(System.getProperty("root")).toAbsolutePath();
    }
}
