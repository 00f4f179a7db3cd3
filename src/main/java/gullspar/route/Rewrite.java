package gullspar.route;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * How the path changes on the way to a pool: not at all, its prefix for another, or by a regular expression.
 */
public record Rewrite(String prefix, Pattern pattern, String to) {
    /** The path goes on as it came. */
    public static final Rewrite NONE = new Rewrite(null, null, null);

    /** What fits the place's prefix is replaced by that. */
    public static Rewrite prefix(String prefix, String to) {
        return new Rewrite(prefix, null, to);
    }

    /** What the expression finds first is replaced; $1 to $9 in the replacement stand for its groups. */
    public static Rewrite pattern(Pattern pattern, String to) {
        return new Rewrite(null, pattern, to);
    }

    /** The path that goes on; never empty. */
    public String of(String path) {
        String changed = path;
        if (prefix != null && path.startsWith(prefix)) {
            changed = to + path.substring(prefix.length());
        } else if (pattern != null) {
            Matcher m = pattern.matcher(path);
            changed = m.find() ? path.substring(0, m.start()) + filled(m) + path.substring(m.end()) : path;
        }
        return changed.startsWith("/") ? changed : "/" + changed;
    }

    private String filled(Matcher m) {
        StringBuilder s = new StringBuilder();
        for (int i = 0; i < to.length(); i++) {
            char c = to.charAt(i);
            int group = c == '$' && i + 1 < to.length() ? Character.digit(to.charAt(i + 1), 10) : -1;
            if (group >= 0) {
                s.append(group <= m.groupCount() && m.group(group) != null ? m.group(group) : "");
                i++;
            } else {
                s.append(c);
            }
        }
        return s.toString();
    }
}
