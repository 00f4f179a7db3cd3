package gullspar.rehearse.play;

import gullspar.rehearse.judge.Verdict;
import gullspar.rehearse.script.Script;
import gullspar.rehearse.stage.EventLog;
import java.util.List;

/**
 * The result of a day that was played. decisionHash is the hash of the decision log, or "" if the day was played
 * live; proxyLog holds the proxies' log lines; notes give reasons why the result may be invalid.
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
