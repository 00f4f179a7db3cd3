package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.ResourceLock;

/** A process of an unprivileged user that inherits a listener and a log opened by another user. */
@Timeout(120)
@ResourceLock("much of the machine")
class InheritedListenerTest {
    @TempDir
    Path folder;

    private Path log;
    private AnsweringServer backend;
    private AnsweringServer discovery;

    @BeforeEach
    void setUp() throws IOException {
        UnprivilegedUser.makeReadable(folder);
        log = Files.createFile(folder.resolve("log"));
        backend = new AnsweringServer(AnsweringServer.OK);
        discovery = AnsweringServer.discovery();
        ObjectNode config = (ObjectNode) Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 5000);
        Files.writeString(folder.resolve("config.json"), config.toString());
    }

    @AfterEach
    void close() throws IOException {
        backend.close();
        discovery.close();
    }

    private Process startHolder() throws IOException {
        List<String> command = new ArrayList<>(List.of("/usr/bin/perl", "src/test/resources/hold-listener.pl"));
        command.addAll(UnprivilegedUser.serveCommand(List.of()));
        return new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
    }

    private static String read(Peer.Wire client) {
        try {
            return client.read();
        } catch (IOException e) {
            return e.toString();
        }
    }

    private String logText() {
        try {
            Files.setPosixFilePermissions(log, PosixFilePermissions.fromString("rw-r--r--"));
            return Files.readString(log);
        } catch (IOException e) {
            return e.toString();
        }
    }

    /** Holds the listener and starts proxies that inherit it. */
    private final class Holder implements AutoCloseable {
        private final Process process = startHolder();
        private final BufferedReader output = process.inputReader();
        private final Writer input = process.outputWriter();
        private final List<ProcessHandle> proxies = new ArrayList<>();
        final InetSocketAddress address = new InetSocketAddress("127.0.0.1", Integer.parseInt(next("port ")));

        Holder() throws IOException {}

        private String next(String prefix) throws IOException {
            return output.readLine().substring(prefix.length());
        }

        ProcessHandle startProxy() throws IOException {
            input.write("NODE_SOCKET_FD=0 NODE_CONFIG=" + folder.resolve("config.json") + "\n");
            input.flush();
            ProcessHandle proxy =
                    ProcessHandle.of(Long.parseLong(next("started "))).orElseThrow();
            proxies.add(proxy);
            return proxy;
        }

        /** Sends a request and waits for the response, which must come before the proxy ends. */
        String call(ProcessHandle proxy, String request) throws Exception {
            try (Peer.Wire client = Peer.Wire.to(address)) {
                client.write(request);
                CompletableFuture<String> answer = CompletableFuture.supplyAsync(() -> read(client));
                CompletableFuture.anyOf(answer, proxy.onExit()).get(20, TimeUnit.SECONDS);
                assertTrue(proxy.isAlive(), () -> "the proxy ended: " + logText());
                return answer.get();
            }
        }

        @Override
        public void close() throws IOException {
            proxies.forEach(ProcessHandle::destroyForcibly);
            process.destroy();
            output.close();
            input.close();
        }
    }

    private static void end(ProcessHandle proxy) throws Exception {
        proxy.destroy();
        proxy.onExit().get(20, TimeUnit.SECONDS);
    }

    /** Neither the owner of the log nor the proxy's user has permission to open it by its path. */
    @Test
    void startsWithALogThatItCannotReopen() throws Exception {
        try (Holder holder = new Holder()) {
            Files.setPosixFilePermissions(log, PosixFilePermissions.fromString("---------"));
            ProcessHandle proxy = holder.startProxy();
            String answer = holder.call(proxy, Setup.getRequest());
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
            end(proxy);
            assertTrue(logText().contains("drained"), "the log lacks the last line: " + logText());
        }
    }

    /** A request ran twice when its id came again at the next process of an upgrade. */
    @Test
    void idThatTheProcessBeforeHasSeenIsRefused() throws Exception {
        String request = Setup.getRequest();
        try (Holder holder = new Holder()) {
            ProcessHandle first = holder.startProxy();
            String answer = holder.call(first, request);
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
            ProcessHandle second = holder.startProxy();
            end(first);
            String repeated = holder.call(second, request);
            assertTrue(repeated.startsWith("HTTP/1.1 409"), repeated);
        }
    }
}
