import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * A group of model engines, each on a machine of its own, which execute all passes together.
 *
 * Speaks what PROTOCOL.md says of streams, /report, /picked and /order. An idle group makes no passes.
 */
final class Ranks implements Closeable {
    static final int RANKS = 4;
    static final int SETS = 2;
    static final int EXPERTS = 16;
    static final int PLACEMENTS = 6;
    static final int SPARE = 4;
    private static final int PASS_MILLIS = 30;
    private static final int COPY_MILLIS = 400;
    private static final int TOKENS_PER_PASS = 48;

    /** Decides what happens to an order that is about to be carried out. */
    interface Trouble {
        /** Returns whether the order gets no answer; the trouble then carries it out later, or never. */
        boolean withholds(Rank rank, Map<String, Object> order);
    }

    /** One rank. All state is guarded by the group. */
    final class Rank implements Closeable {
        final int number;
        final String id;
        final String host;
        private final Http.Server server;
        private List<List<Integer>> experts = new ArrayList<>();
        private List<List<List<Integer>>> map;
        private long version = 0;
        private long highestVersion = 0;
        private long preparedVersion = -1;
        private List<List<List<Integer>>> prepared;
        private long preparedAt;
        private long armedVersion = -1;
        private long armedStep = -1;
        private long held = -1;
        private long fence = 0;
        private long seq = 0;
        private final long[] counts = new long[SETS * EXPERTS];

        Rank(int number) throws IOException {
            this.number = number;
            id = "i-rank" + number;
            host = "127.0.2." + (number + 1);
            map = initialMap();
            server = new Http.Server(host, 0, this::handle);
        }

        String address() {
            return server.address();
        }

        private boolean handle(Http.Message request, Socket socket, OutputStream out) throws Exception {
            String expected = request.header("expect-instance");
            if (expected != null && !expected.equals(id)) {
                Http.answer(out, "421 Misdirected Request", "Instance-Id: " + id + "\r\n", new byte[0]);
                return true;
            }
            switch (request.path()) {
                case "/report": Http.json(out, "200 OK", report()); return true;
                case "/picked": Http.json(out, "200 OK", picked(request.query("lists") != null)); return true;
                case "/order": return order(request, out);
                default: return stream(request, out);
            }
        }

        private String report() {
            synchronized (Ranks.this) {
                return "{\"stage\":\"hybrid\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,\"seq\":" + seq +
                    ",\"queue_depth\":0,\"in_flight\":" + streams.size() + ",\"kv_used\":0,\"kv_total\":186666,\"handles\":0," +
                    "\"group\":{\"name\":\"g1\",\"epoch\":1,\"rank\":" + number + ",\"state\":\"open\"},\"size\":" + RANKS +
                    ",\"step\":" + step + ",\"map\":" + version +
                    (isPrepared() ? ",\"prepared\":" + preparedVersion : "") +
                    (armedVersion >= 0 ? ",\"armed\":{\"version\":" + armedVersion + ",\"step\":" + armedStep + "}" : "") +
                    (held >= 0 ? ",\"held\":" + held : "") + ",\"pace\":1.0}";
            }
        }

        private String picked(boolean lists) {
            synchronized (Ranks.this) {
                String start = "{\"step\":" + step + ",\"epoch\":1,";
                if (!lists) return start + "\"counts\":" + java.util.Arrays.toString(counts) + "}";
                List<List<Integer>> own = new ArrayList<>();
                for (List<List<Integer>> set : map) own.add(set.get(number));
                return start + "\"map\":{\"version\":" + version + ",\"experts\":" + own + "}}";
            }
        }

        private boolean order(Http.Message request, OutputStream out) throws Exception {
            Map<String, Object> order = Json.object(request.text());
            String text = "rank " + number + ": " + order.get("op") +
                (order.get("version") == null ? "" : " " + order.get("version")) +
                (order.get("step") == null ? "" : " at " + order.get("step")) + ", fence " + order.get("fence");
            if (trouble.withholds(this, order)) {
                record.write(text + " -> no answer; carried out later");
                // The connection stays open without an answer until the other side gives it up.
                return true;
            }
            String status = carryOut(order);
            record.write(text + " -> " + status);
            Http.json(out, status, "{}");
            return true;
        }

