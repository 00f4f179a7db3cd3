package gullspar.cli;

import gullspar.rehearse.live.LivePlay;
import gullspar.rehearse.script.Script;
import gullspar.rehearse.script.ScriptReader;
import gullspar.toml.ProblemsException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a small demonstration fleet on loopback until {@code --seconds} or Ctrl-C. */
@Command(
        name = "try",
        mixinStandardHelpOptions = true,
        description = {
            "Starts a small fleet, discovery and one real daemon on loopback, with a little traffic, and shows how "
                    + "to send",
            "a request by hand. Needs no configuration. Ctrl-C stops everything."
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:stopped after --seconds",
            "1:it could not be started",
            "2:wrong usage",
            "130:stopped by Ctrl-C"
        })
final class TryCommand implements Callable<Integer> {
    private static final long SHUTDOWN_TIMEOUT_S = 10;

    @Option(names = "--seconds", paramLabel = "N", description = "Stops after this many seconds.")
    private Integer stopAfterSeconds;

    private boolean hasPrintedInstructions;

    @Override
    public Integer call() {
        Terminal terminal = new Terminal();
        CountDownLatch stopRequested = new CountDownLatch(1);
        CountDownLatch hasStopped = new CountDownLatch(1);
        // On Ctrl-C, the JVM must not exit before the processes of the fleet are stopped.
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            stopRequested.countDown();
                            try {
                                hasStopped.await(SHUTDOWN_TIMEOUT_S, TimeUnit.SECONDS);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "end"));
        if (stopAfterSeconds != null) {
            CompletableFuture.delayedExecutor(stopAfterSeconds, TimeUnit.SECONDS)
                    .execute(stopRequested::countDown);
        }
        System.out.println("starting three nodes, discovery and one proxy on loopback ...");
        try {
            LivePlay.playUntil(script(), now -> printStatus(terminal, now), stopRequested);
            terminal.clearStatus();
            return 0;
        } catch (IOException e) {
            terminal.clearStatus();
            System.err.println("cannot start the demonstration fleet: " + e.getMessage());
            return 1;
        } finally {
            hasStopped.countDown();
        }
    }

    /** Reads the script of the demonstration from the jar. */
    private static Script script() throws IOException {
        try (InputStream in = TryCommand.class.getResourceAsStream("/gullspar/rehearse/try.toml")) {
            return ScriptReader.parse(new String(in.readAllBytes(), StandardCharsets.UTF_8), "try.toml");
        } catch (ProblemsException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    /** Prints the instructions on the first call, and updates the status line. */
    private void printStatus(Terminal terminal, LivePlay.Status status) {
        if (!hasPrintedInstructions) {
            hasPrintedInstructions = true;
            String baseUrl = "http://" + status.proxyAddress().getAddress().getHostAddress() + ":"
                    + status.proxyAddress().getPort();
            System.out.println("ready. Requests to paste into another terminal (each needs a unique id):");
            System.out.println();
            System.out.println(
                    "  curl -i -H \"Request-Id: $RANDOM$RANDOM\" -H 'Request-Timeout: 1' " + baseUrl + "/look/1");
            System.out.println("  curl -i -H \"Request-Id: $RANDOM$RANDOM\" -H 'Request-Timeout: 1'"
                    + " -H 'Idempotency-Key: my-order-1' -d 'two bottles' " + baseUrl + "/order/1");
            System.out.println();
            System.out.println("Ctrl-C stops everything.");
        }
        terminal.showStatus(String.format(
                Locale.ROOT,
                "%d nodes, %.0f orders a second, %.1f %% served in time, %d requests by hand",
                status.nodes(),
                status.ordersPerS(),
                100 * status.inTimeShare(),
                status.manualRequests()));
    }
}
