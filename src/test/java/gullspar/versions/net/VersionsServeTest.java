package gullspar.versions.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.proxy.Peer.Wire;
import gullspar.versions.Message;
import gullspar.versions.Publisher;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.api.parallel.ResourceLock;

/** Real control processes and proxies, with processes killed and disks restored or damaged. */
@Timeout(180)
@Execution(ExecutionMode.CONCURRENT)
@ResourceLock("much of the machine")
class VersionsServeTest {
    @TempDir
    private Path folder;

    private Processes processes;

    /** Publishes a change and waits until it is in force at that many followers. */
    private void publish(String word, long baseNumber, int followers) throws Exception {
        Message.Published p = send(word, baseNumber);
        assertEquals(Publisher.Outcome.ACCEPTED, p.outcome(), p.lines().toString());
        processes.awaitInForce("c1", p.head().number(), followers);
    }

    private Message.Published send(String word, long baseNumber) throws Exception {
        try (ControlClient c = new ControlClient(processes.at("c1"), 10_000)) {
            return c.request(
                    new Message.Publish(baseNumber, "site.toml", Processes.document(word)), Message.Published.class);
        }
    }

    /** Waits until the proxy on that port responds with the word. */
    private static void awaitResponse(int port, String word) throws Exception {
        String last = "";
        for (int i = 0; i < 600; i++) {
            last = Processes.get(port);
            if (last.endsWith(word)) {
                return;
            }
            Thread.sleep(20);
        }
        throw new AssertionError("expected " + word + ", last response " + last);
    }

    @Test
    void changesSurviveProcessFailuresAndRestoredDisks() throws Exception {
        try (Processes t = new Processes(folder)) {
            processes = t;
            t.controls("c1", "c2", "c3");
            Processes.ManagedProcess c1 = t.control("c1", "c1", "").start();
            Processes.ManagedProcess c2 = t.control("c2", "c1", "").start();
            Processes.ManagedProcess c3 = t.control("c3", "c1", "").start();
            Processes.ManagedProcess p1 = t.proxy("p1").start();
            Processes.ManagedProcess p2 = t.proxy("p2").start();
            c1.awaitLog("all control processes have reported their versions");
            publish("one", 0, 5);
            int port1 = Processes.port(p1.awaitLog("listening on"));
            int port2 = Processes.port(p2.awaitLog("listening on"));
            awaitResponse(port1, "one");
            for (Processes.ManagedProcess o : new Processes.ManagedProcess[] {c1, c2, p1}) {
                o.backUp();
            }

            invalidChangeIsRefused(port1);
            foreignProtocolIsDisconnected(c1);
            concurrentChangesAreSerialized();
            t.awaitInForce("c1", 2, 5);
            String two = Processes.get(port1);
            assertEquals(two, Processes.get(port2));

            // Without the primary no changes are accepted, but a newly started proxy gets the newest version.
            c1.kill();
            assertThrows(IOException.class, () -> send("none", 2));
            Processes.ManagedProcess p3 = t.proxy("p3").start();
            int port3 = Processes.port(p3.awaitLog("listening on"));
            assertEquals(two, Processes.get(port3));
            assertEquals(two, Processes.get(port1));

            // After its disk was restored, the primary queries the others before it accepts a change.
            c1.restoreBackup();
            c2.kill();
            c1.start();
            c1.awaitLog("starting with version 1.1");
            t.awaitInForce("c1", 2, 2);
            assertEquals(Publisher.Outcome.NOT_READY, send("fork", 1).outcome(), "the version of c2 is not known yet");
            c2.restoreBackup(); // the disk of another control process as well
            c2.start();
            c1.awaitLog("all control processes have reported their versions: accepting changes after 1.2");
            assertEquals(Publisher.Outcome.OLDER, send("fork", 1).outcome());
            publish("three", 2, 6);
            awaitResponse(port1, "three");
            awaitResponse(port3, "three");

            // A proxy with a restored disk must not serve the old version while control is reachable.
            p1.kill();
            p1.restoreBackup();
            p1.start();
            assertTrue(p1.awaitLog("on the disk").contains("has 1.1"));
            port1 = Processes.port(p1.awaitLog("listening on"));
            assertTrue(Processes.get(port1).endsWith("three"));
            startWithoutControl(new Processes.ManagedProcess[] {c1, c2, c3}, p1, p2);
        }
    }

    private void invalidChangeIsRefused(int port) throws Exception {
        try (ControlClient c = new ControlClient(processes.at("c1"), 10_000)) {
            Message.Published p = c.request(
                    new Message.Publish(1, "site.toml", Processes.document("wrong") + "odd = 1\n"),
                    Message.Published.class);
            assertEquals(Publisher.Outcome.WRONG, p.outcome());
            assertTrue(p.lines().get(0).startsWith("site.toml:8:1: "), p.lines().toString());
        }
        assertTrue(Processes.get(port).endsWith("one"));
    }

    private void foreignProtocolIsDisconnected(Processes.ManagedProcess control) throws Exception {
        try (Wire w = Wire.to(processes.at("c1")).write("GET / HTTP/1.1\r\n\r\n")) {
            assertEquals("", w.read());
        }
        assertTrue(control.awaitLog("closed the connection of").contains("a frame of 1195725856 bytes"));
    }

    private void concurrentChangesAreSerialized() throws Exception {
        CompletableFuture<Message.Published> a = CompletableFuture.supplyAsync(() -> sendUnchecked("two a"));
        CompletableFuture<Message.Published> b = CompletableFuture.supplyAsync(() -> sendUnchecked("two b"));
        Message.Published first = a.get().outcome() == Publisher.Outcome.ACCEPTED ? a.get() : b.get();
        Message.Published second = first == a.get() ? b.get() : a.get();
        assertEquals(Publisher.Outcome.ACCEPTED, first.outcome());
        assertEquals(Publisher.Outcome.OLDER, second.outcome());
        assertTrue(second.lines().get(0).contains("1.2"), second.lines().toString());
    }

    private Message.Published sendUnchecked(String word) {
        try {
            return send(word, 1);
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    /** No control process is running; the current file of one proxy is truncated, the other's is intact. */
    private void startWithoutControl(
            Processes.ManagedProcess[] control, Processes.ManagedProcess damaged, Processes.ManagedProcess intact)
            throws Exception {
        for (Processes.ManagedProcess c : control) {
            c.kill();
        }
        damaged.kill();
        intact.kill();
        byte[] current = Files.readAllBytes(damaged.folder().resolve("current"));
        Files.write(damaged.folder().resolve("current"), Arrays.copyOf(current, current.length / 2));
        damaged.start();
        intact.start();
        damaged.awaitLog("the file current is damaged");
        damaged.awaitLog("which may be older than the version that ran here before");
        int old = Processes.port(damaged.awaitLog("listening on"));
        assertTrue(Processes.get(old).endsWith("one"), "did not serve the previous version");
        assertTrue(
                Processes.get(Processes.port(intact.awaitLog("listening on"))).endsWith("three"));
        for (Processes.ManagedProcess c : control) {
            c.start();
        }
        awaitResponse(old, "three");
        processes.awaitInForce("c1", 3, 6);
    }
}
