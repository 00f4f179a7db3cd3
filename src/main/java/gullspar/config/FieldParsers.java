package gullspar.config;

import gullspar.route.Template;
import gullspar.toml.TableReader;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.regex.Pattern;
import java.util.regex.PatternSyntaxException;

/** Parses values of the operators' file that are not plain strings and numbers. */
final class FieldParsers {
    static final double MAX_TIME_S = 24 * 3600;

    private FieldParsers() {}

    /** Reads an IP address and a port from 0 to 65535, without name lookup; null, and a problem, if it is invalid. */
    static InetSocketAddress address(TableReader f, String key) {
        String text = f.string(key);
        int colon = text.lastIndexOf(':');
        InetAddress ip = colon < 0 ? null : NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
        String port = text.substring(colon + 1);
        if (ip != null && port.matches("\\d{1,5}") && Integer.parseInt(port) <= 65_535) {
            return new InetSocketAddress(ip, Integer.parseInt(port));
        }
        if (!text.isEmpty()) {
            f.addProblem(key, "is '" + text + "', not an IP address and a port");
        }
        return null;
    }

    /** Compiles a regular expression; null, and a problem, if it is invalid. */
    static Pattern pattern(TableReader f, String key, String text, int flags) {
        try {
            return Pattern.compile(text, flags);
        } catch (PatternSyntaxException e) {
            f.addProblem(key, "holds an invalid regular expression: " + e.getDescription() + " in '" + text + "'");
            return null;
        }
    }

    /** Parses a template; an empty one, and a problem, if it is invalid. */
    static Template template(TableReader f, String key, String text) {
        try {
            return Template.parse(text);
        } catch (IllegalArgumentException e) {
            f.addProblem(key, "holds " + e.getMessage());
            return Template.literal("");
        }
    }

    /** Reads a time in seconds and returns ns. */
    static long secondsAsNs(TableReader f, String key, double defaultS, double minS) {
        return (long) (f.number(key, defaultS, minS, MAX_TIME_S) * 1e9);
    }

    /** Reads a time in milliseconds and returns ns. */
    static long millisAsNs(TableReader f, String key, double defaultMs, double minMs) {
        return (long) (f.number(key, defaultMs, minMs, MAX_TIME_S * 1e3) * 1e6);
    }
}
