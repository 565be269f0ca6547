import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;

/**
 * One engine is replaced by another: the new one registers, and the entry of the old one is removed
 * without a report before. Right after that the store answers nothing for 2.9 s.
 *
 * DRAIN is broken if an order that was sent later than contact_ms after the end of the outage, and
 * later than drain_ms after the removal, reaches the removed engine.
 */
final class DrainCase {
    private static final int OUTAGE = 2_900;
    private static final int CONTACT = 3_000;
    private static final int DRAIN = 2_000;
    /** The old engine exits that long after its entry was removed, or up to 0.5 s later while it works. */
    private static final int EXIT = 6_600;

    private record Outcome(long sentAt, String what) {
    }

    public static void main(String[] args) {
        Site.run(args[0], DrainCase::run);
    }

    private static boolean run(Site site) throws Exception {
        site.configure(7, List.of(Site.route("r-book", "/puxa403/", "unsafe", "wuno96b", 2_000, 1)),
            List.of(Site.service("wuno96b", 96), Site.service("huvo11a", 408)));
        List<PlainEngine> engines = new ArrayList<>();
        for (String zone : List.of("khomas-a", "khomas-b", "khomas-c")) {
            engines.add(new PlainEngine(site, "i-" + zone, "wuno96b", zone, 6, 86));
        }
        Site.Gateway gateway = site.gateway("edge-khomas-a-1", "khomas-a", List.of(), Http.freePort(Site.HOST), true);
        site.awaitReady(gateway, 30_000);
        ConcurrentHashMap<String, Outcome> outcomes = new ConcurrentHashMap<>();
        long startedAt = Site.now();
        // About 30 orders a second.
        Thread clients = Http.daemon(() -> {
            for (int i = 0; ; i++) {
                String attempt = "o" + i;
                Http.daemon(() -> order(gateway, attempt, outcomes));
                Thread.sleep(33);
            }
        });
        sleepUntil(startedAt + 5_000);
        PlainEngine old = engines.get(2);
        engines.add(new PlainEngine(site, "i-khomas-c-new", "wuno96b", "khomas-c", 6, 86));
        site.note("engine i-khomas-c-new registers");
        // Other changes of the table, one each 0.1 s: after an answer that came soon, a gateway makes the next call
        // 0.3 s after the last one, so that it has not seen the removal when the outage begins.
        for (int i = 0; i < 8 && site.store.shortFeedAt < startedAt + 5_000; i++) {
            Thread.sleep(100);
            if (site.store.shortFeedAt >= startedAt + 5_000) break;
            new PlainEngine(site, "i-other-" + i, "huvo11a", "khomas-a", 8, 86);
            site.note("engine i-other-" + i + " of another service registers");
            Thread.sleep(15);
        }
        old.unregister();
        long removedAt = Site.now();
        site.note("the entry of engine " + old.id + " is removed; it continues to serve");
        Thread.sleep(50);
        if (Site.TROUBLE) {
            site.store.isSilent = true;
            site.note("the store answers nothing from now on");
        }
        Thread.sleep(OUTAGE);
        site.store.isSilent = false;
        long endedAt = Site.now();
        if (Site.TROUBLE) site.note("the store answers again");
        sleepUntil(removedAt + EXIT);
        while (Site.now() < removedAt + EXIT + 500 && old.runs.stream().noneMatch(r -> r.at() > Site.now() - 40)) {
            Thread.sleep(5);
        }
        old.crash();
        site.note("engine " + old.id + " exits");
        Thread.sleep(3_000);
        clients.interrupt();
        Thread.sleep(2_500);
        long boundFrom = Math.max(removedAt + DRAIN, Site.TROUBLE ? endedAt + CONTACT : 0);
        int late = 0;
        int excused = 0;
        int lost = 0;
        for (PlainEngine.Run run : old.runs) {
            Outcome outcome = outcomes.get(run.attempt());
            if (run.at() <= removedAt + DRAIN) continue;
            if (outcome == null || outcome.sentAt <= boundFrom) {
                excused++;
                continue;
            }
            late++;
            boolean isLost = !outcome.what.equals("answer 200");
            if (isLost) lost++;
            site.note("order " + run.attempt() + " sent at " + outcome.sentAt + " (" + (outcome.sentAt - endedAt)
                + " ms after the outage) began to run at " + run.at() + " on the engine that was removed "
                + (run.at() - removedAt) + " ms before; client got: " + outcome.what + " DRAIN");
        }
        int answered = 0;
        for (Outcome outcome : outcomes.values()) if (outcome.what.equals("answer 200")) answered++;
        site.note(outcomes.size() + " orders, " + answered + " answered with 200; on the removed engine later than drain_ms: "
            + excused + " while not in touch, " + late + " while in touch, of which " + lost + " were lost as it exited");
        if (answered == 0) throw new IOException("no order was answered");
        return late > 0;
    }

    private static void sleepUntil(long at) throws InterruptedException {
        long left = at - Site.now();
        if (left > 0) Thread.sleep(left);
    }

    private static void order(Site.Gateway gateway, String attempt, ConcurrentHashMap<String, Outcome> outcomes) {
        long sentAt = Site.now();
        String what;
        try (Socket socket = Site.connect(gateway)) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write(Http.bytes(Site.head("POST", "/puxa403/2f", attempt, 4_011, 600) + "b".repeat(600)));
            Http.Message answer = Http.read(Site.in(socket), false);
            what = answer == null ? "closed" : "answer " + answer.status();
        } catch (IOException e) {
            what = "closed: " + e.getMessage();
        }
        outcomes.put(attempt, new Outcome(sentAt, what));
    }
}
