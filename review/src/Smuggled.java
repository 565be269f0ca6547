import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A client names a transfer coding that isn't chunks; what it sends as a body looks like a request. */
final class Smuggled extends Case {
    private final List<Http.Message> runs = Collections.synchronizedList(new ArrayList<>());

    public static void main(String[] arguments) {
        new Smuggled().main();
    }

    @Override
    boolean play() throws Exception {
        Store store = keep(new Store("127.0.0.1", record));
        store.put("op", "config", configuration(7, 4000));
        Http.Server server = keep(new Http.Server("127.0.0.1", 0, this::serve));
        store.put("servers", "i-server1", server(server.address(), "khomas-a"));
        Node.Ports ports = new Node.Ports("127.0.0.1");
        Node gateway = keep(Node.gateway(root, temporary, "edge-khomas-a-1", ports, "khomas-a", store.address(),
            "[\"" + ports.peers + "\"]", Node.Ports.free("127.0.0.1"), true));
        gateway.start();
        require(Node.awaitReady(ports.readiness, 20), "the entry isn't ready");
        Map<String, String> sent = new HashMap<>();
        String[] codings = isTroubled ? new String[] {"identity", "deflate", "xchunked"} : new String[] {"chunked"};
        for (String coding : codings) {
            for (int number = 1; number <= 5; number++) {
                String attempt = coding + "-" + number;
                String inner = "POST /orders/book HTTP/1.1\r\nHost: desk.example\r\nCredential: key-1\r\n" +
                    "Attempt-Id: inside-" + attempt + "\r\nContent-Length: 0\r\n\r\n";
                String body = isTroubled ? inner : Integer.toHexString(inner.length()) + "\r\n" + inner + "\r\n0\r\n\r\n";
                String request = "POST /orders/note HTTP/1.1\r\nHost: desk.example\r\nCredential: key-1\r\n" +
                    "Attempt-Id: " + attempt + "\r\nDeadline-Ms: 4000\r\nTransfer-Encoding: " + coding + "\r\n\r\n" + body;
                sent.put(attempt, inner);
                record.write("client sends one request, " + attempt + ", with Transfer-Encoding: " + coding);
                record.write("  and gets " + exchange(ports.callers, Http.bytes(request)));
            }
        }
        List<String> broken = new ArrayList<>();
        for (Http.Message run : runs) {
            String attempt = run.header("attempt-id");
            String body = sent.get(attempt);
            if (body == null) broken.add(attempt + " was inside another request");
            else if (!body.equals(new String(run.body, "ISO-8859-1"))) broken.add(attempt + " was run with another body");
        }
        broken.forEach(record::write);
        if (!isTroubled) require(runs.size() == 5, "the requests were not run");
        return broken.isEmpty();
    }

    private boolean serve(Http.Message request, Socket socket, OutputStream out) throws Exception {
        String attempt = request.header("attempt-id");
        runs.add(request);
        record.write("server runs " + request.startLine + ", Attempt-Id " + attempt + ", body of " + request.body.length + " bytes");
        Http.answer(out, "200 OK", "Attempt-Id: " + attempt + "\r\nAnswer-Stamp: s." + attempt + "\r\n", Http.bytes("{}"));
        return true;
    }

    private static String exchange(String callers, byte[] request) throws Exception {
        StringBuilder got = new StringBuilder();
        try (Socket socket = Http.connect(callers, 1000)) {
            socket.getOutputStream().write(request);
            socket.getOutputStream().flush();
            socket.setSoTimeout(600);
            InputStream in = socket.getInputStream();
            byte[] bytes = new byte[8192];
            int read;
            while ((read = in.read(bytes)) > 0) got.append(new String(bytes, 0, read, "ISO-8859-1"));
            got.append("(closed)");
        } catch (SocketTimeoutException e) {
            got.append("(open)");
        }
        return got.toString().replace("\r\n", " | ");
    }
}
