package gullspar.importer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.regex.PatternSyntaxException;

/** Texts of nginx with variables, as templates of ours. What a variable stands for must be known. */
final class VariableTemplates {
    private static final Pattern VARIABLE = Pattern.compile("\\$(?:\\{(\\w+)\\}|([1-9]|\\w+))");
    /** What is escaped, a class of characters, or a group: 1 is ? of one that may not count, 2 its name. */
    private static final Pattern GROUP =
            Pattern.compile("\\\\.|\\[(?:\\\\.|[^\\]])*\\]|\\((\\?)?(?:P?<([A-Za-z]\\w*)>)?");

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

    /** Names that have a fixed text here: set, chosen by a map, or of the place. */
    private final Map<String, String> defined = new HashMap<>();

    VariableTemplates() {}

    VariableTemplates(VariableTemplates outer) {
        defined.putAll(outer.defined);
    }

    /** From here on a variable stands for that template. */
    VariableTemplates define(String variable, String template) {
        defined.put(variable, template);
        return this;
    }

    /** The named groups of a regular expression stand for the groups of their number. */
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

    /** The variables in a text. */
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

    /** The text of a variable where it is the same for every request; else null. */
    String constantValue(String variable) {
        String template = defined.get(variable);
        return template == null || template.contains("${") ? null : template;
    }

    /** The template that a text becomes. */
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
        throw new UntranslatableException("what $" + name + " stands for is not known here");
    }

    /** A regular expression as Java writes it: PCRE's other way to name groups, and names with _. */
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
            throw new UntranslatableException("this regular expression means nothing here: " + e.getDescription());
        }
        return javaRegex;
    }

    /** One that is found if the other is, and spans the whole text: what nginx's rewrite replaces. */
    static String matchWholeText(String regex) {
        return "^.*?(?:" + regex + ").*$";
    }
}