        /** Carries [order] out now; returns the status of the answer. */
        @SuppressWarnings("unchecked")
        String carryOut(Map<String, Object> order) {
            synchronized (Ranks.this) {
                long given = order.get("fence") == null ? 0 : (Long) order.get("fence");
                if (areFencesChecked && given < fence) return "412 Precondition Failed";
                fence = Math.max(fence, given);
                if (order.get("epoch") != null && (Long) order.get("epoch") != 1) return "409 Conflict";
                if (order.get("expect") != null && (Long) order.get("expect") != seq) return "409 Conflict";
                long wanted = order.get("version") == null ? -1 : (Long) order.get("version");
                long at = order.get("step") == null ? -1 : (Long) order.get("step");
                switch ((String) order.get("op")) {
                    case "prepare": return prepare(wanted, (List<List<List<Integer>>>) (List<?>) integers((List<Object>) order.get("map")));
                    case "arm":
                        if (armedVersion == wanted && armedStep == at) return "200 OK";
                        if (!isPrepared() || preparedVersion != wanted || at <= step) return "409 Conflict";
                        armedVersion = wanted;
                        armedStep = at;
                        break;
                    case "disarm":
                        if (wanted == version) return "409 Conflict";
                        if (armedVersion != wanted) return "200 OK";
                        armedVersion = -1;
                        armedStep = -1;
                        break;
                    case "hold":
                        if (held == at) return "200 OK";
                        if (held >= 0 || at <= step) return "409 Conflict";
                        held = at;
                        break;
                    case "go":
                        if (held >= 0 && held != at) return "409 Conflict";
                        held = -1;
                        break;
                    default: return "400 Bad Request";
                }
                seq++;
                Ranks.this.notifyAll();
                return "200 OK";
            }
        }

        private String prepare(long wanted, List<List<List<Integer>>> next) {
            if (wanted == preparedVersion) return isPrepared() ? "200 OK" : "202 Accepted";
            if (armedVersion >= 0 || wanted <= highestVersion) return "409 Conflict";
            int copies = 0;
            for (int set = 0; set < SETS; set++) {
                Set<Integer> added = new HashSet<>(next.get(set).get(number));
                added.removeAll(map.get(set).get(number));
                if (added.size() > SPARE || next.get(set).get(number).size() > PLACEMENTS) return "409 Conflict";
                copies += added.size();
            }
            highestVersion = wanted;
            preparedVersion = wanted;
            prepared = next;
            preparedAt = System.nanoTime() + copies * COPY_MILLIS * 1_000_000L;
            seq++;
            return copies == 0 ? "200 OK" : "202 Accepted";
        }

        private boolean isPrepared() {
            return preparedVersion >= 0 && System.nanoTime() >= preparedAt;
        }

