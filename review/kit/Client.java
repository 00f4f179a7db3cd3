package kit;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection: one request at a time. */
public final class Client implements AutoCloseable {
    private final Socket socket;
    private final BufferedInputStream in;

    public Client(int port) throws IOException {
        socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** The bytes of a request; key null for a class that is safe to repeat. */
    public static byte[] request(String path, String id, String key, double timeoutS, String body, String more) {
        boolean get = key == null && body == null;
        String head = (get ? "GET " : "POST ") + path + " HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: " + id
                + "\r\nRequest-Timeout: " + String.format(java.util.Locale.ROOT, "%.3f", timeoutS) + "\r\n"
                + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                + more
                + (get ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + (get ? "" : body);
        return head.getBytes(StandardCharsets.US_ASCII);
    }

    public void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    /** The next answer; null if the connection has ended. Throws SocketTimeoutException after the time. */
    public Http.Message read(int timeoutMs) throws IOException {
        socket.setSoTimeout(Math.max(1, timeoutMs));
        return Http.read(in);
    }

    public Socket socket() {
        return socket;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
