package gullspar.importer;

import gullspar.nginx.Directive;
import java.util.ArrayList;
import java.util.List;

/** A variable whose text is chosen by a request: by map or split_clients. */
final class Chosen {
    /** One of the texts, and when it is chosen; null for whatever is left. */
    record Choice(Draft.When when, String text) {}

    final Directive directive;
    final List<Choice> choices = new ArrayList<>();
    private final Report report;
    private boolean used;

    private Chosen(Directive directive, Report report) {
        this.directive = directive;
        this.report = report;
    }

    /** It is used: all its entries are translated. */
    void use() {
        if (!used) {
            used = true;
            report.all(directive, Report.Verdict.TRANSLATED, "");
        }
    }

    /** A map: texts first, in any case, then the regular expressions in their order, then the default. */
    static Chosen map(Directive d, Report report) throws Untranslatable {
        Chosen c = new Chosen(d, report);
        String of = new Known().template(d.arguments().get(0).text());
        List<Choice> regexes = new ArrayList<>();
        Choice otherwise = new Choice(null, "");
        for (Directive e : d.block()) {
            String key = e.name().text();
            String text = e.argument(0).orElse("");
            if (key.equals("hostnames")) {
                throw new Untranslatable("a map by hostnames; write one host for each");
            }
            if (key.equals("include") || key.equals("volatile") && e.arguments().isEmpty()) {
                continue;
            }
            if (key.equals("default") && !e.name().quoted()) {
                otherwise = new Choice(null, text);
            } else if (key.startsWith("~")) {
                boolean anyCase = key.startsWith("~*");
                String regex = Known.regex(key.substring(anyCase ? 2 : 1));
                regexes.add(new Choice(Draft.When.matches(of, anyCase ? "(?i)" + regex : regex), text));
            } else {
                String plain = key.startsWith("\\") ? key.substring(1) : key;
                boolean letters = plain.chars().anyMatch(Character::isLetter);
                c.choices.add(new Choice(
                        letters ? Draft.When.matches(of, "(?i)^\\Q" + plain + "\\E$") : Draft.When.is(of, plain),
                        text));
            }
        }
        c.choices.addAll(regexes);
        c.choices.add(otherwise);
        return c;
    }

    /** Shares of the clients, in percent. */
    static Chosen split(Directive d, Report report) throws Untranslatable {
        Chosen c = new Chosen(d, report);
        String of = new Known().template(d.arguments().get(0).text());
        double from = 0;
        for (Directive e : d.block()) {
            String share = e.name().text();
            String text = e.argument(0).orElse("");
            if (share.equals("*")) {
                c.choices.add(new Choice(null, text));
            } else if (share.matches("\\d{1,3}(\\.\\d{1,2})?%")) {
                double to = Math.round((from + Double.parseDouble(share.replace("%", ""))) * 100) / 100.0;
                c.choices.add(new Choice(Draft.When.share(of, from, to), text));
                from = to;
            } else {
                throw new Untranslatable("'" + share + "' is no share");
            }
        }
        if (from < 100 && c.choices.stream().noneMatch(x -> x.when() == null)) {
            c.choices.add(new Choice(null, ""));
        }
        return c;
    }
}
