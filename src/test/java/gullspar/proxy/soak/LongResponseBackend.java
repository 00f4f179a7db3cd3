package gullspar.proxy.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * A correct backend whose responses are short, or long and written slowly: by length, chunked or until the end of the
 * connection, evenly, in lumps, with a late body or in small parts. The body repeats the request's id. Some responses
 * without a length are reset on the way. Some large requests are read slowly.
 */
final class LongResponseBackend implements AutoCloseable {
    private static final int MIN_LONG_BYTES = 20 << 10;
    private static final int MAX_LONG_BYTES = 2 << 20;
    private static final int MIN_LONG_MS = 300;
    private static final int MAX_LONG_MS = 1700;
    private static final int MAX_SHORT_MS = 25;
    private static final int STACK_BYTES = 256 << 10;
    /** Share of responses that the end of the connection ends, those that are reset on the way among them. */
    private static final int WITHOUT_LENGTH_PERCENT = 30;

    private static final int RESET_PERCENT = 9;

    /** How the parts of a response are spread over its time. */
    private enum Pace {
        EVEN(40),
        LUMPS(4),
        LATE_BODY(1),
        SMALL_PARTS(400);

        final int parts;

        Pace(int parts) {
            this.parts = parts;
        }
    }

    /** What tells the end of a response. */
    private enum Framing {
        LENGTH,
        CHUNKED,
        /** The end of the connection. */
        CONNECTION,
        /** The same, but the connection is reset on the way. */
        RESET;

        boolean endsConnection() {
            return this == CONNECTION || this == RESET;
        }

        String field(int length) {
            return switch (this) {
                case LENGTH -> "Content-Length: " + length;
                case CHUNKED -> "Transfer-Encoding: chunked";
                default -> "Connection: close";
            };
        }
    }

    /** A response that was begun. */
    static final class Begun {
        /** When its head was written, by {@link System#nanoTime}. */
        final long atNs = System.nanoTime();

        final boolean isLong;
        /** Whether its connection is reset before its end. */
        final boolean isReset;
        /** Its framing, and whether it is long. */
        final String form;

        final String description;
        /** When all of it was written; 0 before. */
        volatile long completedAtNs;

        private Begun(boolean isLong, Framing framing, String description) {
            this.isLong = isLong;
            this.isReset = framing == Framing.RESET;
            this.form = (isLong ? "long " : "short ") + framing;
            this.description = form + description;
        }
    }

    private final ServerSocket listener = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress());
    private final double longShare;
    private final Random random;
    private final Requests requests;
    private final Map<String, Begun> begun;

    /**
     * Creates it.
     *
     * @param requests is told of each request
     * @param begun gets the responses that it begins, by the request's id
     */
    LongResponseBackend(long seed, double longShare, Requests requests, Map<String, Begun> begun) throws IOException {
        this.random = new Random(seed);
        this.longShare = longShare;
        this.requests = requests;
        this.begun = begun;
        daemon(this::acceptAll);
    }

    String hostPort() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    static void daemon(Runnable work) {
        Thread thread = new Thread(null, work, "soak", STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = listener.accept();
                daemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // closed at the end of the run
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                String id = head.field("Request-Id");
                requests.onHead(id);
                long readDelayMs = nextInt(8) == 0 ? 20 : 0;
                Http.readBody(head, in, (bytes, length) -> TimeUnit.MILLISECONDS.sleep(readDelayMs));
                requests.onExecuted(id, head.startLine());
                if (respond(id, socket).endsConnection()) {
                    return;
                }
            }
        } catch (IOException | InterruptedException e) {
            // closed by the proxy
        }
    }

    private synchronized int nextInt(int bound) {
        return random.nextInt(bound);
    }

    private synchronized boolean nextIsLong() {
        return random.nextDouble() < longShare;
    }

    private Framing nextFraming() {
        int kind = nextInt(100);
        if (kind < WITHOUT_LENGTH_PERCENT) {
            return kind < RESET_PERCENT ? Framing.RESET : Framing.CONNECTION;
        }
        return kind % 2 == 0 ? Framing.CHUNKED : Framing.LENGTH;
    }

    private Framing respond(String id, Socket socket) throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep(1 + nextInt(MAX_SHORT_MS));
        Framing framing = nextFraming();
        if (nextIsLong()) {
            respondLong(id, socket, framing);
        } else {
            respondShort(id, socket, framing);
        }
        return framing;
    }

    private void respondShort(String id, Socket socket, Framing framing) throws IOException {
        Begun response = new Begun(false, framing, "");
        begun.put(id, response);
        byte[] body = id.getBytes(StandardCharsets.US_ASCII);
        OutputStream out = socket.getOutputStream();
        write(out, "HTTP/1.1 200 OK\r\n" + framing.field(body.length) + "\r\n\r\n");
        if (framing == Framing.RESET) {
            out.write(body, 0, body.length / 2);
            reset(socket);
            return;
        }
        writePart(out, body, 0, body.length, framing);
        writeEnd(out, framing);
        response.completedAtNs = System.nanoTime();
    }

    private void respondLong(String id, Socket socket, Framing framing) throws IOException, InterruptedException {
        Pace pace = Pace.values()[nextInt(Pace.values().length)];
        int repeats = (MIN_LONG_BYTES + nextInt(nextInt(2) == 0 ? 60 << 10 : MAX_LONG_BYTES)) / id.length() + 1;
        byte[] body = id.repeat(repeats).getBytes(StandardCharsets.US_ASCII);
        int totalMs = MIN_LONG_MS + nextInt(MAX_LONG_MS - MIN_LONG_MS);
        Begun response = new Begun(true, framing, " " + pace + " " + body.length + " bytes in " + totalMs + " ms");
        begun.put(id, response);
        OutputStream out = socket.getOutputStream();
        write(out, "HTTP/1.1 200 OK\r\n" + framing.field(body.length) + "\r\n\r\n");
        int writtenParts = framing == Framing.RESET ? nextInt(pace.parts + 1) : pace.parts;
        writeParts(out, body, framing, pace.parts, writtenParts, totalMs);
        if (framing == Framing.RESET) {
            reset(socket);
            return;
        }
        writeEnd(out, framing);
        response.completedAtNs = System.nanoTime();
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Writes the first of the equal parts of a body, each at its time. */
    private static void writeParts(
            OutputStream out, byte[] body, Framing framing, int parts, int writtenParts, int totalMs)
            throws IOException, InterruptedException {
        long startNs = System.nanoTime();
        int written = 0;
        for (int i = 1; i <= writtenParts; i++) {
            long dueNs = startNs + TimeUnit.MILLISECONDS.toNanos((long) totalMs * i / parts);
            TimeUnit.NANOSECONDS.sleep(Math.max(0, dueNs - System.nanoTime()));
            int end = (int) ((long) body.length * i / parts);
            writePart(out, body, written, end, framing);
            written = end;
        }
    }

    private static void writePart(OutputStream out, byte[] body, int from, int to, Framing framing) throws IOException {
        if (from == to) {
            return;
        }
        if (framing == Framing.CHUNKED) {
            write(out, Integer.toHexString(to - from) + "\r\n");
        }
        out.write(body, from, to - from);
        if (framing == Framing.CHUNKED) {
            write(out, "\r\n");
        }
    }

    private static void writeEnd(OutputStream out, Framing framing) throws IOException {
        if (framing == Framing.CHUNKED) {
            write(out, "0\r\n\r\n");
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
