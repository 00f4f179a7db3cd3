package gullspar.importer;

import gullspar.nginx.Directive;
import java.util.ArrayList;
import java.util.List;

/** A variable that map or split_clients defines: its value depends on conditions on the request. */
final class ConditionalVariable {
    /** A value and its condition; the condition is null for the default. */
    record Case(TranslatedSite.Condition condition, String value) {}

    final Directive directive;
    final List<Case> cases = new ArrayList<>();
    private final Report report;
    private boolean used;

    private ConditionalVariable(Directive directive, Report report) {
        this.directive = directive;
        this.report = report;
    }

    /** Reports the directive and its entries as translated. */
    void markUsed() {
        if (!used) {
            used = true;
            report.putAll(directive, Report.Verdict.TRANSLATED, "");
        }
    }

    /**
     * Reads a map. The cases are in the order in which nginx tries them: strings, which ignore case, regular
     * expressions in the order of the file, the default.
     */
    static ConditionalVariable fromMap(Directive d, Report report) throws UntranslatableException {
        ConditionalVariable variable = new ConditionalVariable(d, report);
        String source = new VariableTemplates().translate(d.arguments().get(0).text());
        List<Case> regexes = new ArrayList<>();
        Case defaultCase = new Case(null, "");
        for (Directive entry : d.block()) {
            String key = entry.name().text();
            String value = entry.argument(0).orElse("");
            if (key.equals("hostnames")) {
                throw new UntranslatableException("a map by hostnames; write one host for each");
            }
            if (key.equals("include")
                    || key.equals("volatile") && entry.arguments().isEmpty()) {
                continue;
            }
            if (key.equals("default") && !entry.name().quoted()) {
                defaultCase = new Case(null, value);
            } else if (key.startsWith("~")) {
                boolean ignoreCase = key.startsWith("~*");
                String regex = VariableTemplates.toJavaRegex(key.substring(ignoreCase ? 2 : 1));
                regexes.add(
                        new Case(TranslatedSite.Condition.regex(source, ignoreCase ? "(?i)" + regex : regex), value));
            } else {
                String literal = key.startsWith("\\") ? key.substring(1) : key;
                boolean hasLetters = literal.chars().anyMatch(Character::isLetter);
                variable.cases.add(new Case(
                        hasLetters
                                ? TranslatedSite.Condition.regex(source, "(?i)^\\Q" + literal + "\\E$")
                                : TranslatedSite.Condition.equalTo(source, literal),
                        value));
            }
        }
        variable.cases.addAll(regexes);
        variable.cases.add(defaultCase);
        return variable;
    }

    /** Reads a split_clients, whose conditions are shares in percent. */
    static ConditionalVariable fromSplitClients(Directive d, Report report) throws UntranslatableException {
        ConditionalVariable variable = new ConditionalVariable(d, report);
        String source = new VariableTemplates().translate(d.arguments().get(0).text());
        double fromPercent = 0;
        for (Directive entry : d.block()) {
            String share = entry.name().text();
            String value = entry.argument(0).orElse("");
            if (share.equals("*")) {
                variable.cases.add(new Case(null, value));
            } else if (share.matches("\\d{1,3}(\\.\\d{1,2})?%")) {
                double toPercent = Math.round((fromPercent + Double.parseDouble(share.replace("%", ""))) * 100) / 100.0;
                variable.cases.add(new Case(TranslatedSite.Condition.share(source, fromPercent, toPercent), value));
                fromPercent = toPercent;
            } else {
                throw new UntranslatableException("'" + share + "' is no share");
            }
        }
        if (fromPercent < 100 && variable.cases.stream().noneMatch(x -> x.condition() == null)) {
            variable.cases.add(new Case(null, ""));
        }
        return variable;
    }
}
