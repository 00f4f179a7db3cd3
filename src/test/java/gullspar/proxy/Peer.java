package gullspar.proxy;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A scripted server on loopback: every connection that it accepts is handed to the test, in order. */
public final class Peer implements AutoCloseable {
    private static final int TIMEOUT_S = 20;
    private final ServerSocket server;
    private final BlockingQueue<Wire> accepted = new LinkedBlockingQueue<>();
    private final Thread acceptor;

    public Peer() throws IOException {
        this(0);
    }

    /** Listens on a port that another server has released. */
    public Peer(int port) throws IOException {
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 50);
        acceptor = new Thread(() -> {
            try {
                while (true) {
                    accepted.add(new Wire(server.accept()));
                }
            } catch (IOException e) {
                // closed at the end of the test
            }
        });
        acceptor.setDaemon(true);
        acceptor.start();
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    public String hostPort() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Returns the next accepted connection; waits for it, and fails if there is none within 20 s. */
    public Wire accept() throws InterruptedException {
        Wire w = accepted.poll(TIMEOUT_S, TimeUnit.SECONDS);
        if (w == null) {
            throw new AssertionError("no connection within " + TIMEOUT_S + " s");
        }
        return w;
    }

    /** Whether the test has taken all connections that were accepted so far. */
    public boolean hasNoNewConnection() {
        return accepted.isEmpty();
    }

    /** Stops listening. Waits for the accepting thread: until it ends, the socket goes on accepting. */
    @Override
    public void close() throws IOException {
        server.close();
        try {
            acceptor.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One end of a connection, with blocking reads and writes. */
    public static final class Wire implements AutoCloseable {
        private final Socket socket;
        private final InputStream in;

        Wire(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(TIMEOUT_S * 1000);
            this.in = socket.getInputStream();
        }

        public static Wire to(InetSocketAddress address) throws IOException {
            return new Wire(new Socket(address.getAddress(), address.getPort()));
        }

        public Wire write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return this;
        }

        /** Reads one message, its headers and a body of Content-Length bytes; returns "" at the end of the stream. */
        public String read() throws IOException {
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
                int b = in.read();
                if (b < 0) {
                    return head.toString(StandardCharsets.ISO_8859_1);
                }
                head.write(b);
            }
            String text = head.toString(StandardCharsets.ISO_8859_1);
            int length = text.toLowerCase()
                    .lines()
                    .filter(l -> l.startsWith("content-length:"))
                    .mapToInt(l -> Integer.parseInt(l.substring(15).trim()))
                    .findFirst()
                    .orElse(0);
            return text + new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
        }

        /** Reads count bytes, or fewer at the end. */
        public String readBytes(int count) throws IOException {
            return new String(in.readNBytes(count), StandardCharsets.ISO_8859_1);
        }

        /** Reads up to and including the text, or up to the end. */
        public String readUntil(String end) throws IOException {
            StringBuilder s = new StringBuilder();
            for (int b = in.read(); b >= 0; b = in.read()) {
                s.append((char) b);
                if (s.toString().endsWith(end)) {
                    break;
                }
            }
            return s.toString();
        }

        /** Reads a chunked body up to its last chunk; throws an IOException if the connection ends before. */
        public String readChunkedBody() throws IOException {
            StringBuilder body = new StringBuilder();
            while (true) {
                String sizeLine = readUntil("\r\n");
                if (!sizeLine.endsWith("\r\n")) {
                    throw new EOFException("the connection ended after " + body.length() + " bytes of the body");
                }
                int size = Integer.parseInt(sizeLine.trim(), 16);
                String chunk = readBytes(size + 2);
                if (chunk.length() < size + 2) {
                    throw new EOFException("the connection ended within a chunk");
                }
                if (size == 0) {
                    return body.toString();
                }
                body.append(chunk, 0, size);
            }
        }

        /** Waits for a byte or the end; true if the other side has closed or reset the connection. */
        public boolean ended() {
            try {
                return in.read() < 0;
            } catch (IOException e) {
                return !(e instanceof java.net.SocketTimeoutException);
            }
        }

        /** Closes the sending side only. */
        public void endSending() throws IOException {
            socket.shutdownOutput();
        }

        /** Resets the connection, as a crashing process does. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
