import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Model engines that are the ranks of one group, as PROTOCOL.md describes them.
 *
 * All ranks execute each pass together; a pass begins only while streams run and no rank holds it.
 * At the beginning of each pass the maps of the ranks are compared.
 */
final class RankGroup {
    static final int SETS = 2;
    static final int EXPERTS = 24;
    static final int PLACES = 8;
    static final int SPARE = 3;
    static final int COPY_MILLIS = 98;
    private static final int PASS_MILLIS = 40;

    private final Site site;
    private final String name = "g-1";
    private final long epoch = 1;
    private final boolean requireFence;
    private final List<Stream> streams = new ArrayList<>();
    final List<Rank> ranks = new ArrayList<>();
    private long step;
    /** Passes that began while two ranks had different maps. */
    private int mixedPasses;

    RankGroup(Site site, String service, int size, boolean requireFence, int relayPort) throws IOException {
        this.site = site;
        this.requireFence = requireFence;
        for (int rank = 0; rank < size; rank++) {
            ranks.add(new Rank(rank, size, service, "127.0.0." + (2 + rank), relayPort));
        }
        Http.daemon(this::runPasses);
    }

    static Map<String, Object> profile() {
        return Json.map("slots", 8, "kv_capacity", 186666, "stride", 4, "step_ms", 4.55, "per_seq_ms", 1.3575,
            "context_per_k", 0.02745, "read_per_s", 61400.0, "pairs_per_m", 0.525, "chunk", 512, "report_lag_ms", 200.0,
            "usual", Json.map("prompt", 835, "answer", 97), "sets", SETS, "experts", EXPERTS, "placements", PLACES,
            "spare", SPARE, "expert_mb", 2200.0, "link_mbps", 180000.0, "expert_share", 0.85, "form_ms", 600.0);
    }

    synchronized int mixedPasses() {
        return mixedPasses;
    }

    synchronized long step() {
        return step;
    }

    private static final class Stream {
        final Rank rank;
        final OutputStream out;
        int sent;
        boolean isOver;

        Stream(Rank rank, OutputStream out) {
            this.rank = rank;
            this.out = out;
        }
    }

    private void runPasses() throws InterruptedException {
        while (true) {
            Thread.sleep(PASS_MILLIS);
            synchronized (this) {
                if (streams.isEmpty() || ranks.stream().anyMatch(rank -> rank.held == step + 1)) continue;
                begin();
            }
        }
    }

    private void begin() {
        step++;
        for (Rank rank : ranks) {
            if (rank.armedStep == step) {
                rank.map = rank.armedVersion;
                rank.experts = rank.preparedExperts;
                rank.placement = rank.preparedPlacement;
                rank.armedStep = -1;
                site.note("pass " + step + ": rank " + rank.number + " switches to map " + rank.map);
            }
        }
        Set<Object> maps = new HashSet<>();
        for (Rank rank : ranks) maps.add(rank.map + " " + rank.placement);
        if (maps.size() > 1) {
            if (mixedPasses++ < 5) {
                StringBuilder versions = new StringBuilder();
                for (Rank rank : ranks) versions.append(" ").append(rank.map);
                site.note("pass " + step + " begins while the ranks have the maps" + versions + " MAP");
            }
        }
        for (Stream stream : new ArrayList<>(streams)) {
            stream.rank.count();
            emit(stream);
        }
    }

    private void emit(Stream stream) {
        try {
            String event = "id: " + (++stream.sent) + "\ndata: " + "x".repeat(65) + "\n\n";
            byte[] bytes = event.getBytes(StandardCharsets.US_ASCII);
            String chunk = Integer.toHexString(bytes.length) + "\r\n" + event + "\r\n";
            stream.out.write(Http.bytes(stream.sent < 24 ? chunk : chunk + "0\r\n\r\n"));
        } catch (IOException e) {
            stream.sent = 24;
        }
        if (stream.sent >= 24) {
            stream.isOver = true;
            streams.remove(stream);
            notifyAll();
        }
    }

    /** One engine. */
    final class Rank {
        final int number;
        final String id;
        final Http.Server server;
        final String host;
        private final String service;
        private final int size;
        private final long born = System.currentTimeMillis();
        private final Map<Long, Long> counts = new HashMap<>();
        private long map;
        private List<Set<Long>> experts = new ArrayList<>();
        /** The whole map that the rank was told, to compare the content. */
        private Object placement = 0;
        private long highestVersion;
        private long preparedVersion = -1;
        private long preparedAt;
        private List<Set<Long>> preparedExperts;
        private Object preparedPlacement;
        private long armedVersion;
        private long armedStep = -1;
        private long held = -1;
        private long seenFence;
        private long sequence;
        /** One arm is not answered and carried out so many milliseconds later; 0 for none. */
        int lateArmMillis;
        /** Whether an answer comes again where the one to an arm is expected. */
        boolean isExtraBeforeArm;
        private byte[] lastAnswer;
        private int lastStatus;

