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

/** The command line as people use it: help, version, completion and the commands of the kit. */
@Command(
        name = "gullspar",
        mixinStandardHelpOptions = true,
        versionProvider = RootCommand.Version.class,
        description = "A load-balancing proxy for HTTP/1.1, with a kit to rehearse it.",
        synopsisSubcommandLabel = "COMMAND",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:done", "1:it could not be done, or a rehearsal broke a rule", "2:wrong usage"},
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
        throw new ParameterException(spec.commandLine(), "which command?");
    }

    /** Says which version this is, as the jar was built. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = RootCommand.class.getPackage().getImplementationVersion();
            return new String[] {"gullspar " + (version == null ? "(not from a jar)" : version)};
        }
    }

    /** The daemon. */
    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            description = {
                "Runs one proxy.",
                "With --config it serves plain HTTP by the routes and pools of that file (docs/routing.md).",
                "With --follow the routes and pools come from control processes (docs/versions.md).",
                "Without, it reads the file that NODE_CONFIG names; NODE_LISTEN and NODE_DISCOVERY win over it at "
                        + "the start."
            },
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {
                "0:ended by SIGTERM, all answered",
                "1:it cannot start or go on",
                "2:wrong usage, or a file with errors"
            })
    static final class Serve implements Callable<Integer> {
        @Option(names = "--config", paramLabel = "FILE", description = "Routes and pools (TOML).")
        private Path config;

        @Option(
                names = "--follow",
                paramLabel = "FILE",
                description = "Where the control processes are, and what is this process's own (TOML).")
        private Path follow;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            if (config != null && follow != null) {
                throw new ParameterException(spec.commandLine(), "--config and --follow exclude each other");
            }
            if (follow != null) {
                PlatformCommands.configureNetty();
                return VersionCommands.serve(follow);
            }
            return config == null ? PlatformCommands.serve() : PlatformCommands.serve(config);
        }
    }

    /** The adapter to the simulator. */
    @Command(
            name = "drill",
            mixinStandardHelpOptions = true,
            description = "Puts the decision module on the simulator's wire, on standard input and output.")
    static final class Drill implements Callable<Integer> {
        @Override
        public Integer call() {
            return PlatformCommands.drill();
        }
    }

    /** What the build runs to record classes. */
    @Command(
            name = "warm",
            mixinStandardHelpOptions = true,
            description = "Warms a proxy up, as at every start, and ends: the build records what that loads.")
    static final class Warm implements Callable<Integer> {
        @Override
        public Integer call() {
            return PlatformCommands.warm();
        }
    }

    /** For shells. */
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
