package gullspar.rehearse.script;

import gullspar.toml.TableReader;
import java.util.List;
import java.util.Map;

/**
 * One fault of a script. Times in s from the start of the day; names are those of its targets (for a link:
 * from and to), or empty where count targets are drawn at random.
 */
public record Fault(
        FaultKind kind,
        double startS,
        double durationS,
        int count,
        List<String> names,
        Map<String, Double> parameters) {
    public double parameter(String name) {
        return parameters.get(name);
    }

    /** A one-line description for reports. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(kind.scriptName());
        String drawn = count + (kind.target() == FaultKind.Target.NODES ? " node" : " proxy");
        boolean isLink = kind.target() == FaultKind.Target.LINK || kind.target() == FaultKind.Target.DATAGRAMS;
        String targets = names.isEmpty()
                ? count == 1 ? drawn : drawn.replace("proxy", "proxie") + "s"
                : String.join(isLink ? " to " : ", ", names);
        text.append(kind.target() == FaultKind.Target.FLEET ? "" : " " + targets);
        parameters.forEach((k, v) -> text.append(' ').append(k).append('=').append(TableReader.formatNumber(v)));
        return text.toString();
    }
}
