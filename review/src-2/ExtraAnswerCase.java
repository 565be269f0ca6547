import java.io.InputStream;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One rank of a group sends its answer to an order a second time, where the answer to the next order
 * is expected, and leaves that next order unanswered to carry it out two seconds later.
 *
 * MAP is broken if a pass begins while two ranks have different maps.
 */
final class ExtraAnswerCase {
    private static final int RANKS = 4;
    private static final int CLIENTS = 8;

    public static void main(String[] args) {
        Site.run(args[0], ExtraAnswerCase::run);
    }

    private static boolean run(Site site) throws Exception {
        Map<String, Object> service = Site.service("huvo11a", 408);
        service.put("cold_s", 3.0);
        service.put("cold_per_s", 36.0);
        service.put("engine", RankGroup.profile());
        Map<String, Object> route = Site.route("r-draft", "/lohu930/", "stream", "huvo11a", 8_000, 2);
        route.put("goal_ms", 501);
        route.put("can_resume", true);
        route.put("sticky", true);
        route.put("gap_target_ms", 120);
        site.configure(7, List.of(route), List.of(service));
        int relayPort = Http.freePort("127.0.0.2");
        RankGroup group = new RankGroup(site, "huvo11a", RANKS, true, relayPort);
        if (Site.TROUBLE) {
            group.ranks.get(0).isExtraBeforeArm = !"late".equals(System.getenv("ONLY"));
            if (!"extra".equals(System.getenv("ONLY"))) group.ranks.get(0).lateArmMillis = 2_000;
        }
        Thread.sleep(2_000);
        if (!Node.areAllAlive()) throw new Site.StartFailure("a relay has ended");
        Site.Gateway gateway = site.gateway("edge-khomas-a-1", "khomas-a", List.of(), relayPort, true);
        site.awaitReady(gateway, 20_000);
        AtomicInteger answered = new AtomicInteger();
        for (int client = 0; client < CLIENTS; client++) {
            int number = client;
            Http.daemon(() -> {
                for (int i = 0; ; i++) {
                    if (stream(gateway, "s" + number + "-" + i)) answered.incrementAndGet();
                    Thread.sleep(20);
                }
            });
        }
        long end = Site.now() + 12_000;
        while (Site.now() < end) {
            Thread.sleep(1_000);
            site.note("steps " + group.step() + ", streams answered " + answered.get() + ", passes with different maps "
                + group.mixedPasses());
        }
        if (answered.get() == 0) throw new IllegalStateException("no stream was answered");
        return group.mixedPasses() > 0;
    }

    private static boolean stream(Site.Gateway gateway, String attempt) {
        try (Socket socket = Site.connect(gateway)) {
            socket.setSoTimeout(8_000);
            String head = Site.head("POST", "/lohu930/2f", attempt, 8_017, 700).replace("\r\n\r\n",
                "\r\nModel: m\r\nToken-Counts: 714,96\r\nPrompt-Prefix: 5c1e07a2:40," + Integer.toHexString(attempt.hashCode())
                    + ":674\r\n\r\n");
            socket.getOutputStream().write(Http.bytes(head + "p".repeat(700)));
            InputStream in = Site.in(socket);
            Http.Message answer = Http.read(in, false);
            return answer != null && answer.status() == 200 && answer.text().contains("id: 24\n");
        } catch (Exception e) {
            return false;
        }
    }
}
