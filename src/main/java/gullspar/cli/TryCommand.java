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

/** Runs a small demonstration fleet on loopback. */
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
    private Integer seconds;

    private boolean hasPrintedInstructions;

    @Override
    public Integer call() {
        Terminal terminal = new Terminal();
        CountDownLatch stop = new CountDownLatch(1);
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            stop.countDown();
                            try {
                                stopped.await(SHUTDOWN_TIMEOUT_S, TimeUnit.SECONDS);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "end"));
        if (seconds != null) {
            CompletableFuture.delayedExecutor(seconds, TimeUnit.SECONDS).execute(stop::countDown);
        }
        System.out.println("starting three nodes, discovery and one proxy on loopback ...");
        try {
            LivePlay.playUntil(script(), now -> printStatus(terminal, now), stop);
            terminal.clear();
            return 0;
        } catch (IOException e) {
            terminal.clear();
            System.err.println("cannot start the demonstration fleet: " + e.getMessage());
            return 1;
        } finally {
            stopped.countDown();
        }
    }

    private static Script script() throws IOException {
        try (InputStream in = TryCommand.class.getResourceAsStream("/gullspar/rehearse/try.toml")) {
            return ScriptReader.parse(new String(in.readAllBytes(), StandardCharsets.UTF_8), "try.toml");
        } catch (ProblemsException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private void printStatus(Terminal terminal, LivePlay.Status now) {
        if (!hasPrintedInstructions) {
            hasPrintedInstructions = true;
            String at = "http://" + now.proxyAddress().getAddress().getHostAddress() + ":"
                    + now.proxyAddress().getPort();
            System.out.println("ready. Requests to paste into another terminal (each needs a unique " + "id):");
            System.out.println();
            System.out.println("  curl -i -H \"Request-Id: $RANDOM$RANDOM\" -H 'Request-Timeout: 1' " + at + "/look/1");
            System.out.println("  curl -i -H \"Request-Id: $RANDOM$RANDOM\" -H 'Request-Timeout: 1'"
                    + " -H 'Idempotency-Key: my-order-1' -d 'two bottles' " + at + "/order/1");
            System.out.println();
            System.out.println("Ctrl-C stops everything.");
        }
        terminal.status(String.format(
                Locale.ROOT,
                "%d nodes, %.0f orders a second, %.1f %% served in time," + " %d requests by hand",
                now.nodes(),
                now.ordersPerS(),
                100 * now.inTimeShare(),
                now.manualRequests()));
    }
}
