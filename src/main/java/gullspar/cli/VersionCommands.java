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

/** Commands for versioned configuration (docs/versions.md): run a control process, publish, list versions. */
final class VersionCommands {
    private static final int CONTROL_TIMEOUT_MS = 10_000;

    private VersionCommands() {}

    /** Parses HOST:PORT; {@code option} is named in the usage error. */
    private static InetSocketAddress parseAddress(CommandSpec spec, String option, String text) {
        int colon = text.lastIndexOf(':');
        String port = text.substring(colon + 1);
        if (colon < 1 || !port.matches("\\d{1,5}") || Integer.parseInt(port) > 65_535) {
            throw new ParameterException(spec.commandLine(), option + " is '" + text + "', expected HOST:PORT");
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(port));
    }

    private static String reason(Exception e) {
        return e.getMessage() == null ? e.toString() : e.getMessage();
    }

    /** Whether the follower runs a version older than the one given. */
    private static boolean isOlder(Message.FollowerState follower, Version version) {
        return follower.epoch() < version.epoch()
                || follower.epoch() == version.epoch() && follower.number() < version.number();
    }

    /** A line of the table: name, version, the control process last connected to, time disconnected, error. */
    private static String formatFollower(Message.FollowerState follower) {
        String disconnected =
                follower.awayMs() == 0 ? "" : String.format(Locale.ROOT, " away for %.0f s", follower.awayMs() / 1e3);
        return String.format(
                Locale.ROOT,
                "  %-24s %-10s by %s%s%s",
                follower.name(),
                follower.number() == 0 ? "nothing" : follower.epoch() + "." + follower.number(),
                follower.via(),
                disconnected,
                follower.trouble().isEmpty() ? "" : "; " + follower.trouble().replaceAll("\\p{Cntrl}", "?"));
    }

    /** Runs a proxy configured by the control processes of the file; returns an exit code if it cannot continue. */
    static int serve(Path file) {
        FollowFile settings = InputFiles.read(file, FollowFile::read);
        if (settings == null) {
            return 2;
        }
        try {
            return SiteDaemon.run(
                            file,
                            VersionedSource.open(settings),
                            Policy::new,
                            (f, name, platform, load) ->
                                    Membership.start(f, VersionCommands::readOwnSettings, name, platform, load))
                    ? 1
                    : 2;
        } catch (IOException e) {
            System.err.println("gullspar: " + reason(e));
            return 1;
        }
    }

    /** The process settings of a {@code --follow} file, without the addresses of the control processes. */
    private static OperatorsFile readOwnSettings(Path file) throws IOException, ProblemsException {
        return FollowFile.read(file).operators();
    }

    /** Runs a control process. */
    @Command(
            name = "control",
            mixinStandardHelpOptions = true,
            description =
                    "Runs a control process: it keeps the routes and pools and sends each version to all proxies.",
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {
                "0:ended by SIGTERM",
                "1:it cannot start or continue",
                "2:wrong usage, or a file with errors"
            })
    static final class Control implements Callable<Integer> {
        @Option(
                names = "--config",
                required = true,
                paramLabel = "FILE",
                description = "The settings of this process (TOML, docs/versions.md).")
        private Path configFile;

        @Override
        public Integer call() {
            ControlFile settings = InputFiles.read(configFile, ControlFile::read);
            if (settings == null) {
                return 2;
            }
            try {
                PlatformCommands.configureNetty();
                ControlDaemon.run(settings);
                return 0;
            } catch (IOException e) {
                System.err.println("gullspar: " + reason(e));
                return 1;
            }
        }
    }

    /** Publishes a configuration as the next version, and waits until it is in force everywhere. */
    @Command(
            name = "publish",
            mixinStandardHelpOptions = true,
            description = {
                "Makes a file of routes and pools the next version, and waits until it is in force everywhere.",
                "To roll back, publish the former text: it becomes a new version."
            },
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {
                "0:in force everywhere, or already the newest version",
                "1:the primary does not respond or accepts no changes; nothing is in force",
                "2:wrong usage, or the file has errors; nothing is in force",
                "3:another version was published first; nothing is in force",
                "4:published, but not in force everywhere in time"
            })
    static final class Publish implements Callable<Integer> {
        private static final int EXIT_SUPERSEDED = 3;
        private static final int EXIT_NOT_IN_FORCE = 4;
        private static final int MAX_LISTED_FOLLOWERS = 20;
        private static final int POLL_INTERVAL_MS = 50;

        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "FILE", description = "Routes and pools (TOML, docs/routing.md).")
        private Path file;

