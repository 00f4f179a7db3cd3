package gullspar.versions.net;

import gullspar.config.ControlFile;
import gullspar.proxy.io.LibraryLogHandler;
import gullspar.proxy.io.Log;
import gullspar.proxy.io.Platform;
import gullspar.proxy.io.ServingLoop;
import gullspar.versions.file.DiskFolder;
import gullspar.versions.file.Store;
import io.netty.channel.EventLoop;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Runs a control process. */
public final class ControlDaemon {
    private static final Log LOG = Log.standardError();

    private ControlDaemon() {}

    /** Runs until the process ends; throws IOException if it cannot listen or cannot use its folder. */
    public static void run(ControlFile file) throws IOException {
        LibraryLogHandler.install();
        try (DiskFolder folder = DiskFolder.open(file.directory())) {
            Store store = new Store(folder);
            Store.Found found = store.read();
            ServingLoop serving = ServingLoop.start();
            EventLoop loop = serving.loop();
            ExecutorService worker = Executors.newSingleThreadExecutor();
            ControlNode node = new ControlNode(
                    file,
                    Platform.of(serving),
                    store,
                    worker,
                    new SplittableRandom(System.nanoTime()),
                    new DocumentValidator()::problems);
            CompletableFuture<String> bound = new CompletableFuture<>();
            loop.execute(() -> node.start(found, bound::complete));
            String failure = bound.join();
            if (failure != null) {
                worker.shutdown();
                throw new IOException("cannot listen on "
                        + NetUtil.toSocketAddressString(file.controls().get(file.name())) + ": " + failure);
            }
            // SIGTERM is the usual way to stop: all acknowledged changes are persisted, so no cleanup is needed.
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(
                            () -> {
                                LOG.write("shutting down");
                                Runtime.getRuntime().halt(0);
                            },
                            "end"));
            LOG.write("control " + file.name()
                    + (file.name().equals(file.primary()) ? " (primary)" : " (following " + file.primary() + ")")
                    + " listens on "
                    + NetUtil.toSocketAddressString(node.address()));
            loop.terminationFuture().awaitUninterruptibly();
            throw new IOException("the event loop has terminated unexpectedly");
        }
    }
}
