package gullspar.config;

import gullspar.route.Template;
import gullspar.toml.Fields;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.regex.Pattern;
import java.util.regex.PatternSyntaxException;

/** Values of an operator's file that are more than strings and numbers. */
final class Values {
    static final double LONGEST_S = 24 * 3600;

    private Values() {}

    /** An IP address and a port, no names are looked up; null, and a problem, if it is none. */
    static InetSocketAddress address(Fields f, String key) {
        String text = f.text(key);
        int colon = text.lastIndexOf(':');
        InetAddress ip = colon < 0 ? null : NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
        String port = text.substring(colon + 1);
        if (ip != null && port.matches("\\d{1,5}") && Integer.parseInt(port) <= 65_535) {
            return new InetSocketAddress(ip, Integer.parseInt(port));
        }
        if (!text.isEmpty()) {
            f.wrong(key, "is '" + text + "', not an IP address and a port");
        }
        return null;
    }

    /** A regular expression; null, and a problem, if it is none. */
    static Pattern pattern(Fields f, String key, String text, int flags) {
        try {
            return Pattern.compile(text, flags);
        } catch (PatternSyntaxException e) {
            f.wrong(key, "holds no regular expression: " + e.getDescription() + " in '" + text + "'");
            return null;
        }
    }

    /** A text with places for what is known of a request; a plain one, and a problem, if it is none. */
    static Template template(Fields f, String key, String text) {
        try {
            return Template.parse(text);
        } catch (IllegalArgumentException e) {
            f.wrong(key, "holds " + e.getMessage());
            return Template.plain("");
        }
    }

    /** A time in seconds, as ns. */
    static long seconds(Fields f, String key, double absent, double least) {
        return (long) (f.number(key, absent, least, LONGEST_S) * 1e9);
    }

    /** A time in milliseconds, as ns. */
    static long millis(Fields f, String key, double absent, double least) {
        return (long) (f.number(key, absent, least, LONGEST_S * 1e3) * 1e6);
    }
}
