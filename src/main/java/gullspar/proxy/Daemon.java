package gullspar.proxy;

import gullspar.decide.Balancer;
import gullspar.proxy.config.Config;
import gullspar.proxy.config.ConfigException;
import gullspar.proxy.io.ClassArchive;
import gullspar.proxy.io.ClassPreloader;
import gullspar.proxy.io.FileWatcher;
import gullspar.proxy.io.InheritedTransport;
import gullspar.proxy.io.LibraryLogHandler;
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
import java.lang.management.ManagementFactory;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Life cycle of the process that runs one proxy: warm-up, serving, signals, shutdown. */
public final class Daemon {
    /** Requests served before the proxy accepts clients, so that its code is compiled. */
    private static final int WARMUP_REQUESTS = 300;
    /** Time limit of the warm-up, during which other proxies carry the load. */
    private static final long WARMUP_LIMIT_MS = 2000;
    /** The same without a class archive, where classes take longer to load. */
    private static final long WARMUP_WITHOUT_ARCHIVE_LIMIT_MS = 3500;

    /**
     * Retries of a configuration that cannot be read. A new one has to apply within 4 s of its signal; all retries
     * together take at most half of that.
     */
    private static final int MAX_REREADS = 10;

    private static final long REREAD_INTERVAL_MS = 200;

    private static final long LOOP_CHECK_INTERVAL_MS = 500;

    private static final Log LOG = Log.standardError();

    private Daemon() {}

    /**
     * Serves until the process receives a termination signal. Each SIGHUP reloads the configuration; one that
     * cannot be read changes nothing.
     *
     * @param environment environment variables, which name the configuration file and override some of its values
     * @param afterDrain runs after the drain, before the process exits
     * @param factory creates the decision module
     * @param auxiliaryFactory creates the service that runs beside the proxy; called only if the configuration names
     *     an operators' file; may return null
     * @throws ConfigException if the initial configuration is invalid
     * @throws IOException if the process cannot listen, or its event loop has terminated
     */
    public static void run(
            Map<String, String> environment,
            Runnable afterDrain,
            Balancer.Factory factory,
            AuxiliaryService.Factory auxiliaryFactory)
            throws ConfigException, IOException {
        LibraryLogHandler.install();
        // Installed early, since SIGHUP ends the process by default; an early signal waits for the proxy.
        CompletableFuture<Proxy> started = new CompletableFuture<>();
        ServingLoop servingLoop = ServingLoop.start();
        EventLoop loop = servingLoop.loop();
        ConfigReloader reloader = new ConfigReloader(environment, loop);
        Runnable reload = () -> started.thenAccept(reloader::reload);
        if (!Signals.register("HUP", reload)) {
            LOG.write(Signals.HUP_UNAVAILABLE);
            Config.file(environment).ifPresent(file -> FileWatcher.watch(file, reload));
        }
        Shutdown shutdown = new Shutdown(afterDrain);
        try {
            serve(environment, factory, auxiliaryFactory, servingLoop, reloader, started, shutdown);
        } finally {
            shutdown.disable(); // after a failure the exit code must not be 0
        }
    }

    private static void serve(
            Map<String, String> environment,
            Balancer.Factory factory,
            AuxiliaryService.Factory auxiliaryFactory,
            ServingLoop servingLoop,
            ConfigReloader reloader,
            CompletableFuture<Proxy> started,
            Shutdown shutdown)
            throws ConfigException, IOException {
        EventLoop loop = servingLoop.loop();
        LOG.write("starting, pid " + ProcessHandle.current().pid() + ", user " + System.getProperty("user.name"));
        ClassArchive archive = ClassArchive.ofThisProcess();
        if (archive == ClassArchive.UNUSED) {
            LOG.write("class archive not used, it was made for another build or runtime: rebuild it; "
                    + "startup takes longer until then");
        }
        Config config = Config.read(environment);
        LOG.write("configured: listens on " + (config.inherited() ? "descriptor 0" : config.listen()) + ", discovery "
                + config.discovery() + ", descriptors " + config.sockets());
        Platform platform = config.inherited()
                ? Platform.of(servingLoop, InheritedTransport.create(loop), LOG)
                : Platform.of(servingLoop);
        OperatorEndpoint operatorEndpoint = listenForOperators(config, platform);
        long processAgeMs = ManagementFactory.getRuntimeMXBean().getUptime();
        Proxy proxy = Proxy.callOnLoop(platform, () -> Proxy.startUnopened(config, platform, factory, processAgeMs));
        started.complete(proxy); // configuration reloads apply during the warm-up too
        AuxiliaryService auxiliary = config.operatorsFile() == null
                ? null
                : auxiliaryFactory.start(config.operatorsFile(), config.name(), platform, proxy::load);
        if (auxiliary != null) {
            reloader.setAuxiliary(auxiliary);
            if (operatorEndpoint != null) {
                loop.execute(() -> operatorEndpoint.setAuxiliaryService(auxiliary));
            }
        }
        warm(config, factory, archive); // discovery can answer in the meantime
        if (!shutdown.setDrain(
                auxiliary == null ? () -> proxy.drain().join() : drainWithAuxiliary(proxy, auxiliary, loop))) {
            loop.terminationFuture().awaitUninterruptibly(); // shutting down: do not open the listener
        }
        Proxy.callOnLoop(platform, () -> {
                    proxy.startMemoryLog();
                    proxy.open();
                    return proxy;
                })
                .awaitListening();
        if (auxiliary != null) {
            loop.execute(() -> auxiliary.onStage(AuxiliaryService.Stage.SERVING));
        }
        if (operatorEndpoint != null) {
            loop.execute(() -> operatorEndpoint.setStatusSource(proxy));
        }
        awaitEnd(servingLoop);
        throw new IOException("event loop terminated"); // exit rather than run without serving
    }

