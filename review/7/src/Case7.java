import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients send hundreds of requests at once: do usual clients still get their answers in time? */
final class Case7 {
    private static final int BACKENDS = 8;
    private static final int USUAL_CLIENTS = 30;
    private static final int BAD_CLIENTS = 150;
    private static final int BAD_REQUESTS = 300;
    private static final int WAVES = 5;
    private static final double FIRST_WAVE_S = 2;
    private static final double WAVE_INTERVAL_S = 3;
    private static final double LATE_S = 0.55;
    private static final double OWN_STANDSTILL_S = 0.1;
    private static final double[] TIMEOUTS_S = {0.1, 0.6, 1.2};

    private final Stand stand;
    private final AtomicInteger inTime = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger notCounted = new AtomicInteger();
    /** When this program last stood still, in seconds of the case. */
    private volatile double stoodStillAt = -1;

    private Case7(Stand stand) {
        this.stand = stand;
    }

    public static void main(String[] args) {
        Stand.run(args[0], s -> new Case7(s).test());
    }

    private Stand.Result test() throws Exception {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            Stand.Backend backend = stand.new Backend("s" + i);
            backend.isLogged = false;
            entries.add(backend.entry("chuy", "in_service"));
        }
        Stand.Discovery discovery = stand.new Discovery(entries);
        Stand.Proxy proxy = stand.new Proxy(Stand.frontera(discovery.port), discovery.port);
        double startedAt = stand.now();
        double end = startedAt + FIRST_WAVE_S + WAVES * WAVE_INTERVAL_S;
        startDaemon(() -> watchOwnStandstills(end));
        for (int i = 0; stand.trouble && i < BAD_CLIENTS; i++) {
            String name = "bad" + i;
            startDaemon(() -> sendWaves(proxy.port, name, startedAt));
        }
        List<Thread> usual = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            int number = i;
            usual.add(startDaemon(() -> sendUsual(proxy.port, number, end)));
        }
        for (Thread t : usual) {
            t.join();
        }
        stand.log("usual requests answered in time: " + inTime + ", later than " + LATE_S + " s after their time: " + late
                + ", not counted: " + notCounted);
        return late.get() == 0 ? Stand.Result.HELD : Stand.Result.BROKEN;
    }

    private static Thread startDaemon(Runnable task) {
        Thread t = new Thread(task);
        t.setDaemon(true);
        t.start();
        return t;
    }

    private void watchOwnStandstills(double end) {
        double last = stand.now();
        while (stand.now() < end) {
            Stand.sleep(10);
            double now = stand.now();
            if (now - last > OWN_STANDSTILL_S) {
                stoodStillAt = now;
                stand.log("this program stood still for " + (now - last) + " s");
            }
            last = now;
        }
    }

    /** Sends its requests in one write at each wave, and reads what it is sent. */
    private void sendWaves(int port, String name, double startedAt) {
        for (int wave = 0; wave < WAVES; wave++) {
            double at = startedAt + FIRST_WAVE_S + wave * WAVE_INTERVAL_S;
            Stand.sleep((long) Math.max(0, (at - stand.now()) * 1000));
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < BAD_REQUESTS; i++) {
                all.append(Stand.get(name + "-" + wave + "-" + i, 1));
            }
            try (Stand.Client client = new Stand.Client(port, (int) TimeUnit.SECONDS.toMillis(2))) {
                Stand.write(client.socket.getOutputStream(), all.toString());
                byte[] bytes = new byte[1 << 16];
                while (client.socket.getInputStream().read(bytes) >= 0) {
                    // reads all that comes
                }
            } catch (IOException e) {
                // it has been closed, or nothing more comes
            }
        }
    }

    /** Sends one request at a time on a connection that it keeps. */
    private void sendUsual(int port, int number, double end) {
        Random random = new Random(number);
        Stand.Client client = null;
        for (int i = 0; stand.now() < end; i++) {
            double timeoutS = TIMEOUTS_S[i % TIMEOUTS_S.length];
            String id = "usual" + number + "-" + i;
            double sentAt = stand.now();
            String seen = "";
            try {
                client = client == null ? new Stand.Client(port, (int) TimeUnit.SECONDS.toMillis(10)) : client;
                sentAt = stand.now();
                Stand.Message answer = client.ask(Stand.get(id, timeoutS));
                seen = answer.line;
                if (answer.field("Connection").equals("close")) {
                    close(client);
                    client = null;
                }
            } catch (SocketTimeoutException e) {
                seen = "no answer";
                close(client);
                client = null;
            } catch (IOException e) {
                close(client); // closed unread, to make room: the client would send it once more
                client = null;
            }
            judge(id, timeoutS, sentAt, seen);
            Stand.sleep(random.nextInt(100));
        }
        close(client);
    }

    private void judge(String id, double timeoutS, double sentAt, String seen) {
        double tookS = stand.now() - sentAt;
        boolean isLate = tookS > timeoutS + LATE_S;
        if (seen.isEmpty() || isLate && stoodStillAt >= sentAt) {
            notCounted.incrementAndGet();
        } else if (isLate) {
            late.incrementAndGet();
            stand.log("client: " + id + " has " + timeoutS + " s, got '" + seen + "' after " + tookS + " s");
        } else {
            inTime.incrementAndGet();
        }
    }

    private static void close(Stand.Client client) {
        try {
            if (client != null) {
                client.close();
            }
        } catch (IOException e) {
            // it is closed already
        }
    }
}
