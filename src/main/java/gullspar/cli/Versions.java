package gullspar.cli;

import gullspar.config.ControlFile;
import gullspar.config.FollowFile;
import gullspar.config.OperatorsFile;
import gullspar.decide.Policy;
import gullspar.peers.net.Membership;
import gullspar.site.SiteDaemon;
import gullspar.toml.ProblemsException;
import gullspar.versions.Message;
import gullspar.versions.Version;
import gullspar.versions.net.ControlClient;
import gullspar.versions.net.ControlDaemon;
import gullspar.versions.net.VersionedSource;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Configuration that travels as versions (docs/versions.md): control processes, changes, who runs what. */
final class Versions {
    private static final int PATIENCE_MS = 10_000;

    private Versions() {}

    private static InetSocketAddress address(CommandSpec spec, String option, String text) {
        int colon = text.lastIndexOf(':');
        String port = text.substring(colon + 1);
        if (colon < 1 || !port.matches("\\d{1,5}") || Integer.parseInt(port) > 65_535) {
            throw new ParameterException(spec.commandLine(), option + " is '" + text + "', not HOST:PORT");
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(port));
    }

    private static String why(Exception e) {
        return e.getMessage() == null ? e.toString() : e.getMessage();
    }

    private static boolean below(Message.FollowerState r, Version v) {
        return r.epoch() < v.epoch() || r.epoch() == v.epoch() && r.number() < v.number();
    }

    private static String line(Message.FollowerState r) {
        String away = r.awayMs() == 0 ? "" : String.format(Locale.ROOT, " away for %.0f s", r.awayMs() / 1e3);
        return String.format(
                Locale.ROOT,
                "  %-24s %-10s by %s%s%s",
                r.name(),
                r.number() == 0 ? "nothing" : r.epoch() + "." + r.number(),
                r.via(),
                away,
                r.trouble().isEmpty() ? "" : "; " + r.trouble().replaceAll("\\p{Cntrl}", "?"));
    }

    /** A proxy by the document that its control processes have; returns an exit code if it cannot go on. */
    static int serve(Path follow) {
        FollowFile file = Written.read(follow, FollowFile::read);
        if (file == null) {
            return 2;
        }
        try {
            return SiteDaemon.run(
                            follow,
                            VersionedSource.open(file),
                            Policy::new,
                            (f, name, platform, load) -> Membership.start(f, Versions::own, name, platform, load))
                    ? 1
                    : 2;
        } catch (IOException e) {
            System.err.println("gullspar: " + why(e));
            return 1;
        }
    }

    private static OperatorsFile own(Path file) throws IOException, ProblemsException {
        return FollowFile.read(file).own();
    }

    /** The daemon. */
    @Command(
            name = "control",
            mixinStandardHelpOptions = true,
            description = "Runs a control process: it has the routes and pools and hands each version to all proxies.",
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {"0:ended by SIGTERM", "1:it cannot start or go on", "2:wrong usage, or a file with errors"})
    static final class Control implements Callable<Integer> {
        @Option(
                names = "--config",
                required = true,
                paramLabel = "FILE",
                description = "What this process is (TOML, docs/versions.md).")
        private Path config;

        @Override
        public Integer call() {
            ControlFile file = Written.read(config, ControlFile::read);
            if (file == null) {
                return 2;
            }
            try {
                Direct.quicker();
                ControlDaemon.run(file);
                return 0;
            } catch (IOException e) {
                System.err.println("gullspar: " + why(e));
                return 1;
            }
        }
    }

    /** A change. */
    @Command(
            name = "publish",
            mixinStandardHelpOptions = true,
            description = {
                "Makes a file of routes and pools the next version, and waits until it is in force everywhere.",
                "To go back, publish the former text: it becomes a version of its own."
            },
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {
                "0:in force everywhere, or that is the newest version already",
                "1:the primary does not answer or takes no changes; nothing is in force",
                "2:wrong usage, or the file has errors; nothing is in force",
                "3:another version came first; nothing is in force",
                "4:it is a version now, but not in force everywhere in time"
            })
    static final class Publish implements Callable<Integer> {
        private static final int LATER = 3;
        private static final int MISSING = 4;
        private static final int SHOWN = 20;

        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "FILE", description = "Routes and pools (TOML, docs/routing.md).")
        private Path file;

