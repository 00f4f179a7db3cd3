package gullspar.route;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** How the path is rewritten for a pool: not at all, by prefix, or by a regular expression. */
public record Rewrite(String prefix, Pattern pattern, String replacement) {
    /** Forwards the path unchanged. */
    public static final Rewrite NONE = new Rewrite(null, null, null);

    /** Replaces the prefix of the location. */
    public static Rewrite prefix(String prefix, String replacement) {
        return new Rewrite(prefix, null, replacement);
    }

    /** Replaces the first match of the expression; $0 to $9 in the replacement stand for its groups. */
    public static Rewrite pattern(Pattern pattern, String replacement) {
        return new Rewrite(null, pattern, replacement);
    }

    /** Returns the path to forward; it always begins with /. */
    public String apply(String path) {
        String rewritten = path;
        if (prefix != null && path.startsWith(prefix)) {
            rewritten = replacement + path.substring(prefix.length());
        } else if (pattern != null) {
            Matcher m = pattern.matcher(path);
            rewritten = m.find() ? path.substring(0, m.start()) + expandGroups(m) + path.substring(m.end()) : path;
        }
        return rewritten.startsWith("/") ? rewritten : "/" + rewritten;
    }

    private String expandGroups(Matcher m) {
        StringBuilder s = new StringBuilder();
        for (int i = 0; i < replacement.length(); i++) {
            char c = replacement.charAt(i);
            int group = c == '$' && i + 1 < replacement.length() ? Character.digit(replacement.charAt(i + 1), 10) : -1;
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