        private Rank(int number, int size, String service, String host, int relayPort) throws IOException {
            this.number = number;
            this.size = size;
            this.service = service;
            this.host = host;
            id = "i-rank" + number;
            for (int set = 0; set < SETS; set++) {
                Set<Long> held = new TreeSet<>();
                for (long expert = number; expert < EXPERTS; expert += size) held.add(expert);
                experts.add(held);
            }
            server = new Http.Server(host, 0, this::handle);
            // The entry changes when more than seq changes, so that heartbeats alone are not shown here.
            site.store.put("servers", id, row());
            Node.start("relay", "side-" + number, site.folder, Map.of("node_name", "side-" + number, "ip", host,
                "port_range.0", Integer.toString(relayPort), "app", server.address(), "metrics_port", "0"));
        }

        private Map<String, Object> group() {
            return Json.map("name", name, "epoch", epoch, "rank", number, "state", "open");
        }

        private Map<String, Object> row() {
            return Json.map("service", service, "addr", server.address(), "zone", "khomas-a", "version", "v1", "slots", 8,
                "state", "ready", "cold_left_ms", 0, "stage", "hybrid", "models",
                List.of(Json.map("name", "m", "version", 1, "adapters", List.of())), "seq", 1, "group", group(),
                "size", size, "born", born);
        }

        /** Counts what the requests of the rank chose: most tokens go to a few experts, to others every 5 s. */
        private void count() {
            long popular = Site.now() / 5_000 % size;
            for (long set = 0; set < SETS; set++) {
                for (long expert = 0; expert < EXPERTS; expert++) {
                    long tokens = expert % size == popular ? 20 : 2;
                    counts.merge(set * EXPERTS + expert, tokens, Long::sum);
                }
            }
        }

        private boolean handle(Http.Message request, Socket socket) throws Exception {
            String expected = request.header("Expect-Instance");
            if (expected != null && !expected.equals(id)) {
                socket.getOutputStream().write(Http.answer(421, new byte[0], "Instance-Id", id));
                return true;
            }
            switch (request.path()) {
                case "/report":
                    reply(socket, 200, report());
                    return true;
                case "/picked":
                    reply(socket, 200, request.parameter("lists") == null ? picked() : lists());
                    return true;
                case "/order":
                    return order(request, socket);
                default:
                    return stream(request, socket);
            }
        }

        private void reply(Socket socket, int status, Map<String, Object> body) throws IOException {
            byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
            socket.getOutputStream().write(Http.answer(status, bytes, "Content-Type", "application/json"));
        }

        private Map<String, Object> report() {
            synchronized (RankGroup.this) {
                Map<String, Object> report = Json.map("stage", "hybrid", "models",
                    List.of(Json.map("name", "m", "version", 1, "adapters", List.of())), "busy", false, "seq", sequence,
                    "queue_depth", 0, "in_flight", 1, "kv_used", 1000, "kv_total", 186666, "handles", 0, "born", born,
                    "group", group(), "size", size, "pace", 1.0, "step", step, "map", map);
                if (isPrepared()) report.put("prepared", preparedVersion);
                if (armedStep >= 0) report.put("armed", Json.map("version", armedVersion, "step", armedStep));
                if (held >= 0) report.put("held", held);
                return report;
            }
        }

        private boolean isPrepared() {
            return preparedVersion >= 0 && Site.now() >= preparedAt;
        }

        private Map<String, Object> picked() {
            synchronized (RankGroup.this) {
                List<Object> all = new ArrayList<>();
                for (long i = 0; i < SETS * EXPERTS; i++) all.add(counts.getOrDefault(i, 0L));
                return Json.map("step", step, "epoch", epoch, "counts", all);
            }
        }

        private Map<String, Object> lists() {
            synchronized (RankGroup.this) {
                return Json.map("step", step, "epoch", epoch, "map", Json.map("version", map, "experts", experts));
            }
        }

