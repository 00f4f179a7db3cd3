package gullspar.versions.net;

import gullspar.config.ControlFile;
import gullspar.proxy.io.LibraryLog;
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

/** The life of a control process. */
public final class ControlDaemon {
    private static final Log LOG = Log.standardError();

    private ControlDaemon() {}

    /** Runs until the process ends; an IOException if it cannot listen, or has no use of its folder. */
    public static void run(ControlFile file) throws IOException {
        LibraryLog.install();
        try (DiskFolder folder = DiskFolder.open(file.folder())) {
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
                    new SharedDocument()::problems);
            CompletableFuture<String> bound = new CompletableFuture<>();
            loop.execute(() -> node.start(found, bound::complete));
            String why = bound.join();
            if (why != null) {
                worker.shutdown();
                throw new IOException("cannot listen on "
                        + NetUtil.toSocketAddressString(file.controls().get(file.name())) + ": " + why);
            }
            // SIGTERM is the usual end: all that was acknowledged is kept, so nothing is left to do.
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(
                            () -> {
                                LOG.say("ends");
                                Runtime.getRuntime().halt(0);
                            },
                            "end"));
            LOG.say("control " + file.name()
                    + (file.name().equals(file.primary()) ? ", the primary," : ", after " + file.primary() + ",")
                    + " listens on "
                    + NetUtil.toSocketAddressString(node.address()));
            loop.terminationFuture().awaitUninterruptibly();
            throw new IOException("the event loop has ended");
        }
    }
}
