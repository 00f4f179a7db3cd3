package kit;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A backend: each connection is a thread that hands one request after the other to a handler. */
public final class Backend {
    /** Handles a request; returns whether the connection stays open. */
    public interface Handler {
        boolean handle(Connection connection, Http.Message request) throws Exception;
    }

    /** A connection of the backend. */
    public static final class Connection {
        private final Socket socket;
        private final BufferedInputStream in;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream());
            socket.setTcpNoDelay(true);
        }

        public void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        }

        /** Answers 200 with this body. */
        public void answer(String body) throws IOException {
            write(answerText(body));
        }

        /** Whether nothing has come since the last request. */
        public boolean nothingWaits() throws IOException {
            return in.available() == 0;
        }

        /** Resets the connection. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    private final ServerSocket server = new ServerSocket(0, 1000, InetAddress.getByName("127.0.0.1"));

    public Backend(Handler handler) throws IOException {
        Kit.thread("backend", () -> {
            while (true) {
                Socket s = server.accept();
                Kit.thread("backend connection", () -> {
                    try (s) {
                        Connection c = new Connection(s);
                        for (Http.Message r = Http.read(c.in); r != null; r = Http.read(c.in)) {
                            if (!handler.handle(c, r)) {
                                return;
                            }
                        }
                    } catch (Http.TooLongException e) {
                        s.getOutputStream()
                                .write("HTTP/1.1 413 Content Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                                        .getBytes(StandardCharsets.US_ASCII));
                        s.shutdownOutput();
                        s.setSoTimeout(1000);
                        s.getInputStream().readNBytes(1 << 20); // the answer is not to be lost in a reset
                    }
                });
            }
        });
    }

    public static String answerText(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    public int port() {
        return server.getLocalPort();
    }

    public String address() {
        return "127.0.0.1:" + port();
    }
}
