package review3;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Stand-in for the engines of one rank group, which begin each pass together. */
final class RankGroup {
    static final int SETS = 3;
    static final int EXPERTS = 24;
    static final int PLACES = 8;
    static final int SPARE = 4;
    static final int EVENTS = 24;

    /** Time of a rank's own part of a pass, and of each set if its tokens are spread evenly. */
    private static final int OWN_MS = 18;
    private static final int SET_MS = 15;

    /** Time in which a rank copies one expert, 2,200 MB at 44 Gbit/s. */
    private static final int COPY_MS = 400;

    /** Decides whether an order is left unanswered; returns after how many ms it is carried out, or -1. */
    interface LateOrders {
        long delayMs(int rank, String op, Map<String, Object> order);
    }

    /** A request that a rank runs. */
    private static final class Run {
        final Http.Connection connection;
        final String id;
        int events;
        boolean isOver;

        Run(Http.Connection connection, String id, int events) {
            this.connection = connection;
            this.id = id;
            this.events = events;
        }
    }

    final class Rank {
        final int number;
        final String id;
        final String address;
        final long born = System.currentTimeMillis();
        long mapVersion;
        List<Set<Integer>> map = new ArrayList<>();
        long highestVersion;
        long preparingVersion = -1;
        long preparedVersion = -1;
        List<Set<Integer>> preparedMap;
        long armedVersion = -1;
        long armedStep = -1;
        long heldStep = -1;
        long fence;
        long seq;
        final long[] counts = new long[SETS * EXPERTS];
        final List<Run> running = new ArrayList<>();

        Rank(int number, String host, int port) throws IOException {
            this.number = number;
            id = "i-rank" + number;
            address = host + ":" + port;
            for (int set = 0; set < SETS; set++) {
                Set<Integer> held = new HashSet<>();
                for (int expert = number; expert < EXPERTS; expert += size) held.add(expert);
                map.add(held);
            }
            new Http.Server(host, port, this::handle);
        }

        private void handle(Http.Message request, Http.Connection connection) throws Exception {
            String expected = request.headers.get("expect-instance");
            if (expected != null && !expected.equals(id)) {
                connection.reply(421, Map.of("Instance-Id", id, "Not-Run", "1"), new byte[0]);
                return;
            }
            switch (request.path()) {
                case "/report": connection.json(200, report()); return;
                case "/picked": connection.json(200, picked(request.query("lists") != null)); return;
                case "/order": order(Json.object(request.text()), connection); return;
                case "/healthz":
                    connection.reply(200, Map.of("Instance-Id", id, "Engine-Load", running.size() + ",0,8"), new byte[0]);
                    return;
                default: run(request, connection);
            }
        }

        private void run(Http.Message request, Http.Connection connection) throws Exception {
            String attempt = request.headers.get("attempt-id");
            int after = Integer.parseInt(request.headers.getOrDefault("last-event-id", "0"));
            Run run = new Run(connection, attempt, after);
            synchronized (RankGroup.this) {
                connection.beginChunked(Map.of("Attempt-Id", attempt, "Answer-Stamp", "stamp." + id + "." + attempt,
                    "Content-Type", "text/event-stream", "Weight-Versions", "1"));
                running.add(run);
                RankGroup.this.notifyAll();
            }
            while (true) {
                synchronized (RankGroup.this) {
                    if (run.isOver) return;
                    RankGroup.this.wait(10);
                    if (run.isOver) return;
                }
                if (connection.isClosedByPeer()) {
                    synchronized (RankGroup.this) {
                        running.remove(run);
                    }
                    throw new IOException("the caller has left");
                }
            }
        }

        private Object report() {
            synchronized (RankGroup.this) {
                Map<String, Object> report = Json.map("stage", "hybrid",
                    "models", List.of(Json.map("name", "m", "version", 1, "adapters", List.of())),
                    "busy", preparingVersion >= 0, "seq", seq, "queue_depth", 0, "in_flight", running.size(),
                    "kv_used", 0, "kv_total", 186666, "handles", 0, "pace", 1.0, "born", born, "size", size,
                    "group", Json.map("name", "g0", "epoch", 1, "rank", number, "state", "open"),
                    "step", step, "map", mapVersion);
                if (preparedVersion >= 0) report.put("prepared", preparedVersion);
                if (armedVersion >= 0) report.put("armed", Json.map("version", armedVersion, "step", armedStep));
                if (heldStep >= 0) report.put("held", heldStep);
                return report;
            }
        }

