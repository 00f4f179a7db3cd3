package gullspar.cli;

import gullspar.config.OperatorsFile;
import gullspar.config.SiteReader;
import gullspar.decide.Policy;
import gullspar.drill.Host;
import gullspar.drill.WireException;
import gullspar.peers.net.Membership;
import gullspar.proxy.Daemon;
import gullspar.proxy.config.ConfigException;
import gullspar.proxy.io.Log;
import gullspar.proxy.io.NonBlockingStream;
import gullspar.site.SiteDaemon;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.nio.file.Path;

/** The commands that a platform runs. They load only the classes they need, and return exit codes. */
public final class PlatformCommands {
    private PlatformCommands() {}

    /** Runs a proxy configured by the environment; returns only if it cannot continue. */
    public static int serve() {
        return runDaemon(log -> Daemon.run(
                System.getenv(),
                log::drainAtExit,
                Policy::new,
                (file, name, platform, load) -> Membership.start(file, OperatorsFile::read, name, platform, load)));
    }

    /** Runs a proxy for plain HTTP, configured by an operator's file; returns only if it cannot continue. */
    static int serve(Path config) {
        configureNetty();
        try {
            return SiteDaemon.run(
                            config,
                            () -> InputFiles.read(config, SiteReader::read),
                            Policy::new,
                            (file, name, platform, load) -> Membership.start(
                                    file, f -> SiteReader.read(f).operators(), name, platform, load))
                    ? 1
                    : 2;
        } catch (IOException e) {
            return reportFailure(e.getMessage());
        }
    }

    /** Exercises all code that serving needs and ends: the build records the classes that it loads. */
    public static int warm() {
        return runDaemon(log -> Daemon.warm(System.getenv(), Policy::new));
    }

    /** Runs the decision module for the simulator, on standard input and output. */
    public static int drill() {
        try {
            new Host(Policy::new).serve(System.in, System.out);
            return 0;
        } catch (WireException e) {
            return reportFailure(e.getMessage());
        } catch (IOException e) {
            return reportFailure("cannot read standard input or write standard output: " + e.getMessage());
        }
    }

    private interface DaemonTask {
        void run(NonBlockingStream log) throws ConfigException, IOException;
    }

    static void configureNetty() {
        // Flight Recorder is not used here, and Netty's events for it cost 0.3 s of a start on half a core.
        System.setProperty("io.netty.jfr.enabled", "false");
        // Without a default, Netty tries other logging libraries first.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    private static int runDaemon(DaemonTask task) {
        configureNetty();
        NonBlockingStream log = Log.makeStandardErrorNonBlocking();
        try {
            task.run(log);
            return 0;
        } catch (ConfigException | IOException e) {
            return reportFailure(e.getMessage());
        } finally {
            log.drainAtExit();
        }
    }

    private static int reportFailure(String reason) {
        System.err.println("gullspar: " + reason);
        return 1;
    }
}