    /** Waits for the end of the loop or of its thread, which without memory may end without completing the future. */
    private static void awaitEnd(ServingLoop servingLoop) {
        Thread thread = servingLoop.thread();
        while (thread.isAlive() && !servingLoop.loop().isTerminated()) {
            servingLoop.loop().terminationFuture().awaitUninterruptibly(LOOP_CHECK_INTERVAL_MS);
        }
    }

    /**
     * Shutdown hook for a termination signal at any time. Before the proxy opens it has no clients, and the
     * process exits at once; afterwards it drains first. After the signal the proxy no longer opens.
     */
    private static final class Shutdown implements Runnable {
        private final Runnable afterDrain;
        private Runnable drain = () -> {};
        private boolean started;
        private boolean isDisabled;

        Shutdown(Runnable afterDrain) {
            this.afterDrain = afterDrain;
            Runtime.getRuntime().addShutdownHook(new Thread(this, "drain"));
        }

        synchronized void disable() {
            isDisabled = true;
        }

        private synchronized boolean isDisabled() {
            return isDisabled;
        }

        /** Sets what runs first on shutdown; returns false if the shutdown has started. */
        synchronized boolean setDrain(Runnable task) {
            drain = task;
            return !started;
        }

        private synchronized Runnable start() {
            started = true;
            return drain;
        }

        @Override
        public void run() {
            if (isDisabled()) {
                return;
            }
            start().run();
            afterDrain.run();
            // Otherwise the exit status would report the signal, although the shutdown was orderly.
            Runtime.getRuntime().halt(0);
        }
    }

    /** Drains a proxy with an auxiliary service; a method of its own, so that without one its class is not loaded. */
    private static Runnable drainWithAuxiliary(Proxy proxy, AuxiliaryService auxiliary, EventLoop loop) {
        return () -> {
            loop.execute(() -> auxiliary.onStage(AuxiliaryService.Stage.DRAINING));
            proxy.drain().join();
            loop.submit(auxiliary::leave).syncUninterruptibly().getNow().join();
        };
    }

    /** Warms up, starts a proxy and drains it, so that the classes used are recorded for the class archive. */
    public static void warm(Map<String, String> environment, Balancer.Factory factory)
            throws ConfigException, IOException {
        Config config = Config.read(environment);
        warm(config, factory, ClassArchive.NONE);
        // Records the classes of both transports: which one the platform allows is not known here.
        Warmup.runInProcess(config, factory, WARMUP_REQUESTS, WARMUP_LIMIT_MS);
        Proxy.start(config, Platform.of(ServingLoop.start()), factory).drain().join();
    }

    private static void warm(Config config, Balancer.Factory factory, ClassArchive archive) {
        ClassPreloader.load(LOG);
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
                                    0,
                                    null,
                                    new StatusReport.Descriptors(0, 0))
                            .json();
                }
            });
        }
        long limitMs = archive == ClassArchive.UNUSED ? WARMUP_WITHOUT_ARCHIVE_LIMIT_MS : WARMUP_LIMIT_MS;
        LOG.write("served " + Warmup.run(config, factory, WARMUP_REQUESTS, limitMs) + " requests to warm up");
    }

    /** Opens the operators' port if the configuration has one; otherwise returns null. */
    private static OperatorEndpoint listenForOperators(Config config, Platform platform) throws IOException {
        if (config.operator() == null) {
            return null;
        }
        OperatorEndpoint operatorEndpoint = new OperatorEndpoint(platform);
        ChannelFuture bindFuture = ListenRetry.listen(() -> operatorEndpoint.listen(config.operator()));
        if (!bindFuture.isSuccess()) {
            throw new IOException("cannot listen for operators on " + config.operator() + ": "
                    + bindFuture.cause().getMessage());
        }
        return operatorEndpoint;
    }

    /** Reads the configuration again on each SIGHUP, off the event loop. */
    private static final class ConfigReloader {
        private final Map<String, String> environment;
        private final EventLoop loop;
        private AuxiliaryService auxiliary;

        ConfigReloader(Map<String, String> environment, EventLoop loop) {
            this.environment = environment;
            this.loop = loop;
        }

        synchronized void setAuxiliary(AuxiliaryService service) {
            auxiliary = service;
        }

        /** Retries a configuration that cannot be read, since the file may still be being written. */
        void reload(Proxy proxy) {
            ConfigException problem = tryReload(proxy);
            for (int i = 0; i < MAX_REREADS && problem != null; i++) {
                LOG.write("the new configuration cannot be read yet, retrying in " + REREAD_INTERVAL_MS + " ms: "
                        + problem.getMessage());
                sleep(REREAD_INTERVAL_MS);
                problem = tryReload(proxy);
            }
            if (problem != null) {
                String reason = problem.getMessage();
                loop.execute(() -> proxy.onConfigurationRejected(reason));
            }
            reloadAuxiliary();
        }

        /** Returns why the configuration was rejected, or null if it was applied. */
        private synchronized ConfigException tryReload(Proxy proxy) {
            try {
                Config config = Config.reload(environment);
                loop.execute(() -> proxy.reload(config));
                return null;
            } catch (ConfigException e) {
                return e;
            }
        }

        private synchronized void reloadAuxiliary() {
            if (auxiliary != null) {
                auxiliary.reload();
            }
        }

        private static void sleep(long ms) {
            try {
                TimeUnit.MILLISECONDS.sleep(ms);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
