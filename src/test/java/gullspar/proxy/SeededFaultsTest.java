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
 * A real process under load while faults come and go by a seed: it lives, serves again within ten seconds of the
 * last one, holds no descriptor that is not open, and ends when it is told to.
 */
@Timeout(120)
@ResourceLock("much of the machine")
class SeededFaultsTest {
    /** More seeds by hand: -Dgullspar.seeds=50. */
    private static final int SEEDS = Integer.getInteger("gullspar.seeds", 4);

    private static final int CLIENTS = 8;
    private static final int FAULTS = 12;
    private static final long LONGEST_FAULT_MS = 600;
    private static final long LONGEST_STOP_MS = 300;
    private static final List<ErrorNumber> SHORTAGES =
            List.of(ErrorNumber.ENOBUFS, ErrorNumber.ENOMEM, ErrorNumber.EMFILE, ErrorNumber.ENFILE);

    @TempDir
    Path folder;

    private final AtomicBoolean over = new AtomicBoolean();
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
                clients.add(client());
            }
            for (int i = 0; i < FAULTS; i++) {
                fault(random);
                assertTrue(proxy.process().isAlive(), () -> "it ended: " + proxy.said());
            }
            proxy.awaitServing(20);
            end(clients);
            proxy.awaitFigure("descriptors_clients", 0);
            proxy.endsWell();
        } finally {
            end(clients);
            proxy.close();
        }
    }

    /** Asks on a connection of its own each time, until the end. */
    private Thread client() {
        Thread thread = new Thread(() -> {
            while (!over.get()) {
                proxy.ask();
                answers.incrementAndGet();
            }
        });
        thread.start();
        return thread;
    }

    private void end(List<Thread> clients) throws InterruptedException {
        over.set(true);
        for (Thread client : clients) {
            client.join();
        }
    }

    private void fault(Random random) throws Exception {
        switch (random.nextInt(4)) {
            case 0 -> failing(SystemCall.SOCKET, random);
            case 1 -> failing(SystemCall.ACCEPT, random);
            case 2 -> failing(SystemCall.CONNECT, random);
            default -> stopped(random);
        }
    }

    private void failing(SystemCall call, Random random) throws Exception {
        proxy.faults.failOneIn(1 + random.nextInt(4), call, SHORTAGES.get(random.nextInt(SHORTAGES.size())));
        TimeUnit.MILLISECONDS.sleep(random.nextLong(LONGEST_FAULT_MS));
        proxy.faults.heal(call);
    }

    private void stopped(Random random) throws Exception {
        proxy.signal("STOP");
        TimeUnit.MILLISECONDS.sleep(random.nextLong(LONGEST_STOP_MS));
        proxy.signal("CONT");
        proxy.signal("HUP");
    }
}