        private boolean stream(Http.Message request, OutputStream out) throws Exception {
            String attempt = request.header("attempt-id");
            String last = request.header("last-event-id");
            Stream stream = new Stream(this, attempt, last == null ? 0 : Integer.parseInt(last));
            out.write(Http.bytes("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nAnswer-Stamp: s." + attempt +
                "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
            out.flush();
            synchronized (Ranks.this) {
                streams.add(stream);
                Ranks.this.notifyAll();
            }
            try {
                for (int event = stream.from + 1; event <= EVENTS; event++) {
                    if (!stream.awaitEvent(event)) return false;
                    String text = "id: " + event + "\ndata: token\n\n";
                    out.write(Http.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
                    out.flush();
                }
                out.write(Http.bytes("0\r\n\r\n"));
                out.flush();
                record.write("rank " + number + " ran " + attempt + " to its end");
                return true;
            } finally {
                synchronized (Ranks.this) {
                    streams.remove(stream);
                }
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    private final class Stream {
        final Rank rank;
        final String attempt;
        final int from;
        private int made;

        Stream(Rank rank, String attempt, int from) {
            this.rank = rank;
            this.attempt = attempt;
            this.from = from;
            made = from;
        }

        /** Waits until [event] is made; false if it isn't within 20 s, when no client waits any more. */
        boolean awaitEvent(int event) throws InterruptedException {
            long end = System.nanoTime() + 20_000_000_000L;
            synchronized (Ranks.this) {
                while (made < event) {
                    long left = (end - System.nanoTime()) / 1_000_000;
                    if (left <= 0 || isClosed) return false;
                    Ranks.this.wait(left);
                }
                return true;
            }
        }
    }

    static final int EVENTS = 16;
    private final Record record;
    private final boolean areFencesChecked;
    private final Set<Stream> streams = new LinkedHashSet<>();
    private final Random random = new Random(1);
    final List<Rank> ranks = new ArrayList<>();
    volatile Trouble trouble = (rank, order) -> false;
    private long step = 0;
    private int shift = 0;
    private boolean isClosed = false;
    private int mapChanges = 0;
    /** Passes that began while two ranks had different maps. */
    final List<String> mixedPasses = new ArrayList<>();

    Ranks(Record record, boolean areFencesChecked) throws IOException {
        this.record = record;
        this.areFencesChecked = areFencesChecked;
        for (int number = 0; number < RANKS; number++) ranks.add(new Rank(number));
        Http.daemon(this::run);
    }

    /** Other experts are in demand from now on. */
    synchronized void shiftDemand() {
        shift++;
    }

    synchronized long step() {
        return step;
    }

    synchronized int mapChanges() {
        return mapChanges;
    }

    synchronized boolean isIdle() {
        return streams.isEmpty();
    }

    private void run() {
        try {
            while (true) {
                pass();
                Thread.sleep(PASS_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void pass() throws InterruptedException {
        while (!isClosed && (streams.stream().allMatch(stream -> stream.made >= EVENTS) || isHeld())) wait();
        if (isClosed) throw new InterruptedException();
        step++;
        boolean isSwitched = false;
        for (Rank rank : ranks) {
            if (rank.armedVersion < 0 || rank.armedStep > step) continue;
            rank.version = rank.armedVersion;
            rank.map = rank.prepared;
            rank.armedVersion = -1;
            rank.armedStep = -1;
            isSwitched = true;
        }
        if (isSwitched) mapChanges++;
        Rank first = ranks.get(0);
        boolean isMixed = ranks.stream().anyMatch(rank -> rank.version != first.version || !rank.map.equals(first.map));
        if (isSwitched || isMixed) {
            StringBuilder versions = new StringBuilder();
            for (Rank rank : ranks) versions.append(' ').append(rank.version);
            record.write("pass " + step + " begins with the maps" + versions + (isMixed ? ": NOT THE SAME" : ""));
            if (isMixed) mixedPasses.add("pass " + step + " with" + versions);
        }
        for (Stream stream : streams) {
            if (stream.made >= EVENTS) continue;
            stream.made++;
            for (int set = 0; set < SETS; set++) {
                for (int token = 0; token < TOKENS_PER_PASS; token++) stream.rank.counts[set * EXPERTS + chosen(set)]++;
            }
        }
        notifyAll();
    }

    private boolean isHeld() {
        return ranks.stream().anyMatch(rank -> rank.held == step + 1);
    }

    /** A few experts are liked much more than the others; which ones changes with [shiftDemand]. */
    private int chosen(int set) {
        double drawn = random.nextDouble();
        int place = drawn < 0.35 ? 0 : drawn < 0.6 ? 1 : drawn < 0.75 ? 2 : random.nextInt(EXPERTS);
        return (place + 5 * shift + 3 * set) % EXPERTS;
    }

    private static List<List<List<Integer>>> initialMap() {
        List<List<List<Integer>>> map = new ArrayList<>();
        for (int set = 0; set < SETS; set++) {
            List<List<Integer>> byRank = new ArrayList<>();
            for (int rank = 0; rank < RANKS; rank++) {
                List<Integer> experts = new ArrayList<>();
                for (int expert = rank; expert < EXPERTS; expert += RANKS) experts.add(expert);
                byRank.add(experts);
            }
            map.add(byRank);
        }
        return map;
    }

    private static List<Object> integers(List<Object> list) {
        List<Object> converted = new ArrayList<>();
        for (Object entry : list) {
            converted.add(entry instanceof List ? integers((List<Object>) cast(entry)) : (Object) ((Long) entry).intValue());
        }
        return converted;
    }

    @SuppressWarnings("unchecked")
    private static List<Object> cast(Object entry) {
        return (List<Object>) entry;
    }

    /** The row of [rank] in the table of servers. */
    String row(Rank rank, String zone) {
        return "{\"service\":\"draft-model\",\"addr\":\"" + rank.address() + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":8," +
            "\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"hybrid\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"seq\":1," +
            "\"born\":" + System.currentTimeMillis() + ",\"group\":{\"name\":\"g1\",\"epoch\":1,\"rank\":" + rank.number +
            ",\"state\":\"open\"},\"size\":" + RANKS + "}";
    }

    /** A route of streams and the service of the group, in the words of a configuration. */
    static String route() {
        return "{\"name\":\"drafts\",\"host\":\"desk.example\",\"prefix\":\"/drafts/\",\"kind\":\"stream\",\"timeout_ms\":8000,\"goal_ms\":501," +
            "\"priority\":1,\"service\":\"draft-model\",\"max_attempts\":2,\"no_auth\":false,\"sticky\":true,\"can_resume\":true," +
            "\"gap_target_ms\":120}";
    }

    static String service() {
        return "{\"name\":\"draft-model\",\"health_path\":\"/healthz\",\"max_conns\":408,\"protocol\":\"h1\",\"tls\":false,\"cold_s\":3.0," +
            "\"cold_per_s\":36.0,\"engine\":{\"slots\":8,\"kv_capacity\":186666,\"token_kv_bytes\":52704,\"link_mbps\":44000.0,\"stride\":4," +
            "\"models\":[{\"name\":\"m\"}],\"step_ms\":4.55,\"per_seq_ms\":1.3575,\"context_per_k\":0.027,\"read_per_s\":61400.0," +
            "\"pairs_per_m\":0.525,\"chunk\":512,\"report_lag_ms\":200.0,\"loads_per_s\":0.0,\"loads_at_once\":8,\"delays\":[]," +
            "\"usual\":{\"prompt\":835,\"answer\":97},\"sets\":" + SETS + ",\"experts\":" + EXPERTS + ",\"placements\":" + PLACEMENTS +
            ",\"spare\":" + SPARE + ",\"expert_mb\":2200.0,\"expert_share\":0.85,\"form_ms\":600.0}}";
    }

    @Override
    public void close() throws IOException {
        synchronized (this) {
            isClosed = true;
            notifyAll();
        }
        for (Rank rank : ranks) rank.close();
    }
}
