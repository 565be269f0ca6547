import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A process of the project, started with the command of the deploy file. */
final class Node {
    private static final List<Node> ALL = new ArrayList<>();
    private final String role;
    private final Path settings;
    private final Path log;
    private Process process;

    private Node(String role, Path settings, Path log) {
        this.role = role;
        this.settings = settings;
        this.log = log;
    }

    /** Starts a role with its template filled in with {@code values}; names are those of DEPLOY.md. */
    static Node start(String role, String name, Path folder, Map<String, String> values) throws IOException {
        String text = Files.readString(Path.of(deployed(role, "template")));
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        // The port is fixed in the template, and several processes share one address here.
        text = text.replaceAll("metrics_port = [0-9]+", "metrics_port = " + values.get("metrics_port"));
        if (text.contains("{{")) throw new IOException("not filled in: " + text);
        Path file = folder.resolve(name + ".toml");
        Files.writeString(file, text);
        Node node = new Node(role, file, folder.resolve(name + ".log"));
        node.start();
        synchronized (ALL) {
            ALL.add(node);
        }
        return node;
    }

    /** A value of a role in the deploy file. */
    private static String deployed(String role, String key) throws IOException {
        boolean isInRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) isInRole = line.equals("[roles." + role + "]");
            if (isInRole && line.startsWith(key + " = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("no " + key + " of " + role + " in deploy/system.toml");
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(Arrays.asList(deployed(role, "run").split(" ")));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("SHALLOTPLANK_CONFIG", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")));
        process = builder.start();
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitValue() {
        return process.exitValue();
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    /** Sends SIGKILL and waits for the end. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }

    boolean waitFor(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    /** Sends the signal of the given name, such as STOP or CONT. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    String log() throws IOException {
        return Files.readString(log);
    }

    /** Whether no process that was started here has ended. */
    static boolean areAllAlive() {
        synchronized (ALL) {
            return ALL.stream().allMatch(Node::isAlive);
        }
    }

    /** Kills all processes that were started here. */
    static void killAll() {
        synchronized (ALL) {
            for (Node node : ALL) node.process.destroyForcibly();
            for (Node node : ALL) {
                try {
                    node.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    return;
                }
            }
            ALL.clear();
        }
    }
}
