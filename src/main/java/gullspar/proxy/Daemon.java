package gullspar.proxy;

import gullspar.decide.Balancer;
import gullspar.proxy.config.Config;
import gullspar.proxy.config.ConfigException;
import gullspar.proxy.io.ClassArchive;
import gullspar.proxy.io.FileChanges;
import gullspar.proxy.io.Inherited;
import gullspar.proxy.io.LibraryLog;
import gullspar.proxy.io.ListenRetry;
import gullspar.proxy.io.Log;
import gullspar.proxy.io.Platform;
import gullspar.proxy.io.ServingLoop;
import gullspar.proxy.io.Signals;
import gullspar.proxy.operator.AuxiliaryService;
import gullspar.proxy.operator.OperatorEndpoint;
import gullspar.proxy.operator.RequestCounters;
import gullspar.proxy.operator.StatusReport;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** The life of the process that runs one proxy: warming up, serving, signals, the end. */
public final class Daemon {
    /** Requests that are played before the proxy serves, so that its code is compiled. */
    private static final int WARM_REQUESTS = 300;
    /** The longest that the warm-up may take, while other proxies carry the load. */
    private static final long WARM_MS = 2000;
    /** The same where classes are loaded one by one, which takes longer. */
    private static final long WARM_UNARCHIVED_MS = 3500;

    /** A new configuration counts 4 s after its signal: within half of that it is read again. */
    private static final int REREADS = 10;

    private static final long REREAD_PAUSE_MS = 200;

    private static final Log LOG = Log.standardError();

    private Daemon() {}

    /**
     * Serves until the process is told to end. At each SIGHUP the configuration is read anew; one that cannot
     * be read changes nothing. companions: makes what runs beside the proxy, where the configuration names an
     * operators' file; it may make nothing, null. last: done before the process ends at a signal.
     */
    public static void run(
            Map<String, String> environment,
            Runnable last,
            Balancer.Factory factory,
            AuxiliaryService.Factory companions)
            throws ConfigException, IOException {
        // The default would end the process, so this comes first: an early signal waits for the proxy.
        CompletableFuture<Proxy> started = new CompletableFuture<>();
        ServingLoop serving = ServingLoop.start();
        EventLoop loop = serving.loop();
        Reloads reloads = new Reloads(environment, loop);
        Runnable reload = () -> started.thenAccept(reloads::read);
        if (!Signals.on("HUP", reload)) {
            LOG.say(Signals.NO_HUP);
            Config.file(environment).ifPresent(file -> FileChanges.on(file, reload));
        }
        Ending ending = new Ending(last);
        try {
            serve(environment, factory, companions, serving, reloads, started, ending);
        } finally {
            ending.never(); // what has failed must not seem to have ended well
        }
    }

    private static void serve(
            Map<String, String> environment,
            Balancer.Factory factory,
            AuxiliaryService.Factory companions,
            ServingLoop serving,
            Reloads reloads,
            CompletableFuture<Proxy> started,
            Ending ending)
            throws ConfigException, IOException {
        EventLoop loop = serving.loop();
        LibraryLog.install();
        LOG.say("starting, pid " + ProcessHandle.current().pid() + ", user " + System.getProperty("user.name"));
        ClassArchive archive = ClassArchive.ofThisProcess();
        if (archive == ClassArchive.UNUSED) {
            LOG.say("the class archive is not used, it was made for another build or runtime: build again; "
                    + "until then starts take longer");
        }
        Config config = reloads.first();
        LOG.say("configured: listens on " + (config.inherited() ? "descriptor 0" : config.listen()) + ", discovery "
                + config.discovery() + ", descriptors " + config.sockets());
        Platform platform =
                config.inherited() ? Platform.of(serving, Inherited.transport(loop), LOG) : Platform.of(serving);
        OperatorEndpoint port = operatorPort(config, platform);
        Proxy proxy = Proxy.on(platform, () -> Proxy.asking(config, platform, factory));
        started.complete(proxy); // what a new configuration changes counts during the warm-up too
        AuxiliaryService beside = config.operatorsFile() == null
                ? null
                : companions.start(config.operatorsFile(), config.name(), platform, proxy::load);
        if (beside != null) {
            reloads.also(beside);
            if (port != null) {
                loop.execute(() -> port.setAuxiliaryService(beside));
            }
        }
        warm(config, factory, archive); // meanwhile discovery may answer
        if (!ending.from(beside == null ? () -> proxy.drain().join() : together(proxy, beside, loop))) {
            loop.terminationFuture().awaitUninterruptibly(); // told to end: it does not open
        }
        Proxy.on(platform, () -> {
                    proxy.open();
                    return proxy;
                })
                .bound();
        if (beside != null) {
            loop.execute(() -> beside.onStage(AuxiliaryService.Stage.SERVING));
        }
        if (port != null) {
            loop.execute(() -> port.setStatusSource(proxy));
        }
        loop.terminationFuture().awaitUninterruptibly();
        throw new IOException("the event loop has ended"); // better gone than deaf
    }

