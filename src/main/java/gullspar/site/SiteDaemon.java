package gullspar.site;

import gullspar.config.Site;
import gullspar.config.SiteReader;
import gullspar.decide.Balancer;
import gullspar.proxy.io.FileWatcher;
import gullspar.proxy.io.LibraryLogHandler;
import gullspar.proxy.io.Log;
import gullspar.proxy.io.Platform;
import gullspar.proxy.io.ServingLoop;
import gullspar.proxy.io.Signals;
import gullspar.proxy.operator.AuxiliaryService;
import gullspar.proxy.operator.OperatorEndpoint;
import gullspar.toml.ProblemsException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Runs the process that serves an operator's configuration: start, signals and shutdown. */
public final class SiteDaemon {
    private static final Log LOG = Log.standardError();

    private SiteDaemon() {}

    /**
     * Serves until the process is asked to terminate. SIGHUP reloads the file; a file with errors changes nothing,
     * and each error is logged. initial reads the file at the start; if it returns null, having reported the
     * errors, this returns false. Throws an IOException if an address cannot be bound. fleetMembers creates the
     * fleet member if the file configures one.
     */
    public static boolean run(
            Path file, Supplier<Site> initial, Balancer.Factory factory, AuxiliaryService.Factory fleetMembers)
            throws IOException {
        return run(
                file,
                new ConfigSource() {
                    @Override
                    public Site initial() {
                        return initial.get();
                    }

                    @Override
                    public void start(ConfigReceiver to) {}

                    @Override
                    public void reload(ConfigReceiver to) {
                        reloadFile(file, to);
                    }
                },
                factory,
                fleetMembers);
    }

    /** Serves the configurations of another source; file is the one that fleetMembers reads. */
    public static boolean run(
            Path file, ConfigSource source, Balancer.Factory factory, AuxiliaryService.Factory fleetMembers)
            throws IOException {
        LibraryLogHandler.install();
        CompletableFuture<Runnable> started = new CompletableFuture<>();
        ServingLoop serving = ServingLoop.start();
        EventLoop loop = serving.loop();
        Runnable reload = () -> started.thenAccept(Runnable::run);
        if (!Signals.register("HUP", reload)) {
            LOG.write(Signals.HUP_UNAVAILABLE);
            FileWatcher.watch(file, reload);
        }
        Site site = source.initial();
        if (site == null) {
            return false;
        }
        Platform platform = Platform.of(serving);
        OperatorEndpoint operatorEndpoint = site.operators().operatorAddress() == null
                ? null
                : listen(site.operators().operatorAddress(), platform);
        SiteProxy proxy = SiteProxy.start(site, platform, factory, System.nanoTime());
        AuxiliaryService fleetMember = site.operators().fleet() == null
                ? null
                : fleetMembers.start(file, System.getenv("NODE_NAME"), platform, proxy::load);
        loop.execute(() -> {
            if (operatorEndpoint != null) {
                operatorEndpoint.setStatusSource(proxy);
                operatorEndpoint.setAuxiliaryService(fleetMember);
            }
            if (fleetMember != null) {
                fleetMember.onStage(AuxiliaryService.Stage.SERVING);
            }
        });
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            if (fleetMember != null) {
                                loop.execute(() -> fleetMember.onStage(AuxiliaryService.Stage.DRAINING));
                            }
                            proxy.drain().join();
                            if (fleetMember != null) {
                                loop.submit(fleetMember::leave)
                                        .syncUninterruptibly()
                                        .getNow()
                                        .join();
                            }
                            // Exits with 0 after a drain; otherwise the exit status would be that of the signal.
                            Runtime.getRuntime().halt(0);
                        },
                        "drain"));
        site.listeners()
                .forEach(l -> LOG.write("listening on " + NetUtil.toSocketAddressString(proxy.address(l.address()))));
        ConfigSource.ConfigReceiver receiver = (s, done) -> loop.execute(() -> proxy.reload(s, done));
        source.start(receiver);
        started.complete(() -> {
            source.reload(receiver);
            if (fleetMember != null) {
                fleetMember.reload();
            }
        });
        loop.terminationFuture().awaitUninterruptibly();
        throw new IOException("the event loop terminated unexpectedly"); // a supervisor can restart the process
    }

    private static OperatorEndpoint listen(InetSocketAddress address, Platform platform) throws IOException {
        OperatorEndpoint endpoint = new OperatorEndpoint(platform);
        ChannelFuture bound = endpoint.listen(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen for operators on " + NetUtil.toSocketAddressString(address)
                    + ": "
                    + bound.cause().getMessage());
        }
        return endpoint;
    }

    /** Reads the file again, outside the event loop, and passes it to the receiver. */
    private static void reloadFile(Path file, ConfigSource.ConfigReceiver receiver) {
        try {
            receiver.accept(SiteReader.read(file), why -> {});
        } catch (ProblemsException e) {
            e.getMessage().lines().forEach(line -> LOG.write("the new configuration is not used: " + line));
        } catch (IOException e) {
            LOG.write("the new configuration is not used: " + file + " cannot be read: " + e.getMessage());
        }
    }
}
