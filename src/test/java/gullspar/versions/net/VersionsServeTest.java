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

/** Control processes and proxies as they are started in service, and what is broken between them. */
@Timeout(180)
@Execution(ExecutionMode.CONCURRENT)
@ResourceLock("much of the machine")
class VersionsServeTest {
    @TempDir
    private Path folder;

    private Processes town;

    /** Publishes, and waits until it is in force at so many. */
    private void publish(String word, long after, int followers) throws Exception {
        Message.Published p = told(word, after);
        assertEquals(Publisher.Outcome.ACCEPTED, p.outcome(), p.lines().toString());
        town.inForce("c1", p.head().number(), followers);
    }

    private Message.Published told(String word, long after) throws Exception {
        try (ControlClient c = new ControlClient(town.at("c1"), 10_000)) {
            return c.request(
                    new Message.Publish(after, "site.toml", Processes.document(word)), Message.Published.class);
        }
    }

    /** Waits until a proxy that listens there answers with that word. */
    private static void answers(int port, String word) throws Exception {
        String last = "";
        for (int i = 0; i < 600; i++) {
            last = Processes.asked(port);
            if (last.endsWith(word)) {
                return;
            }
            Thread.sleep(20);
        }
        throw new AssertionError("asked for " + word + ", answered " + last);
    }

    @Test
    void aChangeIsInForceEverywhereOrNowhereWhateverEnds() throws Exception {
        try (Processes t = new Processes(folder)) {
            town = t;
            t.controls("c1", "c2", "c3");
            Processes.One c1 = t.control("c1", "c1", "").start();
            Processes.One c2 = t.control("c2", "c1", "").start();
            Processes.One c3 = t.control("c3", "c1", "").start();
            Processes.One p1 = t.proxy("p1").start();
            Processes.One p2 = t.proxy("p2").start();
            c1.said("all control processes have reported their versions");
            publish("one", 0, 5);
            int at1 = Processes.port(p1.said("listening on"));
            int at2 = Processes.port(p2.said("listening on"));
            answers(at1, "one");
            for (Processes.One o : new Processes.One[] {c1, c2, p1}) {
                o.backUp();
            }

            wrongChange(at1);
            noise(c1);
            twoAtOnce();
            t.inForce("c1", 2, 5);
            String two = Processes.asked(at1);
            assertEquals(two, Processes.asked(at2));

            // The primary ends: no changes, all else goes on; a proxy that begins anew gets the newest.
            c1.kill();
            assertThrows(IOException.class, () -> told("none", 2));
            Processes.One p3 = t.proxy("p3").start();
            int at3 = Processes.port(p3.said("listening on"));
            assertEquals(two, Processes.asked(at3));
            assertEquals(two, Processes.asked(at1));

            // Its disk is put back: it asks the others before it takes a change.
            c1.putBack();
            c2.kill();
            c1.start();
            c1.said("starting with version 1.1");
            t.inForce("c1", 2, 2);
            assertEquals(Publisher.Outcome.NOT_READY, told("fork", 1).outcome(), "c2 was not heard yet");
            c2.putBack(); // and that of another control process
            c2.start();
            c1.said("all control processes have reported their versions: accepting changes after 1.2");
            assertEquals(Publisher.Outcome.OLDER, told("fork", 1).outcome());
            publish("three", 2, 6);
            answers(at1, "three");
            answers(at3, "three");

            // A proxy's disk is put back, while control is there: it never serves what it had on it.
            p1.kill();
            p1.putBack();
            p1.start();
            assertTrue(p1.said("on the disk").contains("has 1.1"));
            at1 = Processes.port(p1.said("listening on"));
            assertTrue(Processes.asked(at1).endsWith("three"));
            allGone(new Processes.One[] {c1, c2, c3}, p1, p2);
        }
    }

    private void wrongChange(int at) throws Exception {
        try (ControlClient c = new ControlClient(town.at("c1"), 10_000)) {
            Message.Published p = c.request(
                    new Message.Publish(1, "site.toml", Processes.document("wrong") + "odd = 1\n"),
                    Message.Published.class);
            assertEquals(Publisher.Outcome.WRONG, p.outcome());
            assertTrue(p.lines().get(0).startsWith("site.toml:8:1: "), p.lines().toString());
        }
        assertTrue(Processes.asked(at).endsWith("one"));
    }

    private void noise(Processes.One control) throws Exception {
        try (Wire w = Wire.to(town.at("c1")).write("GET / HTTP/1.1\r\n\r\n")) {
            assertEquals("", w.read());
        }
        assertTrue(control.said("closed the connection of").contains("a frame of 1195725856 bytes"));
    }

    private void twoAtOnce() throws Exception {
        CompletableFuture<Message.Published> a = CompletableFuture.supplyAsync(() -> quietly("two a"));
        CompletableFuture<Message.Published> b = CompletableFuture.supplyAsync(() -> quietly("two b"));
        Message.Published first = a.get().outcome() == Publisher.Outcome.ACCEPTED ? a.get() : b.get();
        Message.Published second = first == a.get() ? b.get() : a.get();
        assertEquals(Publisher.Outcome.ACCEPTED, first.outcome());
        assertEquals(Publisher.Outcome.OLDER, second.outcome());
        assertTrue(second.lines().get(0).contains("1.2"), second.lines().toString());
    }

    private Message.Published quietly(String word) {
        try {
            return told(word, 1);
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    /** All of control is gone, one proxy's file is torn, another's is not. */
    private void allGone(Processes.One[] control, Processes.One torn, Processes.One whole) throws Exception {
        for (Processes.One c : control) {
            c.kill();
        }
        torn.kill();
        whole.kill();
        byte[] current = Files.readAllBytes(torn.folder().resolve("current"));
        Files.write(torn.folder().resolve("current"), Arrays.copyOf(current, current.length / 2));
        torn.start();
        whole.start();
        torn.said("the file current is damaged");
        torn.said("which may be older than the version that ran here before");
        int old = Processes.port(torn.said("listening on"));
        assertTrue(Processes.asked(old).endsWith("one"), "the copy before");
        assertTrue(Processes.asked(Processes.port(whole.said("listening on"))).endsWith("three"));
        for (Processes.One c : control) {
            c.start();
        }
        answers(old, "three");
        town.inForce("c1", 3, 6);
    }
}