    /**
     * What a signal to end does, at whatever moment it comes. Until the proxy opens it holds nothing, and the
     * process just ends; from then on all is answered first. One that is told to end does not open any more.
     */
    private static final class Ending implements Runnable {
        private final Runnable last;
        private Runnable first = () -> {};
        private boolean begun;
        private boolean failed;

        Ending(Runnable last) {
            this.last = last;
            Runtime.getRuntime().addShutdownHook(new Thread(this, "drain"));
        }

        synchronized void never() {
            failed = true;
        }

        private synchronized boolean failed() {
            return failed;
        }

        /** That comes first from now on; false if the end has begun. */
        synchronized boolean from(Runnable drain) {
            first = drain;
            return !begun;
        }

        private synchronized Runnable begin() {
            begun = true;
            return first;
        }

        @Override
        public void run() {
            if (failed()) {
                return;
            }
            begin().run();
            last.run();
            // A process that a signal ends reports the signal; this one has ended well.
            Runtime.getRuntime().halt(0);
        }
    }

    /** The end of a proxy with a companion; apart, so that without one its class is not needed. */
    private static Runnable together(Proxy proxy, AuxiliaryService beside, EventLoop loop) {
        return () -> {
            loop.execute(() -> beside.onStage(AuxiliaryService.Stage.DRAINING));
            proxy.drain().join();
            loop.submit(beside::leave).syncUninterruptibly().getNow().join();
        };
    }

    /** Warms up, starts a proxy, and ends it. */
    public static void warm(Map<String, String> environment, Balancer.Factory factory)
            throws ConfigException, IOException {
        Config config = Config.read(environment);
        warm(config, factory, ClassArchive.NONE);
        // The classes of both ways are recorded: which one the platform leaves is not known here.
        Warmup.within(config, factory, WARM_REQUESTS, WARM_MS);
        Proxy.start(config, Platform.of(ServingLoop.start()), factory).drain().join();
    }

    private static void warm(Config config, Balancer.Factory factory, ClassArchive archive) {
        if (config.operator() != null) {
            OperatorEndpoint.warmUp(new OperatorEndpoint.StatusSource() {
                @Override
                public boolean isReady() {
                    return false;
                }

                @Override
                public String statusJson() {
                    return new StatusReport(
                                    config.classes(),
                                    new RequestCounters(),
                                    0,
                                    0,
                                    0,
                                    0,
                                    null,
                                    new StatusReport.Descriptors(0, 0))
                            .json();
                }
            });
        }
        long limitMs = archive == ClassArchive.UNUSED ? WARM_UNARCHIVED_MS : WARM_MS;
        LOG.say("served " + Warmup.run(config, factory, WARM_REQUESTS, limitMs) + " requests to warm up");
    }

    /** Listens for operators, where the platform says so; null where it does not. */
    private static OperatorEndpoint operatorPort(Config config, Platform platform) throws IOException {
        if (config.operator() == null) {
            return null;
        }
        OperatorEndpoint port = new OperatorEndpoint(platform);
        ChannelFuture bound = ListenRetry.listen(() -> port.listen(config.operator()));
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen for operators on " + config.operator() + ": "
                    + bound.cause().getMessage());
        }
        return port;
    }

    /** The configuration, read at the start and again at each SIGHUP, off the loop. */
    private static final class Reloads {
        private final Map<String, String> environment;
        private final EventLoop loop;
        private Config last;
        private AuxiliaryService beside;

        Reloads(Map<String, String> environment, EventLoop loop) {
            this.environment = environment;
            this.loop = loop;
        }

        synchronized void also(AuxiliaryService other) {
            beside = other;
        }

        synchronized Config first() throws ConfigException {
            last = Config.read(environment);
            return last;
        }

        /** A file that is being written is whole a moment later: what cannot be read is read again. */
        void read(Proxy proxy) {
            ConfigException problem = readOnce(proxy);
            for (int i = 0; i < REREADS && problem != null; i++) {
                LOG.say("the new configuration cannot be read yet: " + problem.getMessage());
                pause(REREAD_PAUSE_MS);
                problem = readOnce(proxy);
            }
            if (problem != null) {
                String why = problem.getMessage();
                loop.execute(() -> proxy.turnedDown(why));
            }
            reloadCompanion();
        }

        /** What is wrong with it, null if it is taken. */
        private synchronized ConfigException readOnce(Proxy proxy) {
            try {
                last = Config.reload(environment, last);
                Config config = last;
                loop.execute(() -> proxy.reload(config));
                return null;
            } catch (ConfigException e) {
                return e;
            }
        }

        private synchronized void reloadCompanion() {
            if (beside != null) {
                beside.reload();
            }
        }

        private static void pause(long ms) {
            try {
                TimeUnit.MILLISECONDS.sleep(ms);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
