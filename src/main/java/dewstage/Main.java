package dewstage;

import dewstage.benchlink.Host;
import dewstage.benchlink.WireException;
import dewstage.proxy.ConfigException;
import dewstage.proxy.Proxy;
import java.io.IOException;

/** The command line: serve is the real proxy, drill puts the module on the simulator's wire. */
public final class Main {
    private Main() { }

    public static void main(String[] args) {
        System.exit(run(args));
    }

    static int run(String[] args) {
        if (args.length != 1 || !args[0].equals("drill") && !args[0].equals("serve")) {
            System.err.println("usage: java -jar dewstage.jar serve|drill");
            return 2;
        }
        return args[0].equals("serve") ? serve() : drill();
    }

    private static int serve() {
        try {
            Proxy.run(System.getenv(), Policy::new);
            return 0;
        } catch (ConfigException | IOException e) {
            System.err.println("dewstage: " + e.getMessage());
            return 1;
        }
    }

    private static int drill() {
        try {
            new Host(Policy::new).serve(System.in, System.out);
            return 0;
        } catch (WireException e) {
            System.err.println("dewstage: " + e.getMessage());
            return 1;
        } catch (IOException e) {
            System.err.println("dewstage: cannot read or write the wire: " + e.getMessage());
            return 1;
        }
    }
}
