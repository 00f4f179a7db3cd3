package gullspar;

import gullspar.decide.Policy;
import gullspar.drill.Host;
import gullspar.drill.WireException;
import gullspar.proxy.ConfigException;
import gullspar.proxy.Proxy;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;

/**
 * The command line: serve is the real proxy, warm only warms one up, drill puts the module on the
 * simulator's wire.
 */
public final class Main {
    private Main() { }

    public static void main(String[] args) {
        System.exit(run(args));
    }

    static int run(String[] args) {
        return switch (args.length == 1 ? args[0] : "") {
            case "serve" -> serve(false);
            case "warm" -> serve(true);
            case "drill" -> drill();
            default -> {
                System.err.println("usage: java -jar gullspar.jar serve|drill|warm");
                yield 2;
            }
        };
    }

    /** Warming up goes through all that serving needs and ends: the build records the classes it loads. */
    private static int serve(boolean warmOnly) {
        // Nobody records a flight here, and Netty's events for it cost a start 0.3 s on half a core.
        System.setProperty("io.netty.jfr.enabled", "false");
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE); // it would look for others first
        try {
            if (warmOnly) {
                Proxy.warm(System.getenv(), Policy::new);
            } else {
                Proxy.run(System.getenv(), Policy::new);
            }
            return 0;
        } catch (ConfigException | IOException e) {
            System.err.println("gullspar: " + e.getMessage());
            return 1;
        }
    }

    private static int drill() {
        try {
            new Host(Policy::new).serve(System.in, System.out);
            return 0;
        } catch (WireException e) {
            System.err.println("gullspar: " + e.getMessage());
            return 1;
        } catch (IOException e) {
            System.err.println("gullspar: cannot read or write the wire: " + e.getMessage());
            return 1;
        }
    }
}