        @Option(names = "--to", required = true, paramLabel = "HOST:PORT", description = "The primary.")
        private String to;

        @Option(
                names = "--after",
                paramLabel = "N",
                description = {
                    "The number of the version that the file was made from, 0 for none: refused if another came",
                    "since. Without, the newest when this is called."
                })
        private Long after;

        @Option(
                names = "--wait",
                paramLabel = "S",
                defaultValue = "10",
                description = "Seconds to wait until it is in force everywhere (${DEFAULT-VALUE}).")
        private double wait;

        @Override
        public Integer call() throws InterruptedException {
            InetSocketAddress at = address(spec, "--to", to);
            String text = Written.read(file, Files::readString);
            if (text == null) {
                return 2;
            }
            boolean sent = false;
            try (ControlClient control = new ControlClient(at, PATIENCE_MS)) {
                long number = after != null
                        ? after
                        : number(control.request(new Message.StatusRequest(false), Message.StatusResponse.class)
                                .head());
                sent = true;
                Message.Published p =
                        control.request(new Message.Publish(number, file.toString(), text), Message.Published.class);
                p.lines().forEach(System.err::println);
                return switch (p.outcome()) {
                    case ACCEPTED, SAME -> until(control, p.head());
                    case WRONG -> 2;
                    case OLDER -> LATER;
                    default -> 1;
                };
            } catch (IOException e) {
                System.err.println(to
                        + (sent
                                ? " was told and did not answer, see 'gullspar versions' for " + "what holds: "
                                : " does not answer: ")
                        + why(e));
                return 1;
            }
        }

        private static long number(Version v) {
            return v == null ? 0 : v.number();
        }

        private int until(ControlClient control, Version v) throws IOException, InterruptedException {
            long end = System.nanoTime() + (long) (wait * 1e9);
            while (true) {
                Message.StatusResponse l =
                        control.request(new Message.StatusRequest(false), Message.StatusResponse.class);
                List<Message.FollowerState> missing =
                        l.states().stream().filter(r -> below(r, v)).toList();
                if (missing.isEmpty()) {
                    System.out.println("version " + v + " is in force at all " + l.followers());
                    return 0;
                }
                if (System.nanoTime() > end) {
                    System.out.println(
                            "version " + v + " is not in force at " + missing.size() + " of " + l.followers() + ":");
                    missing.stream().limit(SHOWN).map(Versions::line).forEach(System.out::println);
                    return MISSING;
                }
                Thread.sleep(50);
            }
        }
    }

    /** Who runs what. */
    @Command(
            name = "versions",
            mixinStandardHelpOptions = true,
            description = {
                "Prints who runs which version, as a control process knows: the primary of all,",
                "another one of those that are connected to it."
            },
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {"0:all run the newest one", "1:it does not answer", "2:wrong usage", "4:some do not"})
    static final class Look implements Callable<Integer> {
        private static final int MISSING = 4;

        @Spec
        private CommandSpec spec;

        @Option(names = "--at", required = true, paramLabel = "HOST:PORT", description = "A control process.")
        private String at;

        @Override
        public Integer call() {
            InetSocketAddress where = address(spec, "--at", at);
            try (ControlClient control = new ControlClient(where, PATIENCE_MS)) {
                Message.StatusResponse l =
                        control.request(new Message.StatusRequest(true), Message.StatusResponse.class);
                System.out.println(l.control() + (l.primary() ? ", the primary" : "")
                        + (l.inStep() ? "" : ", which may not know the newest") + ": version "
                        + (l.head() == null ? "none" : l.head()) + " in force at " + l.inForce() + " of "
                        + l.followers());
                l.states().stream().map(Versions::line).forEach(System.out::println);
                return l.inForce() == l.followers() ? 0 : MISSING;
            } catch (IOException e) {
                System.err.println(at + " does not answer: " + why(e));
                return 1;
            }
        }
    }
}
