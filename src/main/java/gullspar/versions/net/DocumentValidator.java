package gullspar.versions.net;

import gullspar.config.OperatorsFile;
import gullspar.config.Site;
import gullspar.config.SiteReader;
import gullspar.toml.BlockParser;
import gullspar.toml.ProblemsException;
import java.util.ArrayList;
import java.util.List;

/** Validates a change before it becomes a version. Not thread-safe. */
public final class DocumentValidator {
    private final BlockParser blocks = new BlockParser();

    /** Returns one line per problem: those SiteReader finds, and tables that belong to a single process. */
    public List<String> problems(String file, String text) {
        Site site;
        try {
            site = SiteReader.parse(text, file, blocks);
        } catch (ProblemsException e) {
            return e.getMessage().lines().toList();
        }
        List<String> problems = new ArrayList<>();
        OperatorsFile operators = site.operators();
        if (operators.operatorAddress() != null) {
            problems.add(ownTableProblem(file, text, "operator"));
        }
        if (operators.fleet() != null) {
            problems.add(ownTableProblem(file, text, "fleet"));
        }
        return problems;
    }

    private static String ownTableProblem(String file, String text, String table) {
        List<String> lines = text.lines().toList();
        int line = 0;
        while (line < lines.size() - 1 && !lines.get(line).strip().startsWith("[" + table)) {
            line++;
        }
        return file + ":" + (line + 1) + ":1: [" + table
                + "] belongs to one process: move it from the shared configuration to the file of --follow";
    }
}
