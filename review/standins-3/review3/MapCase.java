package review3;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker leaves orders unanswered and carries them out late, and the process that keeps its group is killed.
 *
 * Usage: MapCase FOLDER TROUBLE, from the root of the repository.
 */
final class MapCase {
    private static final int RANKS = 4;
    private static final String HOST = "ficu95.example";
    private static final String KEY = "n2ctnfzs989anu6wsjnb";

    /** The rank whose worker leaves orders unanswered, and when it carries them out. */
    private static final int LATE_RANK = 2;
    private static final long LATE_MS = 9_000;

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(args[1]);
        Record record = new Record(Path.of(args[0], "record.txt"));
        int status = 2;
        try (Deployment system = new Deployment(Path.of("").toAbsolutePath(), record, false)) {
            status = play(system, record, hasTrouble);
        } catch (Exception e) {
            record.add("the case could not run: %s", e);
            e.printStackTrace();
        }
        record.add("exit status %d", status);
        System.exit(status);
    }

    private static int play(Deployment system, Record record, boolean hasTrouble) throws Exception {
        Store store = new Store(system.ip(1), system.storePort);
        RankGroup group = new RankGroup(RANKS, system.requiresFence, record);
        for (int i = 0; i < RANKS; i++) group.add(system.ip(100 + i), system.enginePort);
        store.onWrite = (table, key, value) -> record.add("written to the store: %s/%s %s", table, key, value);
        writeConfiguration(store);
        for (RankGroup.Rank rank : group.ranks) {
            store.write("servers", rank.id, Json.map("service", "huvo11a", "addr", rank.address,
                "zone", rank.number < 2 ? "a" : "b", "version", "v1", "slots", 8, "state", "ready", "cold_left_ms", 0,
                "stage", "hybrid", "models", List.of(Json.map("name", "m", "version", 1, "adapters", List.of())),
                "seq", 0, "born", rank.born, "size", RANKS,
                "group", Json.map("name", "g0", "epoch", 1, "rank", rank.number, "state", "open")));
        }
        group.likeExpertsOf(0);
        system.planGateways(2);
        system.gateway(0, "a");
        system.gateway(1, "b");
        for (int i = 0; i < RANKS; i++) system.relay(i, system.ip(100 + i));
        for (Deployment.Node node : system.nodes) node.start();
        if (!system.awaitReady(15_000)) {
            record.add("the gateways are not ready");
            return 2;
        }
        for (Deployment.Node node : system.nodes) node.startAgainWhenEnded();

        // Usual work: three streams at a time, and now and then other experts are in demand.
        AtomicBoolean isBusy = new AtomicBoolean(true);
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger whole = new AtomicInteger();
        for (int i = 0; i < 3; i++) {
            int caller = i;
            Http.thread("caller " + i, () -> {
                while (isBusy.get()) {
                    if (ask(system, record, sent.incrementAndGet(), caller)) whole.incrementAndGet();
                    Thread.sleep(50);
                }
            });
        }
        List<Long> ordersAt = new CopyOnWriteArrayList<>();
        List<Long> unansweredAt = new CopyOnWriteArrayList<>();
        AtomicBoolean isArming = new AtomicBoolean();
        AtomicBoolean isLate = new AtomicBoolean();
        group.lateOrders = (rank, op, order) -> {
            ordersAt.add(System.nanoTime());
            if (isLate.get() && op.equals("arm")) isArming.set(true);
            boolean isLeft = isLate.get() && rank == LATE_RANK && op.equals("arm");
            if (isLeft) unansweredAt.add(System.nanoTime());
            return isLeft ? LATE_MS : -1;
        };
        Thread.sleep(4_000);
        record.add("%d passes so far, %d of %d streams were whole; other experts are in demand from now on", group.step, whole.get(), sent.get());
        isLate.set(hasTrouble);
        int liked = 1;
        long end = System.nanoTime() + 20_000_000_000L;
        while (hasTrouble && !isArming.get() && System.nanoTime() < end) {
            group.likeExpertsOf(liked++ % RANKS);
            for (int i = 0; i < 20 && !isArming.get(); i++) Thread.sleep(100);
        }
        if (!hasTrouble) {
            for (int i = 0; i < 3; i++) {
                group.likeExpertsOf(liked++ % RANKS);
                Thread.sleep(2_000);
            }
        } else {
            if (!isArming.get()) {
                record.add("no change of the map came");
                return 2;
            }
            // The streams stand still from now on, and their clients give up after a gap of two seconds.
            isBusy.set(false);
            Thread.sleep(1_000);
            String lease = store.read("entries", "group/g0");
            Deployment.Node keeper = system.node((String) Json.object(lease).get("holder"));
            keeper.signal("KILL");
            isLate.set(false);
            long from = System.nanoTime() - 5_500_000_000L;
            record.add("in the last 5.5 s, %d of %d orders were left unanswered; from now on all are answered",
                unansweredAt.stream().filter(at -> at >= from).count(), ordersAt.stream().filter(at -> at >= from).count());
        }
        // The clients that were here have left; nobody asks for a while.
        isBusy.set(false);
        Thread.sleep(12_000);
        record.add("%d requests run before the next client comes", group.runningCount());
        // Work goes on.
        int answered = 0;
        for (int i = 0; i < 6; i++) {
            if (ask(system, record, sent.incrementAndGet(), i)) answered++;
        }
        record.add("%d passes in all, %d began with different maps; %d of the last 6 streams were whole", group.step, group.mixedPasses, answered);
        if (group.step < 50) return 2;
        return group.mixedPasses > 0 ? 1 : 0;
    }

    private static boolean ask(Deployment system, Record record, int number, int caller) {
        String attempt = String.format("a%015x", number);
        String gateway = system.nodes.get(caller % 2).edge();
        Caller.Outcome outcome = Caller.send(gateway, "POST", "/lohu930/2f", HOST, attempt, KEY, 8_000,
            "Model: m\r\nToken-Counts: 674,96\r\nPrompt-Prefix: 5c1e07a2:40," + attempt + ":634\r\n", new byte[700], 2_004);
        record.add("stream %s at %s: %s", attempt, gateway, outcome);
        return outcome.isComplete && outcome.events.size() == RankGroup.EVENTS;
    }

    private static void writeConfiguration(Store store) {
        Map<String, Object> engine = Json.map("slots", 8, "kv_capacity", 186666, "token_kv_bytes", 52704, "link_mbps", 44000.0,
            "stride", 4, "models", List.of(Json.map("name", "m")), "step_ms", 4.55, "per_seq_ms", 1.3575,
            "context_per_k", 0.02745, "read_per_s", 61400.0, "pairs_per_m", 0.525, "chunk", 512, "report_lag_ms", 200.0,
            "usual", Json.map("prompt", 835, "answer", 97), "sets", RankGroup.SETS, "experts", RankGroup.EXPERTS,
            "placements", RankGroup.PLACES, "spare", RankGroup.SPARE, "expert_mb", 2200.0, "expert_share", 0.85, "form_ms", 600.0);
        store.write("op", "config", Json.map("version", 7,
            "routes", List.of(Json.map("name", "r-2yhvz3p", "host", HOST, "prefix", "/lohu930/", "kind", "stream",
                "timeout_ms", 8000, "goal_ms", 501, "priority", 1, "service", "huvo11a", "max_attempts", 2, "no_auth", false,
                "sticky", true, "can_resume", true, "gap_target_ms", 120)),
            "services", List.of(Json.map("name", "huvo11a", "health_path", "/healthz", "max_conns", 278, "protocol", "h1",
                "tls", false, "cold_s", 3.0, "cold_per_s", 26.0, "engine", engine)),
            "limits", Json.map("max_header_bytes", 16384, "max_body_bytes", 4194304, "header_timeout_ms", 3000, "idle_timeout_ms", 15000),
            "tenants", List.of(Json.map("name", "hule930", "api_keys", List.of(KEY), "priority", 1))));
    }
}
