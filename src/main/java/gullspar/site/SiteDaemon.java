package gullspar.site;

import gullspar.config.Site;
import gullspar.config.SiteReader;
import gullspar.decide.Balancer;
import gullspar.proxy.io.FileChanges;
import gullspar.proxy.io.LibraryLog;
import gullspar.proxy.io.Log;
import gullspar.proxy.io.Platform;
import gullspar.proxy.io.ServingLoop;
import gullspar.proxy.io.Signals;
import gullspar.proxy.operator.Companion;
import gullspar.proxy.operator.OperatorPort;
import gullspar.toml.ProblemsException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** The life of the process that serves by an operator's file: start, signals, the end. */
public final class SiteDaemon {
    private static final Log LOG = Log.standardError();

    private SiteDaemon() {}

    /**
     * Serves until the process is told to end. At each SIGHUP the file is read anew; one that has errors
     * changes nothing, and each of them is a line of the log. first reads it at the start, and says itself
     * what is wrong with it: then it is null, and this returns false. An IOException if nobody can listen.
     * companions: makes what takes part in the fleet, where the file says so.
     */
    public static boolean run(Path file, Supplier<Site> first, Balancer.Factory factory, Companion.Factory companions)
            throws IOException {
        return run(
                file,
                new Source() {
                    @Override
                    public Site first() {
                        return first.get();
                    }

                    @Override
                    public void serve(Taker to) {}

                    @Override
                    public void reload(Taker to) {
                        read(file, to);
                    }
                },
                factory,
                companions);
    }

    /** The same by another source; file: what companions read. */
    public static boolean run(Path file, Source source, Balancer.Factory factory, Companion.Factory companions)
            throws IOException {
        CompletableFuture<Runnable> started = new CompletableFuture<>();
        ServingLoop serving = ServingLoop.start();
        EventLoop loop = serving.loop();
        Runnable reload = () -> started.thenAccept(Runnable::run);
        if (!Signals.on("HUP", reload)) {
            LOG.say(Signals.NO_HUP);
            FileChanges.on(file, reload);
        }
        LibraryLog.install();
        Site site = source.first();
        if (site == null) {
            return false;
        }
        Platform platform = Platform.of(serving);
        OperatorPort port = site.operators().operatorAddress() == null
                ? null
                : listen(site.operators().operatorAddress(), platform);
        SiteProxy proxy = SiteProxy.start(site, platform, factory, System.nanoTime());
        Companion beside = site.operators().fleet() == null
                ? null
                : companions.start(file, System.getenv("NODE_NAME"), platform, proxy::load);
        loop.execute(() -> {
            if (port != null) {
                port.about(proxy);
                port.with(beside);
            }
            if (beside != null) {
                beside.at(Companion.Stage.SERVING);
            }
        });
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            if (beside != null) {
                                loop.execute(() -> beside.at(Companion.Stage.DRAINING));
                            }
                            proxy.drain().join();
                            if (beside != null) {
                                loop.submit(beside::leave)
                                        .syncUninterruptibly()
                                        .getNow()
                                        .join();
                            }
                            // A process that a signal ends reports the signal; this one has ended well.
                            Runtime.getRuntime().halt(0);
                        },
                        "drain"));
        site.listeners()
                .forEach(l -> LOG.say("listening on " + NetUtil.toSocketAddressString(proxy.address(l.address()))));
        Source.Taker taker = (s, done) -> loop.execute(() -> proxy.reload(s, done));
        source.serve(taker);
        started.complete(() -> {
            source.reload(taker);
            if (beside != null) {
                beside.reload();
            }
        });
        loop.terminationFuture().awaitUninterruptibly();
        throw new IOException("the event loop has ended"); // better gone than deaf
    }

    private static OperatorPort listen(InetSocketAddress address, Platform platform) throws IOException {
        OperatorPort port = new OperatorPort(platform);
        ChannelFuture bound = port.listen(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen for operators on " + NetUtil.toSocketAddressString(address)
                    + ": "
                    + bound.cause().getMessage());
        }
        return port;
    }

    /** Reads the file again, off the loop, and hands it over. */
    private static void read(Path file, Source.Taker to) {
        try {
            to.take(SiteReader.read(file), why -> {});
        } catch (ProblemsException e) {
            e.getMessage().lines().forEach(line -> LOG.say("the new configuration is not used: " + line));
        } catch (IOException e) {
            LOG.say("the new configuration is not used: " + file + " cannot be read: " + e.getMessage());
        }
    }
}
