package gullspar.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** A backend or discovery on loopback that answers every request with the same bytes, a thread per connection. */
final class AnsweringServer implements AutoCloseable {
    static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private final ServerSocket listener = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress());

    AnsweringServer(String answer) throws IOException {
        daemon(() -> acceptAll(answer));
    }

    /** A discovery whose stream starts with an empty delta, so that the known list stays in use. */
    static AnsweringServer discovery() throws IOException {
        String list = "{\"generation\":42,\"reset\":false,\"instances\":[]}\n";
        return new AnsweringServer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
    }

    String hostPort() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void acceptAll(String answer) {
        try {
            while (true) {
                Peer.Wire wire = new Peer.Wire(listener.accept());
                daemon(() -> answerAll(wire, answer));
            }
        } catch (IOException e) {
            // closed at the end of the test
        }
    }

    private static void answerAll(Peer.Wire wire, String answer) {
        try (wire) {
            while (!wire.read().isEmpty()) {
                wire.write(answer);
            }
        } catch (IOException e) {
            // the proxy has closed it
        }
    }

    private static void daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
