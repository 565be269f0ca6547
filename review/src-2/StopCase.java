import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Gateways are stopped by SIGTERM in turn and started again, while clients send orders whose bodies
 * take a moment to arrive.
 *
 * LOST is broken if a gateway has passed a whole order on to an engine and ends without its answer.
 */
final class StopCase {
    private static final int ROUNDS = 10;
    private static final int CLIENTS = 4;
    private static final int BODY = 600;

    private record Outcome(String attempt, long lastByteAt, String what) {
    }

    public static void main(String[] args) {
        Site.run(args[0], StopCase::run);
    }

    private static boolean run(Site site) throws Exception {
        site.configure(7, List.of(Site.route("r-book", "/puxa403/", "unsafe", "wuno96b", 4_000, 1)),
            List.of(Site.service("wuno96b", 96)));
        List<PlainEngine> engines = new ArrayList<>();
        for (String zone : List.of("khomas-a", "khomas-b", "khomas-c")) {
            engines.add(new PlainEngine(site, "i-" + zone, "wuno96b", zone, 6, 86));
        }
        Site.Gateway gateway = site.gateway("edge-khomas-a-1", "khomas-a", List.of(), Http.freePort(Site.HOST), true);
        boolean isBroken = false;
        for (int round = 0; round < ROUNDS; round++) {
            site.awaitReady(gateway, 20_000);
            Thread.sleep(500);
            ConcurrentLinkedQueue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
            long termAt = Site.now() + 100;
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                String attempt = "a" + round + "-" + i;
                // Bodies whose last byte is sent 3.0 to 3.1 s after the signal.
                long lastByteAt = termAt + 3_006 + round * 2 + i * 15;
                Site.Gateway target = gateway;
                clients.add(Http.daemon(() -> outcomes.add(order(target, attempt, lastByteAt))));
            }
            sleepUntil(termAt);
            if (Site.TROUBLE) {
                gateway.node.terminate();
                site.note("SIGTERM to " + gateway.name);
            }
            for (Thread client : clients) client.join(10_000);
            for (Outcome outcome : outcomes) {
                long ranAt = -1;
                for (PlainEngine engine : engines) {
                    for (PlainEngine.Run run : engine.runs) {
                        if (run.attempt().equals(outcome.attempt)) ranAt = run.at();
                    }
                }
                boolean isLost = ranAt >= 0 && !outcome.what.startsWith("answer");
                if (isLost) isBroken = true;
                site.note("order " + outcome.attempt + " last byte sent at " + outcome.lastByteAt + " ("
                    + (outcome.lastByteAt - termAt) + " ms after the signal), " + (ranAt < 0 ? "did not run"
                    : "began to run at " + ranAt) + ", client got: " + outcome.what + (isLost ? " LOST" : ""));
            }
            if (Site.TROUBLE) {
                if (!gateway.node.waitFor(9_000)) throw new IOException("did not stop");
                site.note("gateway ended with " + gateway.node.exitValue() + " after "
                    + (Site.now() - termAt) + " ms at most");
                gateway.node.start();
            }
        }
        return isBroken;
    }

    private static void sleepUntil(long at) throws InterruptedException {
        long left = at - Site.now();
        if (left > 0) Thread.sleep(left);
    }

    /** Sends an order whose body ends at {@code lastByteAt}. */
    private static Outcome order(Site.Gateway gateway, String attempt, long lastByteAt) throws Exception {
        // A client that takes 0.9 s to send its body, well within the limits of the configuration.
        sleepUntil(lastByteAt - 900);
        long sentAt = -1;
        try (Socket socket = Site.connect(gateway)) {
            socket.setSoTimeout(6_000);
            socket.getOutputStream().write(Http.bytes(Site.head("POST", "/puxa403/2f", attempt, 4_000, BODY)));
            for (int part = 0; part < 3; part++) {
                sleepUntil(lastByteAt - 300 * (3 - part));
                socket.getOutputStream().write(new byte[BODY / 4]);
            }
            sleepUntil(lastByteAt);
            socket.getOutputStream().write(new byte[BODY / 4]);
            sentAt = Site.now();
            InputStream in = Site.in(socket);
            Http.Message answer = Http.read(in, false);
            return new Outcome(attempt, sentAt,
                answer == null ? "closed" : "answer " + answer.status() + " of " + answer.body().length + " bytes");
        } catch (IOException e) {
            return new Outcome(attempt, sentAt, "closed: " + e.getMessage());
        }
    }
}