        private Object picked(boolean lists) {
            synchronized (RankGroup.this) {
                if (!lists) {
                    List<Object> all = new ArrayList<>();
                    for (long count : counts) all.add(count);
                    return Json.map("step", step, "epoch", 1, "counts", all);
                }
                return Json.map("step", step, "epoch", 1, "map", Json.map("version", mapVersion, "experts", map));
            }
        }

        private void order(Map<String, Object> order, Http.Connection connection) throws Exception {
            String op = (String) order.get("op");
            long delay = lateOrders.delayMs(number, op, order);
            if (delay >= 0) {
                record.add("rank %d leaves unanswered, to be carried out in %d ms: %s", number, delay, brief(order));
                timer.schedule(() -> {
                    int status = carryOut(order);
                    record.add("rank %d carries out late, %d: %s", number, status, brief(order));
                }, delay, TimeUnit.MILLISECONDS);
                // No answer ever comes on this connection.
                Thread.sleep(60_000);
                return;
            }
            int status = carryOut(order);
            record.add("rank %d answers %d: %s", number, status, brief(order));
            connection.json(status, Json.map("seq", seq));
        }

        private String brief(Map<String, Object> order) {
            StringBuilder text = new StringBuilder(String.valueOf(order.get("op")));
            for (String field : List.of("version", "step", "fence", "expect")) {
                if (order.get(field) != null) text.append(' ').append(field).append(' ').append(order.get(field));
            }
            return text.toString();
        }

        /** Carries an order out as the page on engines says, and returns the status. */
        private int carryOut(Map<String, Object> order) {
            synchronized (RankGroup.this) {
                if (order.get("epoch") != null && (Long) order.get("epoch") != 1) return 409;
                if (order.get("expect") != null && (Long) order.get("expect") != seq) return 409;
                long givenFence = order.get("fence") == null ? 0 : (Long) order.get("fence");
                if (requiresFence && givenFence < fence) return 412;
                fence = Math.max(fence, givenFence);
                long version = order.get("version") == null ? -1 : (Long) order.get("version");
                long at = order.get("step") == null ? -1 : (Long) order.get("step");
                switch ((String) order.get("op")) {
                    case "prepare": return prepare(version, order);
                    case "arm":
                        if (armedVersion == version && armedStep == at) return 200;
                        if (preparedVersion != version || at <= step) return 409;
                        armedVersion = version;
                        armedStep = at;
                        seq++;
                        return 200;
                    case "disarm":
                        if (mapVersion == version) return 409;
                        if (armedVersion != version) return 200;
                        armedVersion = -1;
                        armedStep = -1;
                        seq++;
                        return 200;
                    case "hold":
                        if (heldStep == at) return 200;
                        if (heldStep >= 0 || at <= step) return 409;
                        heldStep = at;
                        seq++;
                        return 200;
                    case "go":
                        if (heldStep != at) return 200;
                        heldStep = -1;
                        seq++;
                        RankGroup.this.notifyAll();
                        return 200;
                    default: return 400;
                }
            }
        }

        @SuppressWarnings("unchecked")
        private int prepare(long version, Map<String, Object> order) {
            if (preparedVersion == version) return 200;
            if (preparingVersion == version) return 202;
            if (version <= highestVersion || armedVersion >= 0) return 409;
            List<List<List<Long>>> sent = (List<List<List<Long>>>) order.get("map");
            List<Set<Integer>> wanted = new ArrayList<>();
            int copies = 0;
            for (int set = 0; set < SETS; set++) {
                Set<Integer> held = new HashSet<>();
                for (long expert : sent.get(set).get(number)) held.add((int) expert);
                Set<Integer> added = new HashSet<>(held);
                added.removeAll(map.get(set));
                if (added.size() > SPARE || held.size() > PLACES) return 409;
                copies += added.size();
                wanted.add(held);
            }
            highestVersion = version;
            preparingVersion = version;
            seq++;
            timer.schedule(() -> {
                synchronized (RankGroup.this) {
                    if (preparingVersion != version) return;
                    preparingVersion = -1;
                    preparedVersion = version;
                    preparedMap = wanted;
                }
            }, (long) copies * COPY_MS, TimeUnit.MILLISECONDS);
            return 202;
        }
    }

