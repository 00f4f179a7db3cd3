package gullspar.proxy;

import gullspar.decide.Balancer;
import gullspar.proxy.config.Config;
import gullspar.proxy.config.ConfigException;
import gullspar.proxy.io.LibraryLog;
import gullspar.proxy.io.Log;
import gullspar.proxy.io.Platform;
import gullspar.proxy.io.Signals;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** The life of the process that runs one proxy: warming up, serving, signals, the end. */
public final class Daemon {
    /**
     * Requests that are played before the proxy serves, and the longest that may take. While a proxy
     * warms up the others carry its load, and if the next one is told to end meanwhile, nobody does; with
     * fewer than some 100 requests played, up to a fifth of the first 5 s is late or refused.
     */
    private static final int WARM_REQUESTS = 300;
    private static final long WARM_MS = 2000;

    private static final Log LOG = Log.standardError();

    private Daemon() { }

    /**
     * Serves until the process is told to end. At each SIGHUP the configuration is read anew; one that cannot
     * be read changes nothing.
     */
    public static void run(Map<String, String> environment, Balancer.Factory factory)
            throws ConfigException, IOException {
        // The default would end the process, so this comes first: an early signal waits for the proxy.
        CompletableFuture<Proxy> started = new CompletableFuture<>();
        EventLoop loop = loop();
        if (!Signals.on("HUP", () -> started.thenAccept(p -> reload(p, loop, environment)))) {
            LOG.say("this runtime cannot hear SIGHUP: the configuration is read at the start only");
        }
        LibraryLog.install();
        LOG.say("starting");
        Config config = Config.read(environment);
        warm(config, factory);
        Proxy proxy = Proxy.start(config, Platform.of(loop), factory);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            proxy.drain().join();
            // A process that a signal ends reports the signal; this one has ended well.
            Runtime.getRuntime().halt(0);
        }, "drain"));
        started.complete(proxy);
        loop.terminationFuture().awaitUninterruptibly();
        throw new IOException("the event loop has ended"); // better gone than deaf
    }

    /** Warms up, starts a proxy, and ends it. */
    public static void warm(Map<String, String> environment, Balancer.Factory factory)
            throws ConfigException, IOException {
        Config config = Config.read(environment);
        warm(config, factory);
        Proxy.start(config, Platform.of(loop()), factory).drain().join();
    }

    private static void warm(Config config, Balancer.Factory factory) {
        LOG.say("served " + Warmup.run(config, factory, WARM_REQUESTS, WARM_MS) + " requests to warm up");
    }

    private static EventLoop loop() {
        return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    }

    /** Reads the configuration again, off the loop, and hands it over. */
    private static void reload(Proxy proxy, EventLoop loop, Map<String, String> environment) {
        try {
            Config config = Config.reread(environment);
            loop.execute(() -> proxy.reload(config));
        } catch (ConfigException e) {
            LOG.say("the new configuration is not used: " + e.getMessage());
        }
    }
}
