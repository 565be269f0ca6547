import java.io.Closeable;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.Paths;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.stream.Stream;

/**
 * What all cases share: the record, a temporary folder, the switch TROUBLE and the end of all processes.
 *
 * The exit status is 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
 */
abstract class Case {
    final Path root = Paths.get(System.getProperty("root")).toAbsolutePath();
    final boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
    final Record record = new Record(Paths.get(System.getProperty("folder")).resolve("record.txt"));
    private final Deque<Closeable> open = new ArrayDeque<>();
    Path temporary;

    /** Plays the case; returns whether the rule held. */
    abstract boolean play() throws Exception;

    <T extends Closeable> T keep(T opened) {
        open.push(opened);
        return opened;
    }

    /** Throws if the condition of the case doesn't hold, so that it says nothing. */
    static void require(boolean condition, String what) {
        if (!condition) throw new IllegalStateException(what);
    }

    final void main() {
        int status = 2;
        Http.daemon(this::endInTime);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        try {
            temporary = Files.createTempDirectory("review");
            record.write(isTroubled ? "with the disruption" : "without the disruption");
            status = play() ? 0 : 1;
        } catch (Exception e) {
            record.write("the case couldn't run: " + e);
            e.printStackTrace();
        }
        close();
        record.write("exit " + status);
        System.exit(status);
    }

    private void endInTime() {
        try {
            Thread.sleep(115_000);
        } catch (InterruptedException e) {
            return;
        }
        record.write("the case takes too long");
        close();
        Runtime.getRuntime().halt(2);
    }

    private synchronized void close() {
        while (!open.isEmpty()) {
            try {
                open.pop().close();
            } catch (Exception e) {
                record.write("closing: " + e);
            }
        }
        if (temporary == null) return;
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (Exception e) {
            record.write("removing files: " + e);
        }
        temporary = null;
    }

    /** A configuration with one host, a key and a service of plain servers. */
    static String configuration(long version, int timeoutMillis) {
        return configuration(version, timeoutMillis, "", "");
    }

    /** The same with further routes and services, each followed by a comma. */
    static String configuration(long version, int timeoutMillis, String routes, String services) {
        return "{\"version\":" + version + ",\"routes\":[" + routes +
            route("orders", "/orders/", "unsafe", timeoutMillis) + "," +
            route("lookups", "/lookups/", "safe", timeoutMillis) + "]," +
            "\"services\":[" + services + "{\"name\":\"order-app\",\"health_path\":\"/healthz\",\"max_conns\":96,\"protocol\":\"h1\"," +
            "\"tls\":false,\"cold_s\":0.0,\"cold_per_s\":0.0}]," +
            "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000," +
            "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"],\"priority\":1}]}";
    }

    private static String route(String name, String prefix, String kind, int timeoutMillis) {
        return "{\"name\":\"" + name + "\",\"host\":\"desk.example\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind +
            "\",\"timeout_ms\":" + timeoutMillis + ",\"goal_ms\":387,\"priority\":2,\"service\":\"order-app\"," +
            "\"max_attempts\":2,\"no_auth\":false,\"sticky\":false,\"can_resume\":false}";
    }

    /** The row of a plain server. */
    static String server(String address, String zone) {
        return "{\"service\":\"order-app\",\"addr\":\"" + address + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\"," +
            "\"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":" + System.currentTimeMillis() + "}";
    }
}
