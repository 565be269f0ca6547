import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server books an order and then fails its request with 503, without Not-Run. */
final class Refused extends Case {
    private final Map<String, String> statusByRun = new ConcurrentHashMap<>();
    private final Set<String> orders = ConcurrentHashMap.newKeySet();
    private final List<String> twice = new ArrayList<>();
    private int greyRuns = 0;
    private int greyFailures = 0;
    private volatile double greyFrom = Double.MAX_VALUE;

    public static void main(String[] arguments) {
        new Refused().main();
    }

    @Override
    boolean play() throws Exception {
        Store store = keep(new Store("127.0.0.1", record));
        store.put("op", "config", configuration(7, 4000));
        for (int number = 1; number <= 3; number++) {
            String id = "i-server" + number;
            boolean mayFail = number == 1;
            Http.Server server = keep(new Http.Server("127.0.0.1", 0,
                (request, socket, out) -> serve(id, mayFail, request, out)));
            store.put("servers", id, server(server.address(), "khomas-a"));
        }
        Node.Ports ports = new Node.Ports("127.0.0.1");
        Node gateway = keep(Node.gateway(root, temporary, "edge-khomas-a-1", ports, "khomas-a", store.address(),
            "[\"" + ports.peers + "\"]", Node.Ports.free("127.0.0.1"), true));
        gateway.start();
        require(Node.awaitReady(ports.readiness, 20), "the entry isn't ready");
        Thread.sleep(3000);
        List<String> broken = new ArrayList<>();
        for (int order = 1; order <= 100; order++) {
            if (isTroubled && order == 21) greyFrom = record.seconds();
            book(ports.callers, "order-" + order, broken);
            Thread.sleep(100);
        }
        record.write(statusByRun.size() + " requests were run, " + broken.size() +
            " of them were answered with a status that promises that they were not");
        record.write(twice.size() + " orders were booked twice: " + twice);
        require(statusByRun.size() >= 100, "too few requests were run");
        return broken.isEmpty();
    }

    private boolean serve(String id, boolean mayFail, Http.Message request, OutputStream out) throws Exception {
        String attempt = request.header("attempt-id");
        if (!id.equals(request.header("expect-instance"))) {
            Http.answer(out, "421 Misdirected Request", "Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        Thread.sleep(40);
        String status = mayFail && failsNow() ? "503 Service Unavailable" : "200 OK";
        statusByRun.put(attempt, status);
        record.write(id + " runs " + attempt + ", books " + request.text() + " and answers " + status);
        if (!orders.add(request.text())) twice.add(request.text());
        Http.answer(out, status, "Attempt-Id: " + attempt + "\r\nAnswer-Stamp: s." + attempt + "\r\n", Http.bytes("{}"));
        return true;
    }

    /** Whether the grey server fails this request: 0.45 of its requests at most, for less than 6.5 s. */
    private synchronized boolean failsNow() {
        double greyFor = record.seconds() - greyFrom;
        if (greyFor < 0 || greyFor > 6.4) return false;
        greyRuns++;
        if (greyFailures + 1 > 0.45 * greyRuns) return false;
        greyFailures++;
        return true;
    }

    /** Sends an order and, after a promise that it was not run, once more, as the users' clients do. */
    private void book(String callers, String order, List<String> broken) {
        for (int number = 1; number <= 2; number++) {
            String attempt = order + "-" + number;
            String request = "POST /orders/book HTTP/1.1\r\nHost: desk.example\r\nCredential: key-1\r\n" +
                "Attempt-Id: " + attempt + "\r\nDeadline-Ms: 4000\r\nContent-Length: " + order.length() + "\r\n\r\n" + order;
            Http.Message answer = Http.call(callers, Http.bytes(request), 4500);
            int status = answer == null ? 0 : answer.status();
            record.write("client sent " + attempt + " and got " + (answer == null ? "no answer" : answer.startLine));
            boolean isPromise = status == 503 || status == 429 || status == 408 || status == 421;
            if (isPromise && statusByRun.containsKey(attempt)) broken.add(attempt);
            if (!isPromise) return;
        }
    }
}