        @Option(names = "--to", required = true, paramLabel = "HOST:PORT", description = "The primary.")
        private String primaryAddress;

        @Option(
                names = "--after",
                paramLabel = "N",
                description = {
                    "The number of the version that the file is based on, 0 for none: refused if another was published",
                    "since. Default: the newest version at the time of the call."
                })
        private Long baseNumber;

        @Option(
                names = "--wait",
                paramLabel = "S",
                defaultValue = "10",
                description = "Seconds to wait until it is in force everywhere (${DEFAULT-VALUE}).")
        private double waitSeconds;

        @Override
        public Integer call() throws InterruptedException {
            InetSocketAddress address = parseAddress(spec, "--to", primaryAddress);
            String text = InputFiles.read(file, Files::readString);
            if (text == null) {
                return 2;
            }
            // Once the file is sent, a missing response does not tell whether it was published.
            boolean isSent = false;
            try (ControlClient control = new ControlClient(address, CONTROL_TIMEOUT_MS)) {
                long number = baseNumber != null
                        ? baseNumber
                        : numberOf(control.request(new Message.StatusRequest(false), Message.StatusResponse.class)
                                .head());
                isSent = true;
                Message.Published published =
                        control.request(new Message.Publish(number, file.toString(), text), Message.Published.class);
                published.lines().forEach(System.err::println);
                return switch (published.outcome()) {
                    case ACCEPTED, SAME -> awaitInForce(control, published.head());
                    case WRONG -> 2;
                    case OLDER -> EXIT_SUPERSEDED;
                    default -> 1;
                };
            } catch (IOException e) {
                System.err.println(primaryAddress
                        + (isSent
                                ? " was sent the file but did not respond; 'gullspar versions' shows whether "
                                        + "it was published: "
                                : " does not respond: ")
                        + reason(e));
                return 1;
            }
        }

        /** The number of a version, or 0 if nothing has been published. */
        private static long numberOf(Version version) {
            return version == null ? 0 : version.number();
        }

        /** Polls until all followers run the version or {@code --wait} elapses; returns the exit code. */
        private int awaitInForce(ControlClient control, Version version) throws IOException, InterruptedException {
            long deadlineNs = System.nanoTime() + (long) (waitSeconds * 1e9);
            while (true) {
                Message.StatusResponse status =
                        control.request(new Message.StatusRequest(false), Message.StatusResponse.class);
                List<Message.FollowerState> missing = status.states().stream()
                        .filter(follower -> isOlder(follower, version))
                        .toList();
                if (missing.isEmpty()) {
                    System.out.println("version " + version + " is in force at all " + status.followers());
                    return 0;
                }
                if (System.nanoTime() > deadlineNs) {
                    System.out.println("version " + version + " is not in force at " + missing.size() + " of "
                            + status.followers() + ":");
                    missing.stream()
                            .limit(MAX_LISTED_FOLLOWERS)
                            .map(VersionCommands::formatFollower)
                            .forEach(System.out::println);
                    return EXIT_NOT_IN_FORCE;
                }
                Thread.sleep(POLL_INTERVAL_MS);
            }
        }
    }

    /** Lists the version that each follower runs, as known to a control process. */
    @Command(
            name = "versions",
            mixinStandardHelpOptions = true,
            description = {
                "Prints which process runs which version, as known to a control process: the primary knows all,",
                "another one only those that are connected to it."
            },
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {"0:all run the newest version", "1:no response", "2:wrong usage", "4:some do not"})
    static final class ListVersions implements Callable<Integer> {
        private static final int EXIT_NOT_IN_FORCE = 4;

        @Spec
        private CommandSpec spec;

        @Option(names = "--at", required = true, paramLabel = "HOST:PORT", description = "A control process.")
        private String controlAddress;

        @Override
        public Integer call() {
            InetSocketAddress address = parseAddress(spec, "--at", controlAddress);
            try (ControlClient control = new ControlClient(address, CONTROL_TIMEOUT_MS)) {
                Message.StatusResponse status =
                        control.request(new Message.StatusRequest(true), Message.StatusResponse.class);
                System.out.println(status.control() + (status.primary() ? ", the primary" : "")
                        + (status.inStep() ? "" : ", which may not have the newest version") + ": version "
                        + (status.head() == null ? "none" : status.head()) + " in force at " + status.inForce() + " of "
                        + status.followers());
                status.states().stream().map(VersionCommands::formatFollower).forEach(System.out::println);
                return status.inForce() == status.followers() ? 0 : EXIT_NOT_IN_FORCE;
            } catch (IOException e) {
                System.err.println(controlAddress + " does not respond: " + reason(e));
                return 1;
            }
        }
    }
}
