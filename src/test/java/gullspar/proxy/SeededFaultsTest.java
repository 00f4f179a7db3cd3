package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.rehearse.faults.ErrorNumber;
import gullspar.rehearse.faults.SystemCall;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.ResourceLock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A real proxy process under load with a seeded sequence of faults: it stays alive, serves again within ten seconds
 * of the last fault, leaks no descriptors, and exits on SIGTERM.
 */
@Timeout(120)
@ResourceLock("much of the machine")
class SeededFaultsTest {
    /** To run more seeds: -Dgullspar.seeds=50. */
    private static final int SEEDS = Integer.getInteger("gullspar.seeds", 4);

    private static final int CLIENTS = 8;
    private static final int FAULTS = 12;
    private static final long MAX_FAULT_MS = 600;
    private static final long MAX_STOP_MS = 300;
    private static final List<ErrorNumber> SHORTAGES =
            List.of(ErrorNumber.ENOBUFS, ErrorNumber.ENOMEM, ErrorNumber.EMFILE, ErrorNumber.ENFILE);

    @TempDir
    Path folder;

    private final AtomicBoolean isDone = new AtomicBoolean();
    private final AtomicInteger answers = new AtomicInteger();
    private FaultyProxy proxy;

    static List<Integer> seeds() {
        List<Integer> seeds = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            seeds.add(seed);
        }
        return seeds;
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void recoversFromTheFaultsOfASeed(int seed) throws Exception {
        Random random = new Random(seed);
        proxy = new FaultyProxy(folder);
        List<Thread> clients = new ArrayList<>();
        try {
            proxy.start().awaitReady();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(startClient());
            }
            for (int i = 0; i < FAULTS; i++) {
                injectFault(random);
                assertTrue(proxy.process().isAlive(), () -> "the proxy ended: " + proxy.logText());
            }
            proxy.awaitServing(20);
            stopClients(clients);
            proxy.awaitMetric("descriptors_clients", 0);
            proxy.assertCleanExit();
        } finally {
            stopClients(clients);
            proxy.close();
        }
    }

    /** Sends requests, each on a new connection, until the test is done. */
    private Thread startClient() {
        Thread thread = new Thread(() -> {
            while (!isDone.get()) {
                proxy.sendRequest();
                answers.incrementAndGet();
            }
        });
        thread.start();
        return thread;
    }

    private void stopClients(List<Thread> clients) throws InterruptedException {
        isDone.set(true);
        for (Thread client : clients) {
            client.join();
        }
    }

    private void injectFault(Random random) throws Exception {
        switch (random.nextInt(4)) {
            case 0 -> failCalls(SystemCall.SOCKET, random);
            case 1 -> failCalls(SystemCall.ACCEPT, random);
            case 2 -> failCalls(SystemCall.CONNECT, random);
            default -> stopProcess(random);
        }
    }

    private void failCalls(SystemCall call, Random random) throws Exception {
        proxy.faults.failOneIn(1 + random.nextInt(4), call, SHORTAGES.get(random.nextInt(SHORTAGES.size())));
        TimeUnit.MILLISECONDS.sleep(random.nextLong(MAX_FAULT_MS));
        proxy.faults.restore(call);
    }

    private void stopProcess(Random random) throws Exception {
        proxy.signal("STOP");
        TimeUnit.MILLISECONDS.sleep(random.nextLong(MAX_STOP_MS));
        proxy.signal("CONT");
        proxy.signal("HUP");
    }
}
