import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A gateway is stopped by SIGTERM and started again, time after time, while clients send orders at
 * random times whose bodies take a moment to arrive.
 *
 * LOST is broken if the gateway has passed an order on to an engine and ends without its answer.
 */
final class StopCase {
    private static final int STOPS = 18;
    /** No stop begins later, so that the script ends within its time on a slow machine too. */
    private static final int LAST_STOP_MILLIS = 95_000;
    private static final double ORDERS_PER_SECOND = 3.35;
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
        Random random = new Random(50);
        int orders = 0;
        int badStops = 0;
        int stops = 0;
        while (stops < STOPS && Site.now() < LAST_STOP_MILLIS) {
            stops++;
            site.awaitReady(gateway, 20_000);
            ConcurrentLinkedQueue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
            List<Thread> clients = new ArrayList<>();
            long termAt = Site.now() + 600;
            Thread signal = Http.daemon(() -> {
                sleepUntil(termAt);
                if (Site.TROUBLE) {
                    gateway.node.terminate();
                    site.note("SIGTERM to " + gateway.name);
                }
            });
            // New connections until 3.0 s after the signal; after that the gateway refuses them.
            double next = Site.now();
            while (true) {
                next -= Math.log(1 - random.nextDouble()) * 1_000 / ORDERS_PER_SECOND;
                if (next > termAt + 3_000) break;
                sleepUntil((long) next);
                String attempt = "a" + orders++;
                int millis = 200 + random.nextInt(800);
                clients.add(Http.daemon(() -> outcomes.add(order(gateway, attempt, millis))));
            }
            for (Thread client : clients) client.join(8_000);
            signal.join();
            boolean isBad = false;
            for (Outcome outcome : outcomes) {
                if (outcome.what.startsWith("answer 200")) continue;
                long ranAt = -1;
                for (PlainEngine engine : engines) {
                    for (PlainEngine.Run run : engine.runs) {
                        if (run.attempt().equals(outcome.attempt)) ranAt = run.at();
                    }
                }
                boolean isLost = ranAt >= 0 && outcome.what.startsWith("closed");
                isBad |= isLost;
                site.note("order " + outcome.attempt + ", last byte sent "
                    + (outcome.lastByteAt < 0 ? "never" : (outcome.lastByteAt - termAt) + " ms after the signal") + ", "
                    + (ranAt < 0 ? "did not run" : "began to run " + (ranAt - termAt) + " ms after it") + ", client got: "
                    + outcome.what + (isLost ? " LOST" : ""));
            }
            if (isBad) badStops++;
            if (Site.TROUBLE) {
                if (!gateway.node.waitFor(9_000)) throw new IOException("did not stop");
                site.note("the gateway has ended with " + gateway.node.exitValue() + "; " + outcomes.size() + " orders");
                gateway.node.start();
            }
        }
        site.note(badStops + " of " + stops + " stops lost an order that an engine had begun to run; " + orders + " orders");
        return badStops > 0;
    }

    private static void sleepUntil(long at) throws InterruptedException {
        long left = at - Site.now();
        if (left > 0) Thread.sleep(left);
    }

    /** Sends an order whose body takes {@code millis} to arrive. */
    private static Outcome order(Site.Gateway gateway, String attempt, int millis) throws Exception {
        long sentAt = -1;
        try (Socket socket = Site.connect(gateway)) {
            socket.setSoTimeout(6_000);
            socket.getOutputStream().write(Http.bytes(Site.head("POST", "/puxa403/2f", attempt, 4_000, BODY)));
            for (int part = 0; part < 4; part++) {
                Thread.sleep(millis / 4);
                socket.getOutputStream().write(new byte[BODY / 4]);
            }
            sentAt = Site.now();
            Http.Message answer = Http.read(Site.in(socket), false);
            return new Outcome(attempt, sentAt, answer == null ? "closed" : "answer " + answer.status());
        } catch (IOException e) {
            return new Outcome(attempt, sentAt, "closed: " + e.getMessage());
        }
    }
}
