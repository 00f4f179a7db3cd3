package gullspar.proxy.soak;

import gullspar.proxy.soak.LongResponseBackend.Begun;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * One run: a proxy process with correct backends and clients of all kinds. At its end the process gets SIGTERM while
 * the clients go on using their open connections, and SIGKILL at the earliest time that the protocol allows.
 */
@SuppressWarnings("try")
final class SoakRun implements UsualClient.Context {
    /** The longest deadline of the settings and 0.7 s. */
    private static final long TERM_TO_KILL_MS = 1200 + 700;

    private static final int STACK_BYTES = 256 << 10;
    private static final long MAX_STOP_MS = 150;
    private static final long OWN_STANDSTILL_NS = 60_000_000L;
    private static final long TICK_MS = 5;

    private final SoakPlan plan;
    private final Random random;
    private final SoakReport report = new SoakReport();
    private final Map<String, Begun> begun = new ConcurrentHashMap<>();
    private final Requests requests = new Requests(report::fail);
    private final List<Thread> threads = new ArrayList<>();
    private InetSocketAddress address;
    private volatile boolean isEnding;
    private volatile long lastOwnStandstillNs = Long.MIN_VALUE;

    SoakRun(SoakPlan plan) {
        this.plan = plan;
        this.random = new Random(plan.seed());
    }

    /** Plays the plan with a folder for the files of the process; returns the report. */
    SoakResult play(Path folder) throws Exception {
        List<LongResponseBackend> backends = new ArrayList<>();
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < plan.backends(); i++) {
            backends.add(new LongResponseBackend(plan.seed() + i, plan.longShare(), requests, begun));
            addresses.add(backends.get(i).hostPort());
        }
        try (DiscoveryStream discovery =
                        new DiscoveryStream(DiscoveryList.of(addresses).toString());
                SoakProcess process = SoakProcess.start(plan, folder, discovery.hostPort(), addresses)) {
            return play(process);
        } finally {
            threads.forEach(Thread::interrupt);
            for (LongResponseBackend backend : backends) {
                backend.close();
            }
        }
    }

    private SoakResult play(SoakProcess process) throws Exception {
        address = process.address;
        start(this::watchOwnStandstills);
        for (int i = 0; i < plan.usualClients(); i++) {
            start(new UsualClient(this, random.nextLong()));
        }
        BadClient.Kind[] kinds = BadClient.Kind.values();
        for (int i = 0; i < plan.badClients(); i++) {
            start(new BadClient(kinds[i % kinds.length], address, random.nextLong(), plan.returnDelayMs()));
        }
        for (int i = 0; i < plan.crowd(); i++) {
            start(this::connectAndStay);
        }
        double startedWithS = process.processorSeconds();
        sendSignals(process);
        long peakMb = process.peakResidentMb();
        double usedS = process.processorSeconds() - startedWithS;
        if (!process.isAlive()) {
            report.fail("the process ended by itself");
        }
        isEnding = true;
        process.signal("TERM");
        TimeUnit.MILLISECONDS.sleep(TERM_TO_KILL_MS);
        threads.forEach(Thread::interrupt);
        process.close();
        return new SoakResult(plan, report, peakMb, usedS, process.logLines());
    }

    private void start(Runnable work) {
        Thread thread = new Thread(null, work, "soak", STACK_BYTES);
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    private void sendSignals(SoakProcess process) throws Exception {
        int signals = plan.hangups() + plan.stops();
        long pauseMs = TimeUnit.SECONDS.toMillis(plan.seconds()) / (signals + 1);
        for (int i = 0; i <= signals && process.isAlive(); i++) {
            TimeUnit.MILLISECONDS.sleep(pauseMs);
            if (i < plan.hangups()) {
                process.signal("HUP");
            } else if (i < signals) {
                process.signal("STOP");
                TimeUnit.MILLISECONDS.sleep(random.nextLong(MAX_STOP_MS));
                process.signal("CONT");
            }
        }
    }

    private void connectAndStay() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                try (Socket socket = new Socket()) {
                    socket.connect(address);
                    socket.getInputStream().read();
                } catch (java.io.IOException e) {
                    // closed to make room
                }
                TimeUnit.MILLISECONDS.sleep(random.nextInt(1000));
            }
        } catch (InterruptedException e) {
            // the run has ended
        }
    }

    private void watchOwnStandstills() {
        try {
            for (long last = System.nanoTime(); ; last = System.nanoTime()) {
                TimeUnit.MILLISECONDS.sleep(TICK_MS);
                if (System.nanoTime() - last > OWN_STANDSTILL_NS) {
                    lastOwnStandstillNs = System.nanoTime();
                }
            }
        } catch (InterruptedException e) {
            // the run has ended
        }
    }

    @Override
    public InetSocketAddress address() {
        return address;
    }

    @Override
    public Map<String, Begun> begun() {
        return begun;
    }

    @Override
    public SoakReport report() {
        return report;
    }

    @Override
    public boolean isReceived(String id) {
        return requests.isReceived(id);
    }

    @Override
    public boolean isShortOfConnections() {
        return plan.isShortOfConnections();
    }

    @Override
    public boolean isEnding() {
        return isEnding;
    }

    @Override
    public long lastOwnStandstillNs() {
        return lastOwnStandstillNs;
    }
}
