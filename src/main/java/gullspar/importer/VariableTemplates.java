package gullspar.importer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.regex.PatternSyntaxException;

/** Translates texts with nginx's variables to templates of routes. Variables without a counterpart are rejected. */
final class VariableTemplates {
    private static final Pattern VARIABLE = Pattern.compile("\\$(?:\\{(\\w+)\\}|([1-9]|\\w+))");
    /**
     * An escaped character, a character class or a group. Group 1 is the ? of a group that is named or does not
     * capture, group 2 is its name.
     */
    private static final Pattern GROUP =
            Pattern.compile("\\\\.|\\[(?:\\\\.|[^\\]])*\\]|\\((\\?)?(?:P?<([A-Za-z]\\w*)>)?");

    /** nginx's variables and those of templates with the same value. */
    private static final Map<String, String> EQUIVALENTS = Map.ofEntries(
            Map.entry("host", "host"),
            Map.entry("http_host", "host_header"),
            Map.entry("remote_addr", "client"),
            Map.entry("proxy_add_x_forwarded_for", "forwarded_for"),
            Map.entry("scheme", "scheme"),
            Map.entry("server_port", "port"),
            Map.entry("request_uri", "uri"),
            Map.entry("uri", "path"),
            Map.entry("document_uri", "path"),
            Map.entry("args", "query"),
            Map.entry("query_string", "query"),
            Map.entry("request_method", "method"),
            Map.entry("request_id", "request_id"));

    /** The templates of variables that depend on the context: by set, map, named groups, server_name and so on. */
    private final Map<String, String> defined = new HashMap<>();

    VariableTemplates() {}

    VariableTemplates(VariableTemplates outer) {
        defined.putAll(outer.defined);
    }

    /** Sets the template of a variable and returns this. */
    VariableTemplates define(String variable, String template) {
        defined.put(variable, template);
        return this;
    }

    /** Sets the templates of named groups to those of the groups by number and returns this. */
    VariableTemplates defineNamedGroups(String regex) {
        Matcher m = GROUP.matcher(regex);
        int group = 0;
        while (m.find()) {
            if (m.group().startsWith("(") && (m.group(1) == null || m.group(2) != null)) {
                group++;
                if (m.group(2) != null && group <= 9) {
                    defined.put(m.group(2), "${" + group + "}");
                }
            }
        }
        return this;
    }

    /** Returns the names of the variables in texts. */
    static Set<String> referenced(List<String> texts) {
        Set<String> names = new TreeSet<>();
        for (String text : texts) {
            Matcher m = VARIABLE.matcher(text);
            while (m.find()) {
                names.add(m.group(1) != null ? m.group(1) : m.group(2));
            }
        }
        return names;
    }

    /** Returns the value of a variable that is the same for every request; else null. */
    String constantValue(String variable) {
        String template = defined.get(variable);
        return template == null || template.contains("${") ? null : template;
    }

    /** Returns the template for a text. */
    String translate(String text) throws UntranslatableException {
        Matcher m = VARIABLE.matcher(text.replace("$is_args$args", "${is_args_and_args}")
                .replace("$is_args$query_string", "${is_args_and_args}"));
        StringBuilder s = new StringBuilder();
        while (m.find()) {
            m.appendReplacement(s, Matcher.quoteReplacement(templateOf(m.group(1) != null ? m.group(1) : m.group(2))));
        }
        m.appendTail(s);
        return s.toString();
    }

    private String templateOf(String name) throws UntranslatableException {
        if (defined.containsKey(name)) {
            return defined.get(name);
        }
        if (EQUIVALENTS.containsKey(name)) {
            return "${" + EQUIVALENTS.get(name) + "}";
        }
        if (name.equals("is_args_and_args")) {
            return "${args}";
        }
        if (name.equals("https")) {
            return "";
        }
        if (name.matches("[1-9]")) {
            return "${" + name + "}";
        }
        for (String kind : List.of("http_", "cookie_", "arg_")) {
            if (name.startsWith(kind) && name.length() > kind.length()) {
                String rest = name.substring(kind.length());
                return kind.equals("http_")
                        ? "${header." + rest.replace('_', '-') + "}"
                        : "${" + kind.substring(0, kind.length() - 1) + "." + rest + "}";
            }
        }
        throw new UntranslatableException("the variable $" + name + " has no counterpart");
    }

    /** Converts PCRE's syntax (?P<name>) of named groups, and removes _ from their names, which Java rejects. */
    static String toJavaRegex(String pcre) throws UntranslatableException {
        Matcher m = Pattern.compile("\\(\\?P?<([A-Za-z]\\w*)>").matcher(pcre);
        StringBuilder s = new StringBuilder();
        while (m.find()) {
            m.appendReplacement(s, Matcher.quoteReplacement("(?<" + m.group(1).replace("_", "") + ">"));
        }
        String javaRegex = m.appendTail(s).toString();
        try {
            Pattern.compile(javaRegex);
        } catch (PatternSyntaxException e) {
            throw new UntranslatableException("not a valid Java regular expression: " + e.getDescription());
        }
        return javaRegex;
    }

    /**
     * Returns an expression that matches the whole text if the given one is found in it, since nginx's rewrite
     * replaces the whole path.
     */
    static String matchWholeText(String regex) {
        return "^.*?(?:" + regex + ").*$";
    }
}
