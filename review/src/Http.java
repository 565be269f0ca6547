import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 on plain sockets, small enough that each byte of an answer can be chosen. */
final class Http {
    private Http() {}

    /** A request or an answer as it was read. Header names are in lower case. */
    static final class Message {
        String startLine;
        final Map<String, String> headers = new HashMap<>();
        byte[] body = new byte[0];

        String method() { return startLine.split(" ")[0]; }

        String target() { return startLine.split(" ")[1]; }

        String path() { return target().split("\\?")[0]; }

        int status() { return Integer.parseInt(startLine.split(" ")[1]); }

        String header(String name) { return headers.get(name.toLowerCase()); }

        String text() { return new String(body, StandardCharsets.UTF_8); }

        String query(String name) {
            String[] parts = target().split("\\?", 2);
            if (parts.length < 2) return null;
            for (String pair : parts[1].split("&")) {
                String[] field = pair.split("=", 2);
                if (field[0].equals(name)) {
                    return field.length < 2 ? "" : URLDecoder.decode(field[1], StandardCharsets.UTF_8);
                }
            }
            return null;
        }
    }

    /** Answers one request on [socket]; returns whether the connection stays open. */
    interface Handler {
        boolean handle(Message request, Socket socket, OutputStream out) throws Exception;
    }

    /** A server with a thread for each connection. */
    static final class Server implements Closeable {
        final ServerSocket listening = new ServerSocket();
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private final Handler handler;

        Server(String host, int port, Handler handler) throws IOException {
            this.handler = handler;
            listening.setReuseAddress(true);
            listening.bind(new InetSocketAddress(host, port), 256);
            daemon(this::accept);
        }

        String address() {
            return listening.getInetAddress().getHostAddress() + ":" + listening.getLocalPort();
        }

        private void accept() {
            while (!listening.isClosed()) {
                try {
                    Socket socket = listening.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    daemon(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                while (true) {
                    Message request = read(in, false);
                    if (request == null || !handler.handle(request, socket, out)) return;
                }
            } catch (Exception e) {
                // The other side has gone.
            } finally {
                open.remove(socket);
            }
        }

        @Override
        public void close() throws IOException {
            listening.close();
            for (Socket socket : open) socket.close();
        }
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Reads a message; null at the end of the connection before the first byte. */
    static Message read(InputStream in, boolean untilEnd) throws IOException {
        String first = line(in);
        if (first == null) return null;
        Message message = new Message();
        message.startLine = first;
        readHeaders(in, message.headers);
        String length = message.header("content-length");
        String coding = message.header("transfer-encoding");
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (length != null) {
            body.write(exactly(in, Integer.parseInt(length)));
        } else if (coding != null && coding.toLowerCase().contains("chunked")) {
            while (true) {
                int size = Integer.parseInt(orThrow(line(in)).split(";")[0].trim(), 16);
                if (size > 0) body.write(exactly(in, size));
                String after = orThrow(line(in));
                if (size == 0) {
                    while (!after.isEmpty()) after = orThrow(line(in));
                    break;
                }
            }
        } else if (untilEnd) {
            body.write(in.readAllBytes());
        }
        message.body = body.toByteArray();
        return message;
    }

    /** Reads the first line and the headers of a message and leaves its body; null at the end of the connection. */
    static Map<String, String> head(InputStream in) throws IOException {
        if (line(in) == null) return null;
        Map<String, String> headers = new HashMap<>();
        readHeaders(in, headers);
        return headers;
    }

    private static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
        String line;
        while (!(line = orThrow(line(in))).isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
    }

    private static String orThrow(String line) throws EOFException {
        if (line == null) throw new EOFException();
        return line;
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException();
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) != '\n') {
            if (next < 0) return bytes.size() == 0 ? null : orThrow(null);
            bytes.write(next);
        }
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Writes an answer with a length. */
    static void answer(OutputStream out, String status, String headers, byte[] body) throws IOException {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.write(bytes("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n"));
        whole.write(body);
        out.write(whole.toByteArray());
        out.flush();
    }

    static void json(OutputStream out, String status, String body) throws IOException {
        answer(out, status, "Content-Type: application/json\r\n", body.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends [request] on a connection of its own and reads one answer; null if it got none. */
    static Message call(String address, byte[] request, int timeoutMillis) {
        try (Socket socket = connect(address, timeoutMillis)) {
            socket.getOutputStream().write(request);
            socket.getOutputStream().flush();
            return read(new BufferedInputStream(socket.getInputStream()), true);
        } catch (IOException e) {
            return null;
        }
    }

    static Socket connect(String address, int timeoutMillis) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(endpoint(address), timeoutMillis);
        socket.setSoTimeout(timeoutMillis);
        return socket;
    }

    static InetSocketAddress endpoint(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
