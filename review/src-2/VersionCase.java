import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * The model engines are replaced one after the other by engines with newer weights, while one client
 * still asks for the version that it began with. Then all gateways are killed and start again.
 *
 * RECOVER is broken if less than a quarter of the requests that are sent later than recovery_s after
 * the gateways are back is served, though a quarter or more was before.
 */
final class VersionCase {
    private static final int RECOVERY = 12_000;

    private record Outcome(long sentAt, boolean isPinned, String what) {
    }

    public static void main(String[] args) {
        Site.run(args[0], VersionCase::run);
    }

    private static boolean run(Site site) throws Exception {
        Map<String, Object> route = Site.route("r-draft", "/lohu930/", "stream", "huvo11a", 8_000, 2);
        route.put("goal_ms", 501);
        route.put("can_resume", true);
        route.put("sticky", true);
        route.put("gap_target_ms", 120);
        site.configure(7, List.of(route), List.of(Site.service("huvo11a", 408)));
        List<PlainEngine> engines = new ArrayList<>();
        for (int i = 0; i < 4; i++) engines.add(engine(site, "i-old-" + i, 1));
        List<Site.Gateway> gateways = new ArrayList<>();
        int relayPort = Http.freePort(Site.HOST);
        for (String zone : List.of("khomas-a", "khomas-b")) {
            gateways.add(site.gateway("edge-" + zone + "-1", zone, List.copyOf(gateways), relayPort, true));
        }
        for (Site.Gateway gateway : gateways) site.awaitReady(gateway, 30_000);
        long startedAt = Site.now();
        ConcurrentLinkedQueue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
        // About 20 requests a second, and one a second of a client that asks for the version that it began with.
        Http.daemon(() -> {
            for (int i = 0; ; i++) {
                boolean isPinned = i % 20 == 10;
                String attempt = (isPinned ? "v" : "s") + i;
                Site.Gateway gateway = gateways.get((isPinned ? i / 20 : i) % gateways.size());
                Http.daemon(() -> outcomes.add(send(gateway, attempt, isPinned)));
                Thread.sleep(50);
            }
        });
        Thread.sleep(10_000);
        if (Site.TROUBLE) {
            for (int i = 0; i < 4; i++) {
                engine(site, "i-new-" + i, 2);
                site.note("engine i-new-" + i + " with weights 2 registers, i-old-" + i + " drains");
                engines.get(i).drain();
                Thread.sleep(1_000);
            }
        } else {
            Thread.sleep(4_000);
        }
        long faultAt = Site.now();
        if (Site.TROUBLE) {
            site.configure(9, List.of(route), List.of(Site.service("huvo11a", 408)));
            for (Site.Gateway gateway : gateways) gateway.node.kill();
            site.note("all gateways are killed");
            for (Site.Gateway gateway : gateways) gateway.node.start();
            for (Site.Gateway gateway : gateways) site.awaitReady(gateway, 30_000);
        }
        long backAt = Site.now();
        Thread.sleep(RECOVERY + 10_000);
        int[] before = count(outcomes, startedAt, faultAt);
        int[] after = count(outcomes, backAt + RECOVERY, Long.MAX_VALUE);
        site.note("before the final fault " + before[1] + " of " + before[0] + " requests were served");
        site.note("later than recovery_s after the gateways were back " + after[1] + " of " + after[0]
            + " requests were served");
        site.note("answers then: " + answers(outcomes, backAt + RECOVERY));
        if (before[0] == 0 || after[0] == 0) throw new IOException("no requests");
        boolean wasServed = before[1] * 4 >= before[0];
        boolean isServed = after[1] * 4 >= after[0];
        if (wasServed && !isServed) site.note("RECOVER");
        return wasServed && !isServed;
    }

    private static PlainEngine engine(Site site, String id, int weights) throws IOException {
        PlainEngine engine = new PlainEngine(site, id, "huvo11a", "khomas-a", 8, 20);
        engine.weights = weights;
        return engine;
    }

    private static int[] count(Iterable<Outcome> outcomes, long from, long to) {
        int all = 0;
        int served = 0;
        for (Outcome outcome : outcomes) {
            if (outcome.sentAt < from || outcome.sentAt >= to) continue;
            all++;
            if (outcome.what.equals("answer 200")) served++;
        }
        return new int[] {all, served};
    }

    private static Map<String, Integer> answers(Iterable<Outcome> outcomes, long from) {
        Map<String, Integer> answers = new java.util.TreeMap<>();
        for (Outcome outcome : outcomes) {
            String name = (outcome.isPinned ? "with Expect-Version 1: " : "without it: ") + outcome.what;
            if (outcome.sentAt >= from) answers.merge(name, 1, Integer::sum);
        }
        return answers;
    }

    private static Outcome send(Site.Gateway gateway, String attempt, boolean isPinned) {
        long sentAt = Site.now();
        String what;
        try (Socket socket = Site.connect(gateway)) {
            socket.setSoTimeout(9_000);
            String fields = "\r\nModel: m\r\nToken-Counts: 714,24\r\nPrompt-Prefix: 5c1e07a2:40,"
                + Integer.toHexString(attempt.hashCode()) + ":674" + (isPinned ? "\r\nExpect-Version: 1" : "");
            String head = Site.head("POST", "/lohu930/2f", attempt, 8_017, 700).replace("\r\n\r\n", fields + "\r\n\r\n");
            socket.getOutputStream().write(Http.bytes(head + attempt + "p".repeat(700 - attempt.length())));
            Http.Message answer = Http.read(Site.in(socket), false);
            what = answer == null ? "closed" : "answer " + answer.status();
        } catch (IOException e) {
            what = "closed: " + e.getMessage();
        }
        return new Outcome(sentAt, isPinned, what);
    }
}
