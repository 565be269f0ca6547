import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A request that crashes each engine that begins to run it comes again and again, with the same path,
 * caller and body. All gateways are killed at once three times and start again.
 *
 * BUDGET is broken if the request reaches engines in more than three retries that machines in touch
 * sent later than contact_ms after it had crashed the third engine.
 */
final class PoisonCase {
    private static final int CONTACT = 3_000;
    private static final int KILLS = 3;

    public static void main(String[] args) {
        Site.run(args[0], PoisonCase::run);
    }

    private static boolean run(Site site) throws Exception {
        site.configure(7, List.of(Site.route("r-book", "/puxa403/", "unsafe", "wuno96b", 2_000, 1)),
            List.of(Site.service("wuno96b", 96)));
        List<PlainEngine> engines = new ArrayList<>();
        for (String zone : List.of("khomas-a", "khomas-b", "khomas-c")) {
            PlainEngine engine = new PlainEngine(site, "i-" + zone, "wuno96b", zone, 6, 86);
            engine.poison = "poison";
            engines.add(engine);
        }
        List<Site.Gateway> gateways = new ArrayList<>();
        int relayPort = Http.freePort(Site.HOST);
        for (String zone : List.of("khomas-a", "khomas-b")) {
            gateways.add(site.gateway("edge-" + zone + "-1", zone, List.copyOf(gateways), relayPort, true));
        }
        for (Site.Gateway gateway : gateways) site.awaitReady(gateway, 30_000);
        ConcurrentHashMap<String, String> orders = new ConcurrentHashMap<>();
        // About 20 other orders a second.
        Http.daemon(() -> {
            for (int i = 0; ; i++) {
                String attempt = "o" + i;
                Site.Gateway gateway = gateways.get(i % gateways.size());
                Http.daemon(() -> orders.put(attempt, send(gateway, attempt, "b".repeat(600))));
                Thread.sleep(50);
            }
        });
        int sent = 0;
        for (int life = 0; life <= KILLS; life++) {
            if (life > 0) {
                if (Site.TROUBLE) {
                    for (Site.Gateway gateway : gateways) gateway.node.kill();
                    site.note("all gateways are killed");
                    for (Site.Gateway gateway : gateways) gateway.node.start();
                    for (Site.Gateway gateway : gateways) site.awaitReady(gateway, 30_000);
                }
            }
            // The machines are in touch again.
            Thread.sleep(CONTACT + 400);
            for (int i = 0; i < 3; i++) {
                String attempt = "p" + sent;
                Site.Gateway gateway = gateways.get(sent++ % gateways.size());
                String answer = send(gateway, attempt, "poison" + "p".repeat(594));
                site.note("the request comes as " + attempt + " at " + gateway.name + ": " + answer);
                Thread.sleep(CONTACT + 200);
            }
        }
        List<Long> reached = new ArrayList<>();
        for (PlainEngine engine : engines) {
            for (PlainEngine.Run run : engine.runs) if (run.attempt().startsWith("p")) reached.add(run.at());
        }
        reached.sort(null);
        int late = 0;
        if (reached.size() >= 3) {
            for (long at : reached) if (at > reached.get(2) + CONTACT) late++;
        }
        int answered = 0;
        int lost = 0;
        for (String answer : orders.values()) {
            if (answer.equals("answer 200")) answered++;
            if (answer.equals("answer 502")) lost++;
        }
        site.note("the request came " + sent + " times and crashed " + reached.size() + " engines, " + late
            + " of them in retries later than contact_ms after the third crash; of the other orders " + answered
            + " were answered with 200 and " + lost + " were lost by crashes (502)" + (late > 3 ? " BUDGET" : ""));
        if (answered == 0) throw new IOException("no order was answered");
        return late > 3;
    }

    private static String send(Site.Gateway gateway, String attempt, String body) {
        try (Socket socket = Site.connect(gateway)) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write(
                Http.bytes(Site.head("POST", "/puxa403/2f", attempt, 4_011, body.length()) + body));
            Http.Message answer = Http.read(Site.in(socket), false);
            return answer == null ? "closed" : "answer " + answer.status();
        } catch (IOException e) {
            return "closed: " + e.getMessage();
        }
    }
}
