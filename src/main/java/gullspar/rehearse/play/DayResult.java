package gullspar.rehearse.play;

import gullspar.rehearse.judge.Verdict;
import gullspar.rehearse.script.Script;
import gullspar.rehearse.stage.EventLog;
import java.util.List;

/**
 * A day that has been played. The hash is that of its decisions, "" if it was played live; the log holds what
 * the proxies said; notes say why the result may not count.
 */
public record DayResult(
        Script script,
        EventLog eventLog,
        Verdict verdict,
        String decisionHash,
        long decisionCount,
        List<String> proxyLog,
        List<String> notes,
        long wallTimeNs) {}
