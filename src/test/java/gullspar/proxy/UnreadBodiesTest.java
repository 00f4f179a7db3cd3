package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.ResourceLock;

/** A proxy process whose direct memory is far smaller than the bodies that its clients send and it cannot forward. */
@Timeout(120)
@SuppressWarnings("try")
@ResourceLock("much of the machine")
class UnreadBodiesTest {
    private static final int CLIENTS = 150;
    private static final int UNREAD_BYTES = 200_000;
    private static final String HEADERS = "Host: a\r\nRequest-Timeout: 1\r\nRequest-Id: ";
    private static final List<String> OPTIONS = List.of("-Xmx61m", "-XX:MaxDirectMemorySize=4m");

    @TempDir
    Path folder;

    /** Bodies kept in direct buffers exhausted them: the event loop stalled, and connections closed unanswered. */
    @Test
    void bodiesWaitingBehindOtherRequestsDoNotExhaustDirectMemory() throws Exception {
        try (Peer backend = new Peer();
                ProxyProcess proxy = new ProxyProcess(folder, backend.hostPort(), OPTIONS)) {
            proxy.sendList(42, List.of(ProxyProcess.instance("s-1", backend.hostPort())));
            proxy.awaitReady();
            List<Peer.Wire> clients = new ArrayList<>();
            String body = Integer.toHexString(UNREAD_BYTES) + "\r\n" + "x".repeat(UNREAD_BYTES) + "\r\n";
            for (int i = 0; i < CLIENTS; i++) {
                Peer.Wire client = Peer.Wire.to(proxy.address);
                clients.add(client);
                client.write(
                        "GET /look HTTP/1.1\r\n" + HEADERS + "get-" + i + "\r\n\r\nPOST /order HTTP/1.1\r\n" + HEADERS
                                + "post-" + i + "\r\nIdempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n" + body);
            }
            for (Peer.Wire client : clients) {
                String response = client.read();
                assertTrue(response.startsWith("HTTP/1.1 "), "closed without a response: '" + response + "'");
                client.close();
            }
        }
    }
}
