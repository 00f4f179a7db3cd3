package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A list of more than 1,024 servers in the heap that deploy/serve.sh gives the smallest proxy. */
@Timeout(120)
@SuppressWarnings("try")
class LongListTest {
    private static final int SERVERS = 1100;
    /** The protocol does not limit the length of ids, and a long one must not be taken for a truncated line. */
    private static final String LONG_ID_SUFFIX = "i".repeat(1500);

    private static final List<String> SMALLEST_HEAP = List.of(
            "-Xms16m", "-Xmx16m", "-Xmn6m", "-Xss512k", "-XX:MaxMetaspaceSize=40m", "-XX:MaxDirectMemorySize=16m");

    @TempDir
    Path folder;

    private static void startAnswering(Peer backend) {
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    Peer.Wire wire = backend.accept();
                    wire.read();
                    wire.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
                    wire.close();
                }
            } catch (IOException | InterruptedException | AssertionError e) {
                // the test has ended
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static JsonNode vars(ProxyProcess process) throws IOException {
        try (Peer.Wire operator = Peer.Wire.to(process.operatorAddress)) {
            String answer =
                    operator.write("GET /_vars HTTP/1.1\r\nHost: o\r\n\r\n").read();
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
            return new ObjectMapper().readTree(answer.substring(answer.indexOf("\r\n\r\n")));
        }
    }

    private static void awaitMembers(ProxyProcess process, int count) throws Exception {
        while (vars(process).path("members").asInt() != count) {
            Thread.sleep(10); // polls until the list is applied, or the test times out
        }
    }

    private static void assertServed(ProxyProcess process) throws IOException {
        try (Peer.Wire client = Peer.Wire.to(process.address)) {
            assertTrue(client.write(Setup.getRequest()).read().startsWith("HTTP/1.1 200"));
        }
    }

    private static List<String> servers(int count, String idSuffix, String address) {
        return IntStream.range(0, count)
                .mapToObj(i -> ProxyProcess.instance("s-" + i + idSuffix, address))
                .toList();
    }

    @Test
    void longListIsAppliedInSmallestHeapAndProxyServes() throws Exception {
        try (Peer backend = new Peer();
                ProxyProcess process = new ProxyProcess(folder, backend.hostPort(), SMALLEST_HEAP)) {
            startAnswering(backend);
            process.sendList(42, servers(SERVERS, "", backend.hostPort()));
            process.awaitReady();
            awaitMembers(process, SERVERS);
            assertServed(process);
            process.sendList(43, servers(SERVERS - 1, "", backend.hostPort()));
            awaitMembers(process, SERVERS - 1);
            process.sendList(44, servers(SERVERS + 1, LONG_ID_SUFFIX, backend.hostPort()));
            awaitMembers(process, SERVERS + 1);
            assertServed(process);
            assertEquals(0, vars(process).path("failed").path("look").asInt());
            assertTrue(process.isAlive());
        }
    }
}
