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

/**
 * The commands that a platform runs: {@code serve}, {@code warm} and {@code drill}. They start without the command-line
 * parser, load only the classes that they need, and return exit codes.
 */
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

    /** Runs the code that serving needs, then returns; the build records the loaded classes for the class archive. */
    public static int warm() {
        return runDaemon(log -> Daemon.warm(System.getenv(), Policy::new));
    }

    /** Connects the decision module to the simulator on standard input and output, until the input ends. */
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

    /** A task of a daemon that logs to a non-blocking standard error. */
    private interface DaemonTask {
        void run(NonBlockingStream log) throws ConfigException, IOException;
    }

    /** Sets Netty's properties and logging; call it before Netty is used. */
    static void configureNetty() {
        // Netty's Flight Recorder events are not used, and cost 0.3 s of the startup on half a core.
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
