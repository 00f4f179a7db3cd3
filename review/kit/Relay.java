package kit;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.LinkedBlockingQueue;

/** A network path to a port: passes bytes both ways, each way later by a fixed time. */
public final class Relay {
    private record Piece(long dueNs, byte[] bytes) {}

    private final ServerSocket server = new ServerSocket(0, 1000, InetAddress.getByName("127.0.0.1"));

    public Relay(int toPort, long oneWayNs) throws IOException {
        Kit.thread("relay", () -> {
            while (true) {
                Socket from = server.accept();
                Socket to = new Socket(InetAddress.getByName("127.0.0.1"), toPort);
                from.setTcpNoDelay(true);
                to.setTcpNoDelay(true);
                pass(from, to, oneWayNs);
                pass(to, from, oneWayNs);
            }
        });
    }

    private static void pass(Socket from, Socket to, long oneWayNs) {
        LinkedBlockingQueue<Piece> pieces = new LinkedBlockingQueue<>();
        Kit.thread("relay in", () -> {
            byte[] buffer = new byte[64 << 10];
            try {
                InputStream in = from.getInputStream();
                for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                    pieces.add(new Piece(System.nanoTime() + oneWayNs, Arrays.copyOf(buffer, n)));
                }
            } finally {
                pieces.add(new Piece(System.nanoTime() + oneWayNs, new byte[0]));
            }
        });
        Kit.thread("relay out", () -> {
            try (from; to) {
                OutputStream out = to.getOutputStream();
                for (Piece p = pieces.take(); p.bytes().length > 0; p = pieces.take()) {
                    Kit.waitUntil(p.dueNs());
                    out.write(p.bytes());
                }
            }
        });
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }
}
