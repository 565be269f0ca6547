package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A client of the system, which opens a connection for each request. */
final class Caller {
    private Caller() {
    }

    /** What a client saw of one attempt. */
    static final class Outcome {
        int status;
        String stamp;
        String echoedId;
        boolean isComplete;
        String detail = "";
        final List<String> events = new ArrayList<>();
        String body = "";

        @Override
        public String toString() {
            return "status " + status + (isComplete ? " complete" : " incomplete") + ", " + events.size() + " events " + detail;
        }
    }

    /** Sends a request of a stream and reads its events; gives up after a gap of {@code gapMs}. */
    static Outcome send(String address, String method, String path, String host, String attempt, String key,
            int deadlineMs, String more, byte[] body, int gapMs) {
        Outcome outcome = new Outcome();
        String[] parts = address.split(":");
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
            socket.setSoTimeout(gapMs);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + attempt
                + "\r\nDeadline-Ms: " + deadlineMs + "\r\nCredential: " + key + "\r\n" + more
                + "Content-Length: " + body.length + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Message answer = Http.readHead(in);
            if (answer == null) {
                outcome.detail = "closed without an answer";
                return outcome;
            }
            outcome.status = answer.status();
            outcome.stamp = answer.headers.get("answer-stamp");
            outcome.echoedId = answer.headers.get("attempt-id");
            StringBuilder text = new StringBuilder();
            if ("chunked".equals(answer.headers.get("transfer-encoding"))) {
                for (byte[] chunk = Http.chunk(in); chunk.length > 0; chunk = Http.chunk(in)) {
                    text.append(new String(chunk, StandardCharsets.UTF_8));
                    outcome.body = text.toString();
                }
            } else {
                int length = Integer.parseInt(answer.headers.getOrDefault("content-length", "0"));
                byte[] bytes = in.readNBytes(length);
                if (bytes.length < length) throw new IOException("ended inside the body");
                text.append(new String(bytes, StandardCharsets.UTF_8));
            }
            outcome.body = text.toString();
            outcome.isComplete = true;
        } catch (IOException e) {
            outcome.detail = e.toString();
        }
        for (String event : outcome.body.split("\n\n")) if (event.startsWith("id:")) outcome.events.add(event);
        return outcome;
    }
}
