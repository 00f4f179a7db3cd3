import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import kit.Agent;
import kit.Backend;
import kit.Client;
import kit.Http;
import kit.Kit;

/**
 * Bad clients send bodies of 60 MB; the proxy must not crash, and each request of a usual
 * client must get its answer half a second after its time at the latest.
 */
final class LongBodies {
    private static final int USUAL_CLIENTS = 30;
    private static final int BAD_CLIENTS = 150;
    private static final int RUN_S = 45;
    /** STANDING allows half a second after the request's time; PROTOCOL makes each limit 50 ms longer. */
    private static final long GRACE_NS = 550_000_000L;
    /** Of 64 KiB each: a body of 60 MB. */
    private static final int CHUNKS = 960;

    private static final byte[] CHUNK = ("10000\r\n" + "x".repeat(65536) + "\r\n").getBytes(StandardCharsets.US_ASCII);
    private static final AtomicLong ids = new AtomicLong(0x9b1f03aa5c7e2d41L);
    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicInteger served = new AtomicInteger();
    private static final AtomicInteger late = new AtomicInteger();
    private static final AtomicInteger none = new AtomicInteger();
    private static final AtomicInteger crossed = new AtomicInteger();
    private static final AtomicInteger excused = new AtomicInteger();
    private static final AtomicInteger bodies = new AtomicInteger();
    /** The last standstill of this program itself, so that it isn't taken for one of the proxy. */
    private static final AtomicLong lastStandstillNs = new AtomicLong(Long.MIN_VALUE);

    public static void main(String[] args) {
        Kit.main(Path.of(args[0]), LongBodies::run);
    }

    private static boolean run(Kit kit) throws Exception {
        watchOwnStandstills(kit);
        Agent agent = new Agent();
        for (int i = 0; i < 6; i++) {
            Random random = new Random(i);
            Backend backend = new Backend((c, r) -> {
                int ms;
                synchronized (random) {
                    ms = 5 + random.nextInt(20);
                }
                Thread.sleep(ms);
                c.answer(r.header("Request-Id"));
                return true;
            });
            agent.put("s-" + i, Agent.entry("s-" + i, backend.address(), "chuy", 0, "in_service", 0));
        }
        String profiles = Kit.profile("stock-check", "idempotent", "all", 5000, 250, 600, 5) + ","
                + Kit.profile("place-order", "deduplicated", "zone", 1200, 400, 1200, 10);
        Kit.Proxy proxy = kit.startProxy(
                "n1", agent.address(), agent.list(), Kit.settings(profiles, 1, "\"chuy\",\"rivera\",\"melo\"", 1200, 500));
        long until = System.nanoTime() + RUN_S * 1_000_000_000L;
        Thread[] usual = new Thread[USUAL_CLIENTS];
        for (int i = 0; i < usual.length; i++) {
            Random random = new Random(1000 + i);
            usual[i] = new Thread(() -> {
                while (System.nanoTime() < until && proxy.process().isAlive()) {
                    usualClient(kit, proxy.port(), random, until);
                }
            });
            usual[i].start();
        }
        Thread.sleep(2000);
        if (Kit.TROUBLE) {
            for (int i = 0; i < BAD_CLIENTS; i++) {
                Kit.thread("bad client", () -> {
                    while (System.nanoTime() < until && proxy.process().isAlive()) {
                        badClient(proxy.port());
                    }
                });
            }
        }
        for (Thread t : usual) {
            t.join();
        }
        boolean crashed = !proxy.process().isAlive();
        kit.logOf(proxy);
        if (crashed) {
            kit.log("CRASH: the proxy's process has ended with code " + proxy.process().exitValue());
        }
        kit.log("answered " + answered + ", of these served " + served + "; answered over 0.55 s after their time " + late
                + ", never answered " + none + "; not counted: closes that a request may have crossed " + crossed
                + ", late while this program stood still " + excused + "; long bodies " + bodies);
        if (served.get() < 500) {
            throw new IllegalStateException("too few requests were served");
        }
        return !crashed && late.get() + none.get() == 0;
    }

