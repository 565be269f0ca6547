import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 over blocking sockets, as much as stand-ins need. */
final class Http {
    private Http() {
    }

    /** A request or an answer; {@code first} is its first line, header names are in lower case. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        /** A parameter of the query, or null. */
        String parameter(String name) {
            int mark = target().indexOf('?');
            if (mark < 0) return null;
            for (String pair : target().substring(mark + 1).split("&")) {
                String[] parts = pair.split("=", 2);
                if (parts[0].equals(name)) {
                    return java.net.URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8);
                }
            }
            return null;
        }
    }

    /** Reads a line without its end; null at the end of the input. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b = in.read();
        if (b < 0) return null;
        while (b >= 0 && b != '\n') {
            if (b != '\r') line.write(b);
            b = in.read();
        }
        if (b < 0) throw new EOFException("the connection ended inside a line");
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a whole message; null at the end of the input. */
    static Message read(InputStream in, boolean hasNoBody) throws IOException {
        String first = line(in);
        if (first == null) return null;
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            if (colon < 0) throw new IOException("no header: " + line);
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
            if (line.length() > 65_536) throw new IOException("header too long");
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (hasNoBody) return new Message(first, headers, body.toByteArray());
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            while (true) {
                String size = line(in);
                if (size == null) throw new EOFException("the connection ended before the last chunk");
                int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                copy(in, body, length);
                line(in);
                if (length == 0) break;
            }
        } else if (headers.containsKey("content-length")) {
            copy(in, body, Integer.parseInt(headers.get("content-length")));
        }
        return new Message(first, headers, body.toByteArray());
    }

    private static void copy(InputStream in, ByteArrayOutputStream out, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("the connection ended inside a body");
        out.write(bytes);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** An answer with a length. */
    static byte[] answer(int status, byte[] body, String... headers) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " " + reason(status) + "\r\n");
        for (int i = 0; i < headers.length; i += 2) {
            head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
        }
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(bytes(head.toString()));
        out.writeBytes(body);
        return out.toByteArray();
    }

    private static String reason(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 202 -> "Accepted";
            case 404 -> "Not Found";
            case 409 -> "Conflict";
            case 412 -> "Precondition Failed";
            case 421 -> "Misdirected Request";
            case 503 -> "Service Unavailable";
            default -> "Status";
        };
    }

    /** Handles the requests of one connection. */
    interface Handler {
        /** Answers on the socket; the connection stays open if this returns true. */
        boolean handle(Message request, Socket socket) throws Exception;
    }

    /** A server with one thread for each connection. */
    static final class Server {
        private final Handler handler;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private ServerSocket listening;
        final String host;
        final int port;

        Server(String host, int port, Handler handler) throws IOException {
            this.host = host;
            this.handler = handler;
            listening = new ServerSocket();
            listening.setReuseAddress(true);
            listening.bind(new InetSocketAddress(InetAddress.getByName(host), port), 512);
            this.port = listening.getLocalPort();
            start();
        }

        String address() {
            return host + ":" + port;
        }

        private void start() {
            ServerSocket socket = listening;
            daemon(() -> {
                while (true) {
                    Socket accepted = socket.accept();
                    accepted.setTcpNoDelay(true);
                    open.add(accepted);
                    daemon(() -> serve(accepted));
                }
            });
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    Message request = Http.read(in, false);
                    if (request == null || !handler.handle(request, socket)) return;
                }
            } finally {
                open.remove(socket);
            }
        }

        /** Stops listening and resets all connections, as the end of a process does. */
        void crash() throws IOException {
            listening.close();
            for (Socket socket : open) {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException e) {
                    // It was closed meanwhile.
                }
            }
        }

        /** Listens again at the same address. */
        void restart() throws IOException {
            listening = new ServerSocket();
            listening.setReuseAddress(true);
            listening.bind(new InetSocketAddress(InetAddress.getByName(host), port), 512);
            start();
        }
    }

    interface Action {
        void run() throws Exception;
    }

    /** Runs {@code action} on a thread of its own, which ends silently with it. */
    static Thread daemon(Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (Exception e) {
                // The other side ended the connection, or the server was closed.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** A port of {@code host} that is free now. */
    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }
}
