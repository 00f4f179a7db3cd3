package gullspar;

import gullspar.cli.Direct;
import gullspar.cli.Tool;

/**
 * The program. What a platform starts is started as it stands; whatever else the command line holds is for
 * the tool, whose library a start in service must not pay for.
 */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        System.exit(run(args));
    }

    static int run(String[] args) {
        return switch (args.length == 1 ? args[0] : "") {
            case "serve" -> Direct.serve();
            case "warm" -> Direct.warm();
            case "drill" -> Direct.drill();
            default -> Tool.run(args);
        };
    }
}