    /** A bad client: a usual request and one with a body of 60 MB in chunks at once; it reads what it is sent. */
    private static void badClient(int port) throws InterruptedException {
        try (Client c = new Client(port)) {
            Kit.thread("reader", () -> c.socket().getInputStream().transferTo(java.io.OutputStream.nullOutputStream()));
            c.write(Client.request("/stock-check", nextId(), null, 0.6, null, ""));
            String head = "POST /place-order HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: " + nextId()
                    + "\r\nRequest-Timeout: 1.200\r\nIdempotency-Key: bad\r\nTransfer-Encoding: chunked\r\n\r\n";
            c.write(head.getBytes(StandardCharsets.US_ASCII));
            bodies.incrementAndGet();
            for (int i = 0; i < CHUNKS; i++) {
                c.write(CHUNK);
            }
            c.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(200);
        } catch (IOException e) {
            Thread.sleep(20); // closed by the proxy, as such a client is owed
        }
    }

    private static String nextId() {
        return Long.toHexString(ids.getAndAdd(0x1234567));
    }

    private static void usualClient(Kit kit, int port, Random random, long until) {
        boolean isFirst = true;
        try (Client c = new Client(port)) {
            while (System.nanoTime() < until) {
                boolean isOrder = random.nextInt(3) == 0;
                String id = nextId();
                double timeS = isOrder ? 1.2 : 0.6;
                if (random.nextInt(3) == 0) {
                    timeS = 0.02 + 0.1 * random.nextDouble();
                }
                c.write(Client.request(
                        isOrder ? "/place-order" : "/stock-check",
                        id,
                        isOrder ? "key-" + id : null,
                        timeS,
                        isOrder ? "o".repeat(1000) : null,
                        ""));
                long sentNs = System.nanoTime();
                long dueNs = sentNs + (long) (timeS * 1e9) + GRACE_NS;
                Http.Message m = readAnswer(kit, c, id, sentNs);
                long nowNs = System.nanoTime();
                if (m == null) {
                    if (isFirst) {
                        none.incrementAndGet();
                        kit.log("LOST: request " + id + ", the first of its connection, got no answer");
                    } else {
                        crossed.incrementAndGet();
                    }
                    return;
                }
                isFirst = false;
                answered.incrementAndGet();
                served.addAndGet(m.status() == 200 ? 1 : 0);
                if (nowNs > dueNs && lastStandstillNs.get() > sentNs) {
                    excused.incrementAndGet();
                } else if (nowNs > dueNs) {
                    late.incrementAndGet();
                    kit.log("LOST: request " + id + " with " + timeS + " s was answered " + m.status() + " after "
                            + (nowNs - sentNs) / 1e9 + " s");
                }
                if (m.header("Connection").equals("close")) {
                    return;
                }
                Thread.sleep(random.nextInt(60));
            }
        } catch (IOException | InterruptedException e) {
            kit.log("a usual client's connection: " + e);
            sleep();
        }
    }

    private static void sleep() {
        try {
            Thread.sleep(50);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The answer; null if the connection has ended, or after 5 s. */
    private static Http.Message readAnswer(Kit kit, Client c, String id, long sentNs) {
        try {
            return c.read(5000);
        } catch (SocketTimeoutException e) {
            none.incrementAndGet();
            kit.log("LOST: request " + id + " got no answer for 5 s");
            return null;
        } catch (IOException e) {
            kit.log("the connection of request " + id + " ended after " + (System.nanoTime() - sentNs) / 1e9 + " s: " + e);
            return null;
        }
    }

    private static void watchOwnStandstills(Kit kit) {
        Kit.thread("standstills", () -> {
            long last = System.nanoTime();
            while (true) {
                Thread.sleep(5);
                long now = System.nanoTime();
                if (now - last > 100_000_000L) {
                    lastStandstillNs.set(now);
                    kit.log("this program stood still for " + (now - last) / 1e6 + " ms");
                }
                last = now;
            }
        });
    }
}
