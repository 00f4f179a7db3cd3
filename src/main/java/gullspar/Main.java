package gullspar;

import gullspar.cli.PlatformCommands;
import gullspar.cli.RootCommand;

/**
 * Entry point. The commands that a platform runs are dispatched directly; all others go to the command line
 * tool, whose parser library would slow down startup in service.
 */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        System.exit(run(args));
    }

    static int run(String[] args) {
        return switch (args.length == 1 ? args[0] : "") {
            case "serve" -> PlatformCommands.serve();
            case "warm" -> PlatformCommands.warm();
            case "drill" -> PlatformCommands.drill();
            default -> RootCommand.run(args);
        };
    }
}
