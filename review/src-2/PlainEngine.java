import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound engine of a plain service: it works on a request for a fixed time and signs its answer. */
final class PlainEngine {
    /** One request that the engine began to run. */
    record Run(long at, String method, String target, String attempt, int bodyBytes) {
    }

    final String id;
    final String service;
    final String zone;
    final Http.Server server;
    final ConcurrentLinkedQueue<Run> runs = new ConcurrentLinkedQueue<>();
    private final Site site;
    private final int slots;
    private final Semaphore free;
    private final AtomicInteger waiting = new AtomicInteger();
    volatile int workMillis;
    volatile int answerBytes = 800;
    /** A request whose body begins with this crashes each engine that begins to run it; null for none. */
    volatile String poison;
    /** Version of the weights of a model engine; 0 for an engine of a plain service. */
    volatile int weights;

    PlainEngine(Site site, String id, String service, String zone, int slots, int workMillis) throws IOException {
        this.site = site;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.workMillis = workMillis;
        free = new Semaphore(slots, true);
        server = new Http.Server(Site.HOST, 0, this::handle);
        register();
    }

    /** The entry changes when more than seq changes, so that heartbeats alone are not shown here. */
    private void register() {
        register("ready");
    }

    private void register(String state) {
        site.store.put("servers", id, Json.map("service", service, "addr", server.address(), "zone", zone, "version",
            "v1", "slots", slots, "state", state, "cold_left_ms", 0, "seq", 1, "born", System.currentTimeMillis()));
    }

    /** Leaves without a report: its entry is removed, and it continues to serve for a while. */
    void unregister() {
        site.store.remove("servers", id);
    }

    /** Reports that it leaves, serves for 4 s more, and exits. */
    void drain() {
        register("draining");
        Http.daemon(() -> {
            Thread.sleep(4_000);
            unregister();
            crash();
        });
    }

    /** The process ends: its connections are reset and its port refuses. */
    void crash() throws IOException {
        server.crash();
    }

    /** The engine starts again under its id. */
    void restart() throws IOException {
        server.restart();
        register();
    }

    /** Crashes the engine, which is back 2 s later. */
    private void crashFor2Seconds() throws IOException {
        crash();
        Http.daemon(() -> {
            Thread.sleep(2_000);
            restart();
        });
    }

    private boolean handle(Http.Message request, Socket socket) throws Exception {
        String attempt = request.header("Attempt-Id");
        String expected = request.header("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            socket.getOutputStream().write(Http.answer(421, new byte[0], "Instance-Id", id));
            return true;
        }
        String version = request.header("Expect-Version");
        if (weights > 0 && version != null && !version.equals(Integer.toString(weights))) {
            socket.getOutputStream().write(Http.answer(421, new byte[0], "Attempt-Id", attempt, "Not-Run", "1", "At-Server", id));
            return true;
        }
        if (request.path().equals("/healthz")) {
            socket.getOutputStream().write(Http.answer(200, new byte[0], "Instance-Id", id));
            return true;
        }
        waiting.incrementAndGet();
        free.acquire();
        waiting.decrementAndGet();
        try {
            runs.add(new Run(Site.now(), request.method(), request.target(), attempt, request.body().length));
            if (poison != null && request.text().startsWith(poison)) {
                site.note("engine " + id + " begins to run " + attempt + " and crashes");
                crashFor2Seconds();
                return false;
            }
            Thread.sleep(workMillis);
        } finally {
            free.release();
        }
        if (weights > 0) return stream(attempt, socket);
        byte[] body = new byte[request.method().equals("HEAD") ? 0 : answerBytes];
        java.util.Arrays.fill(body, (byte) 'x');
        String load = (slots - free.availablePermits()) + "," + waiting.get() + "," + slots;
        socket.getOutputStream().write(Http.answer(200, body, "Attempt-Id", attempt, "Answer-Stamp",
            Site.stamp(id, attempt), "Engine-Load", load, "Keep-Alive", "timeout=5"));
        return true;
    }

    /** Answers with a short stream of events. */
    private boolean stream(String attempt, Socket socket) throws Exception {
        socket.getOutputStream().write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: "
            + attempt + "\r\nAnswer-Stamp: " + Site.stamp(id, attempt) + "\r\nWeight-Versions: " + weights
            + "\r\nTransfer-Encoding: chunked\r\n\r\n"));
        for (int i = 1; i <= 6; i++) {
            Thread.sleep(20);
            String event = "id: " + i + "\ndata: " + "x".repeat(65) + "\n\n";
            String chunk = Integer.toHexString(event.length()) + "\r\n" + event + "\r\n" + (i == 6 ? "0\r\n\r\n" : "");
            socket.getOutputStream().write(Http.bytes(chunk));
        }
        return true;
    }
}
