import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A server answers a long request early and without a length; the connection is reset in the middle of the answer. */
final class BrokenOff extends Case {
    private static final int REQUESTS = 60;
    /** Within the 4,194,304 bytes that the configuration allows. */
    private static final int BODY_BYTES = 4_190_000;
    private static final int ANSWER_BYTES = 800;
    /** Small, so that a part of the request waits in the entry, as it does on a link slower than loopback. */
    private static final int RECEIVE_BUFFER_BYTES = 8_192;
    private final Map<String, String> runs = new ConcurrentHashMap<>();
    private final List<String> resets = Collections.synchronizedList(new ArrayList<>());
    private volatile double greyFrom = Double.MAX_VALUE;
    private int greyRuns = 0;
    private int greyFailures = 0;

    public static void main(String[] arguments) {
        new BrokenOff().main();
    }

    @Override
    boolean play() throws Exception {
        Store store = keep(new Store("127.0.0.1", record));
        store.put("op", "config", configuration(7, 4000));
        for (int number = 1; number <= 3; number++) {
            String id = "i-server" + number;
            boolean mayFail = number == 1;
            ServerSocket listening = keep(new ServerSocket());
            listening.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            listening.bind(new InetSocketAddress("127.0.0.1", 0), 64);
            Http.daemon(() -> accept(listening, id, mayFail));
            store.put("servers", id, server("127.0.0.1:" + listening.getLocalPort(), "khomas-a"));
        }
        Node.Ports ports = new Node.Ports("127.0.0.1");
        Node gateway = keep(Node.gateway(root, temporary, "edge-khomas-a-1", ports, "khomas-a", store.address(),
            "[\"" + ports.peers + "\"]", Node.Ports.free("127.0.0.1"), true));
        gateway.start();
        require(Node.awaitReady(ports.readiness, 20), "the entry isn't ready");
        Thread.sleep(3000);
        List<String> broken = new ArrayList<>();
        int whole = 0;
        for (int number = 1; number <= REQUESTS; number++) {
            if (isTroubled && number == 11) greyFrom = record.seconds();
            if (send(ports.callers, "order-" + number, broken)) whole++;
            Thread.sleep(100);
        }
        record.write(runs.size() + " requests were run, " + whole + " successes were whole, " + resets.size() + " answers were reset, " +
            broken.size() + " successes lacked a part: " + broken);
        require(isTroubled ? !resets.isEmpty() : whole == REQUESTS, "too few answers");
        return broken.isEmpty();
    }

    private void accept(ServerSocket listening, String id, boolean mayFail) {
        while (!listening.isClosed()) {
            try {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                Http.daemon(() -> serve(socket, id, mayFail));
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Answers before the body has been read, without a length, and reads the rest of the request meanwhile. */
    private void serve(Socket socket, String id, boolean mayFail) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Map<String, String> headers = Http.head(in);
            if (headers == null) return;
            String attempt = headers.get("attempt-id");
            if (attempt == null || !id.equals(headers.get("expect-instance"))) {
                Http.answer(out, "421 Misdirected Request", "Instance-Id: " + id + "\r\nConnection: close\r\n", new byte[0]);
                return;
            }
            boolean fails = mayFail && failsNow();
            runs.put(attempt, id);
            String answer = answer(attempt);
            out.write(Http.bytes("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nAnswer-Stamp: s." + attempt +
                "\r\nConnection: close\r\n\r\n" + answer.substring(0, ANSWER_BYTES / 2)));
            out.flush();
            Thread.sleep(60);
            if (fails) {
                record.write(id + " runs " + attempt + "; the connection is reset after half of the answer");
                resets.add(attempt);
                socket.setSoLinger(true, 0);
                return;
            }
            in.skipNBytes(Integer.parseInt(headers.get("content-length")));
            out.write(Http.bytes(answer.substring(ANSWER_BYTES / 2)));
            out.flush();
            record.write(id + " runs " + attempt + " and answers whole");
        } catch (Exception e) {
            record.write(id + ": " + e);
        }
    }

    /** Whether the grey server fails this request: 0.45 of its requests at most, for less than 6.5 s. */
    private synchronized boolean failsNow() {
        double greyFor = record.seconds() - greyFrom;
        if (greyFor < 0 || greyFor > 6.2) return false;
        greyRuns++;
        if (greyFailures + 1 > 0.45 * greyRuns) return false;
        greyFailures++;
        return true;
    }

    private static String answer(String attempt) {
        StringBuilder text = new StringBuilder("{\"booked\":\"" + attempt + "\",\"lines\":\"");
        while (text.length() < ANSWER_BYTES - 2) text.append((char) ('a' + text.length() % 26));
        return text + "\"}";
    }

    /** Sends an order with a long body; returns whether its client got a success with the whole answer. */
    private boolean send(String callers, String attempt, List<String> broken) {
        byte[] head = Http.bytes("POST /orders/book HTTP/1.1\r\nHost: desk.example\r\nCredential: key-1\r\nAttempt-Id: " + attempt +
            "\r\nDeadline-Ms: 4000\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
        byte[] request = java.util.Arrays.copyOf(head, head.length + BODY_BYTES);
        java.util.Arrays.fill(request, head.length, request.length, (byte) 'x');
        Http.Message answer = Http.call(callers, request, 5000);
        record.write("client sent " + attempt + " and got " + (answer == null ? "no complete answer" :
            answer.startLine + ", " + answer.headers + ", " + answer.body.length + " bytes"));
        if (answer == null || answer.status() != 200) return false;
        boolean isWhole = answer.text().equals(answer(attempt));
        if (!isWhole) broken.add(attempt);
        return isWhole;
    }
}