    final int size;
    final boolean requiresFence;
    final List<Rank> ranks = new ArrayList<>();
    private final Record record;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, work -> {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    });
    volatile LateOrders lateOrders = (rank, op, order) -> -1;

    /** The last pass that was begun. */
    long step;

    /** Passes that began while two ranks had different maps. */
    int mixedPasses;

    /** The experts that most requests choose, by set. */
    private final List<List<Integer>> liked = new ArrayList<>();

    RankGroup(int size, boolean requiresFence, Record record) {
        this.size = size;
        this.requiresFence = requiresFence;
        this.record = record;
        Http.thread("passes", this::passes);
    }

    void add(String host, int port) throws IOException {
        ranks.add(new Rank(ranks.size(), host, port));
    }

    /** From now on, most requests choose experts that are on rank {@code number} and on few others. */
    synchronized void likeExpertsOf(int number) {
        List<List<Integer>> before = new ArrayList<>(liked);
        liked.clear();
        for (int set = 0; set < SETS; set++) {
            int of = set;
            List<Integer> held = new ArrayList<>(ranks.get(number).map.get(set));
            held.sort((a, b) -> Long.compare(holders(of, a), holders(of, b)));
            List<Integer> next = new ArrayList<>(held.subList(0, Math.min(4, held.size())));
            // One of four stays, so that the share that changes is 0.75.
            if (!before.isEmpty() && !next.contains(before.get(set).get(0))) next.set(0, before.get(set).get(0));
            liked.add(next);
        }
    }

    private long holders(int set, int expert) {
        return ranks.stream().filter(rank -> rank.map.get(set).contains(expert)).count();
    }

    synchronized int runningCount() {
        return ranks.stream().mapToInt(rank -> rank.running.size()).sum();
    }

    private void passes() throws Exception {
        while (true) {
            long passMs;
            synchronized (this) {
                if (ranks.size() < size || runningCount() == 0 || ranks.stream().anyMatch(rank -> rank.heldStep == step + 1)) {
                    wait(5);
                    continue;
                }
                beginPass();
                passMs = passMs();
            }
            Thread.sleep(passMs);
            synchronized (this) {
                for (Rank rank : ranks) endPass(rank);
                notifyAll();
            }
        }
    }

    private void beginPass() {
        step++;
        for (Rank rank : ranks) {
            if (rank.armedStep != step) continue;
            rank.mapVersion = rank.armedVersion;
            rank.map = rank.preparedMap;
            rank.armedVersion = -1;
            rank.armedStep = -1;
        }
        StringBuilder versions = new StringBuilder();
        for (Rank rank : ranks) versions.append(' ').append(rank.mapVersion);
        boolean isMixed = ranks.stream().anyMatch(rank -> rank.mapVersion != ranks.get(0).mapVersion) || !holdsAll();
        if (isMixed) {
            mixedPasses++;
            if (mixedPasses <= 3) record.add("RULE BROKEN, MAP: pass %d begins with the maps%s", step, versions);
        }
        for (Rank rank : ranks) {
            int tokens = rank.running.size() * 64;
            for (int set = 0; set < SETS && tokens > 0; set++) {
                for (int expert = 0; expert < EXPERTS; expert++) rank.counts[set * EXPERTS + expert] += tokens / 16;
                for (int expert : liked.get(set)) rank.counts[set * EXPERTS + expert] += tokens;
            }
        }
    }

    /** Time of a pass: the ranks' own part and, set by set, the part of the most loaded rank. */
    private long passMs() {
        double time = OWN_MS;
        for (int set = 0; set < SETS; set++) {
            double most = 0;
            double all = 0;
            for (Rank rank : ranks) {
                double load = 0;
                for (int expert : rank.map.get(set)) load += (liked.get(set).contains(expert) ? 1.0 : 1.0 / 16) / holders(set, expert);
                most = Math.max(most, load);
                all += load;
            }
            time += SET_MS * most / (all / size);
        }
        return (long) time;
    }

    /** Whether each expert of each set is on a rank, so that the ranks' maps are one whole map. */
    private boolean holdsAll() {
        for (int set = 0; set < SETS; set++) {
            Set<Integer> all = new HashSet<>();
            for (Rank rank : ranks) all.addAll(rank.map.get(set));
            if (all.size() < EXPERTS) return false;
        }
        return true;
    }

    private void endPass(Rank rank) {
        for (Iterator<Run> runs = rank.running.iterator(); runs.hasNext();) {
            Run run = runs.next();
            try {
                run.events++;
                run.connection.chunk(("id: " + run.events + "\ndata: " + run.id + "." + run.events + "\n\n").getBytes(StandardCharsets.UTF_8));
                if (run.events < EVENTS) continue;
                run.connection.endChunked();
            } catch (IOException e) {
                run.connection.close();
            }
            run.isOver = true;
            runs.remove();
        }
    }
}
