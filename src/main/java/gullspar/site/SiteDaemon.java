package gullspar.site;

import gullspar.config.Site;
import gullspar.config.SiteReader;
import gullspar.decide.Balancer;
import gullspar.proxy.io.LibraryLog;
import gullspar.proxy.io.Log;
import gullspar.proxy.io.Platform;
import gullspar.proxy.io.Signals;
import gullspar.toml.ProblemsException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** The life of the process that serves by an operator's file: start, signals, the end. */
public final class SiteDaemon {
    private static final Log LOG = Log.standardError();

    private SiteDaemon() { }

    /**
     * Serves until the process is told to end. At each SIGHUP the file is read anew; one that has errors
     * changes nothing, and each of them is a line of the log. first reads it at the start, and says itself
     * what is wrong with it: then it is null, and this returns false. An IOException if nobody can listen.
     */
    public static boolean run(Path file, Supplier<Site> first, Balancer.Factory factory) throws IOException {
        CompletableFuture<SiteProxy> started = new CompletableFuture<>();
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        if (!Signals.on("HUP", () -> started.thenAccept(p -> reload(p, loop, file)))) {
            LOG.say("this runtime cannot hear SIGHUP: the configuration is read at the start only");
        }
        LibraryLog.install();
        Site site = first.get();
        if (site == null) {
            return false;
        }
        SiteProxy proxy = SiteProxy.start(site, Platform.of(loop), factory, System.nanoTime());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            proxy.drain().join();
            // A process that a signal ends reports the signal; this one has ended well.
            Runtime.getRuntime().halt(0);
        }, "drain"));
        site.listeners().forEach(l -> LOG.say("listening on " + NetUtil.toSocketAddressString(l.address())));
        started.complete(proxy);
        loop.terminationFuture().awaitUninterruptibly();
        throw new IOException("the event loop has ended"); // better gone than deaf
    }

    /** Reads the file again, off the loop, and hands it over. */
    private static void reload(SiteProxy proxy, EventLoop loop, Path file) {
        try {
            Site site = SiteReader.read(file);
            loop.execute(() -> proxy.reload(site));
        } catch (ProblemsException e) {
            e.getMessage().lines().forEach(line -> LOG.say("the new configuration is not used: " + line));
        } catch (IOException e) {
            LOG.say("the new configuration is not used: " + file + " cannot be read: " + e.getMessage());
        }
    }
}