        private boolean order(Http.Message request, Socket socket) throws Exception {
            Map<String, Object> order = Json.object(request.text());
            boolean isArm = order.get("op").equals("arm");
            byte[] extra = null;
            int lateMillis = 0;
            synchronized (RankGroup.this) {
                // The answer that comes twice is one of 200, such as the one to a hold.
                boolean isSpoiled = isArm && lastStatus == 200;
                if (isSpoiled && isExtraBeforeArm) {
                    extra = lastAnswer;
                    isExtraBeforeArm = false;
                }
                if (isSpoiled && lateArmMillis > 0) {
                    lateMillis = lateArmMillis;
                    lateArmMillis = 0;
                }
            }
            if (extra != null) {
                site.note("rank " + number + " sends its last answer again before that to " + summary(order));
                socket.getOutputStream().write(extra);
            }
            if (lateMillis > 0) {
                site.note("rank " + number + " leaves " + summary(order) + " unanswered, to carry it out " + lateMillis
                    + " ms later");
                int delay = lateMillis;
                Http.daemon(() -> {
                    Thread.sleep(delay);
                    site.note("rank " + number + " carries out late: " + summary(order) + " -> " + carryOut(order));
                });
                // Nothing follows on the connection of an order that is left unanswered.
                Thread.sleep(Long.MAX_VALUE);
                return false;
            }
            int status = carryOut(order);
            site.note("rank " + number + " gets " + summary(order) + " -> " + status);
            List<String> headers = new ArrayList<>(List.of("Content-Type", "application/json"));
            String attempt = request.header("Attempt-Id");
            if (attempt != null) headers.addAll(List.of("Attempt-Id", attempt));
            byte[] answer = Http.answer(status, Http.bytes("{}"), headers.toArray(new String[0]));
            lastAnswer = answer;
            lastStatus = status;
            socket.getOutputStream().write(answer);
            return true;
        }

        private String summary(Map<String, Object> order) {
            String step = order.get("step") == null ? "" : " step " + order.get("step");
            String version = order.get("version") == null ? "" : " version " + order.get("version");
            return order.get("op") + version + step + " fence " + order.get("fence");
        }

        @SuppressWarnings("unchecked")
        private int carryOut(Map<String, Object> order) {
            synchronized (RankGroup.this) {
                Object orderEpoch = order.get("epoch");
                if (orderEpoch != null && (Long) orderEpoch != epoch) return 409;
                long fence = (Long) order.getOrDefault("fence", 0L);
                if (requireFence && fence < seenFence) return 412;
                seenFence = Math.max(seenFence, fence);
                long version = (Long) order.getOrDefault("version", -1L);
                long at = (Long) order.getOrDefault("step", -1L);
                switch ((String) order.get("op")) {
                    case "prepare":
                        sequence++;
                        return prepare(version, (List<List<List<Long>>>) order.get("map"));
                    case "arm":
                        if (armedStep == at && armedVersion == version) return 200;
                        if (!isPrepared() || preparedVersion != version || at <= step) return 409;
                        armedVersion = version;
                        armedStep = at;
                        return 200;
                    case "disarm":
                        if (version == map) return 409;
                        if (armedVersion == version) armedStep = -1;
                        return 200;
                    case "hold":
                        if (at <= step || (held >= 0 && held != at)) return 409;
                        held = at;
                        return 200;
                    case "go":
                        if (held == at) held = -1;
                        return 200;
                    default:
                        return 400;
                }
            }
        }

        private int prepare(long version, List<List<List<Long>>> whole) {
            if (version == preparedVersion && whole.equals(preparedPlacement)) return isPrepared() ? 200 : 202;
            if (version <= highestVersion || armedStep >= 0) return 409;
            List<Set<Long>> mine = new ArrayList<>();
            int copies = 0;
            for (int set = 0; set < SETS; set++) {
                Set<Long> next = new TreeSet<>(whole.get(set).get(number));
                Set<Long> added = new TreeSet<>(next);
                added.removeAll(experts.get(set));
                if (added.size() > SPARE || next.size() > PLACES) return 409;
                copies += added.size();
                mine.add(next);
            }
            highestVersion = version;
            preparedVersion = version;
            preparedExperts = mine;
            preparedPlacement = whole;
            preparedAt = Site.now() + (long) copies * COPY_MILLIS;
            return copies == 0 ? 200 : 202;
        }

        private boolean stream(Http.Message request, Socket socket) throws Exception {
            String attempt = request.header("Attempt-Id");
            OutputStream out = socket.getOutputStream();
            out.write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " + attempt
                + "\r\nAnswer-Stamp: " + Site.stamp(id, attempt) + "\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n"
                + "Connection: close\r\n\r\n"));
            Stream stream = new Stream(this, out);
            synchronized (RankGroup.this) {
                streams.add(stream);
                while (!stream.isOver) RankGroup.this.wait();
            }
            return false;
        }
    }
}
