package review3;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client on plain sockets. */
final class Http {
    private Http() {
    }

    /** A request or an answer; the names of headers are in lower case. */
    static final class Message {
        String firstLine;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        String query(String name) {
            int mark = target().indexOf('?');
            if (mark < 0) return null;
            for (String pair : target().substring(mark + 1).split("&")) {
                if (pair.startsWith(name + "=")) {
                    return java.net.URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
                }
            }
            return null;
        }
    }

    interface Handler {
        void handle(Message request, Connection connection) throws Exception;
    }

    /** One connection of a server. */
    static final class Connection {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        synchronized void reply(int status, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " S\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.toString().getBytes(StandardCharsets.UTF_8));
            all.write(body);
            out.write(all.toByteArray());
            out.flush();
        }

        void json(int status, Object value) throws IOException {
            reply(status, Map.of("Content-Type", "application/json"), Json.write(value).getBytes(StandardCharsets.UTF_8));
        }

        synchronized void beginChunked(Map<String, String> headers) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Transfer-Encoding: chunked\r\n\r\n");
            out.write(head.toString().getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        synchronized void chunk(byte[] bytes) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.UTF_8));
            all.write(bytes);
            all.write("\r\n".getBytes(StandardCharsets.UTF_8));
            out.write(all.toByteArray());
            out.flush();
        }

        synchronized void endChunked() throws IOException {
            out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        /** Whether the other side has closed the connection; only while it sends nothing. */
        boolean isClosedByPeer() {
            try {
                socket.setSoTimeout(1);
                in.mark(1);
                int next = in.read();
                if (next >= 0) in.reset();
                return next < 0;
            } catch (java.net.SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true;
            } finally {
                try {
                    socket.setSoTimeout(0);
                } catch (IOException e) {
                    // It is closed already.
                }
            }
        }

        void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }
    }

    /** Serves each connection on a thread of its own. */
    static final class Server {
        private final ServerSocket listening;
        private final Map<Connection, Boolean> open = new ConcurrentHashMap<>();

        Server(String host, int port, Handler handler) throws IOException {
            listening = new ServerSocket();
            listening.setReuseAddress(true);
            listening.bind(new InetSocketAddress(InetAddress.getByName(host), port), 200);
            thread("accept " + host + ":" + port, () -> {
                while (true) {
                    Socket socket = listening.accept();
                    socket.setTcpNoDelay(true);
                    Connection connection = new Connection(socket);
                    open.put(connection, true);
                    thread("serve", () -> serve(connection, handler));
                }
            });
        }

        private void serve(Connection connection, Handler handler) throws Exception {
            try {
                while (true) {
                    Message request = read(connection.in);
                    if (request == null) return;
                    handler.handle(request, connection);
                }
            } finally {
                open.remove(connection);
                connection.close();
            }
        }

        void close() throws IOException {
            listening.close();
            open.keySet().forEach(Connection::close);
        }
    }

    interface Work {
        void run() throws Exception;
    }

    static Thread thread(String name, Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException | InterruptedException e) {
                // The other side or the test has ended.
            } catch (Exception e) {
                System.err.println(name + ": " + e);
                e.printStackTrace();
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b = in.read();
        if (b < 0) return null;
        while (b >= 0 && b != '\n') {
            if (b != '\r') line.write(b);
            b = in.read();
        }
        if (b < 0) throw new IOException("ended inside a line");
        return line.toString(StandardCharsets.UTF_8);
    }

    /** Reads the head of a message; null at the end of the input. */
    static Message readHead(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) return null;
        Message message = new Message();
        message.firstLine = first;
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            message.headers.put(header.substring(0, colon).toLowerCase(), header.substring(colon + 1).trim());
        }
        return message;
    }

    static Message read(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message == null) return null;
        if ("chunked".equals(message.headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (byte[] chunk = chunk(in); chunk.length > 0; chunk = chunk(in)) body.write(chunk);
            message.body = body.toByteArray();
        } else {
            int length = Integer.parseInt(message.headers.getOrDefault("content-length", "0"));
            message.body = in.readNBytes(length);
            if (message.body.length < length) throw new IOException("ended inside a body");
        }
        return message;
    }

    /** Reads one chunk; an empty one is the last. */
    static byte[] chunk(InputStream in) throws IOException {
        String size = line(in);
        if (size == null) throw new IOException("ended between chunks");
        int length = Integer.parseInt(size.trim(), 16);
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new IOException("ended inside a chunk");
        line(in);
        return bytes;
    }
}
