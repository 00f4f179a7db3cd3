package gullspar.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The root of the command line, with all commands, help and version. */
@Command(
        name = "gullspar",
        mixinStandardHelpOptions = true,
        versionProvider = RootCommand.Version.class,
        description = "A load-balancing proxy for HTTP/1.1, with a kit to rehearse it.",
        synopsisSubcommandLabel = "COMMAND",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:success", "1:failed, or a rehearsal broke a rule", "2:wrong usage"},
        subcommands = {
            RootCommand.Serve.class,
            RootCommand.Drill.class,
            RootCommand.Warm.class,
            RehearseCommand.class,
            TryCommand.class,
            ConfigCommands.Check.class,
            ConfigCommands.ExplainRoute.class,
            ImportCommand.class,
            FleetCommand.class,
            VersionCommands.Control.class,
            VersionCommands.Publish.class,
            VersionCommands.ListVersions.class,
            RootCommand.Completion.class
        })
public final class RootCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    private RootCommand() {}

    /** Runs a command line and returns its exit code. */
    public static int run(String[] args) {
        return new CommandLine(new RootCommand()).execute(args);
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "missing command");
    }

    /** Reads the version from the jar's manifest; classes that are not run from a jar have none. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = RootCommand.class.getPackage().getImplementationVersion();
            return new String[] {"gullspar " + (version == null ? "(not from a jar)" : version)};
        }
    }

    /** Runs the proxy, configured by the environment, by an operator's file or by control processes. */
    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            description = {
                "Runs one proxy.",
                "With --config it serves plain HTTP by the routes and pools of that file (docs/routing.md).",
                "With --follow the routes and pools come from control processes (docs/versions.md).",
                "Without either, it reads the file that NODE_CONFIG names; NODE_LISTEN and NODE_DISCOVERY override it "
                        + "at the start."
            },
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {
                "0:ended by SIGTERM, all requests completed",
                "1:it cannot start or continue",
                "2:wrong usage, or a file with errors"
            })
    static final class Serve implements Callable<Integer> {
        @Option(names = "--config", paramLabel = "FILE", description = "Routes and pools (TOML).")
        private Path config;

        @Option(
                names = "--follow",
                paramLabel = "FILE",
                description = "The addresses of the control processes, and the settings of this process (TOML).")
        private Path follow;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            if (config != null && follow != null) {
                throw new ParameterException(spec.commandLine(), "--config and --follow are mutually exclusive");
            }
            if (follow != null) {
                PlatformCommands.configureNetty();
                return VersionCommands.serve(follow);
            }
            return config == null ? PlatformCommands.serve() : PlatformCommands.serve(config);
        }
    }

    /** Connects the decision module to the simulator. */
    @Command(
            name = "drill",
            mixinStandardHelpOptions = true,
            description =
                    "Connects the decision module to the simulator by its protocol, on standard input and output.")
    static final class Drill implements Callable<Integer> {
        @Override
        public Integer call() {
            return PlatformCommands.drill();
        }
    }

    /** Loads the classes that a proxy needs, for the build to record in the class archive. */
    @Command(
            name = "warm",
            mixinStandardHelpOptions = true,
            description =
                    "Warms up a proxy, as at every start, and ends: the build records the classes that this loads.")
    static final class Warm implements Callable<Integer> {
        @Override
        public Integer call() {
            return PlatformCommands.warm();
        }
    }

    /** Prints the shell completion script. */
    @Command(
            name = "completion",
            mixinStandardHelpOptions = true,
            description = "Prints a completion script for bash and zsh: source it.")
    static final class Completion implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            System.out.print(AutoComplete.bash("gullspar", spec.root().commandLine()));
            System.out.flush();
            return 0;
        }
    }
}
