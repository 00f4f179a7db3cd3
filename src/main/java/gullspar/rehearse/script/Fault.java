package gullspar.rehearse.script;

import gullspar.toml.TableReader;
import java.util.List;
import java.util.Map;

/**
 * One fault of a script. Times in s from the start of the day; names are those of what it strikes (for a way:
 * from and to), or empty where count are to be drawn.
 */
public record Fault(
        FaultKind kind, double at, double lasts, int count, List<String> names, Map<String, Double> figures) {
    public double figure(String name) {
        return figures.get(name);
    }

    /** One line for people. */
    @Override
    public String toString() {
        StringBuilder s = new StringBuilder(kind.named());
        String some = count + (kind.target() == FaultKind.Target.NODES ? " node" : " proxy");
        boolean way = kind.target() == FaultKind.Target.LINK || kind.target() == FaultKind.Target.DATAGRAMS;
        String what = names.isEmpty()
                ? count == 1 ? some : some.replace("proxy", "proxie") + "s"
                : String.join(way ? " to " : ", ", names);
        s.append(kind.target() == FaultKind.Target.FLEET ? "" : " " + what);
        figures.forEach((k, v) -> s.append(' ').append(k).append('=').append(TableReader.formatNumber(v)));
        return s.toString();
    }
}
