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

    /** Neither the owner of the log nor the proxy's user has permission to open it by its path. */
    @Test
    void startsWithALogThatItCannotReopen() throws Exception {
        Process holder = startHolder();
        Files.setPosixFilePermissions(log, PosixFilePermissions.fromString("---------"));
        try (BufferedReader output = holder.inputReader();
                Writer input = holder.outputWriter()) {
            int port = Integer.parseInt(output.readLine().substring("port ".length()));
            input.write("NODE_SOCKET_FD=0 NODE_CONFIG=" + folder.resolve("config.json") + "\n");
            input.flush();
            long pid = Long.parseLong(output.readLine().substring("started ".length()));
            ProcessHandle proxy = ProcessHandle.of(pid).orElseThrow();
            try (Peer.Wire client = Peer.Wire.to(new InetSocketAddress("127.0.0.1", port))) {
                client.write(Setup.getRequest());
                CompletableFuture<String> answer = CompletableFuture.supplyAsync(() -> read(client));
                CompletableFuture.anyOf(answer, proxy.onExit()).get(20, TimeUnit.SECONDS);
                assertTrue(proxy.isAlive(), () -> "the proxy ended: " + logText());
                assertTrue(answer.get().startsWith("HTTP/1.1 200"), answer.get());
                proxy.destroy();
                proxy.onExit().get(20, TimeUnit.SECONDS);
                assertTrue(logText().contains("drained"), "the log lacks the last line: " + logText());
            } finally {
                proxy.destroyForcibly();
            }
        } finally {
            holder.destroy();
        }
    }
}
