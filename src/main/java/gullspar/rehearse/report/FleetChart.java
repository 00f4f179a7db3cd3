package gullspar.rehearse.report;

import gullspar.rehearse.stage.EventLog;
import gullspar.rehearse.stage.FleetSnapshot;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * How each process saw the fleet, second by second, against those that lived: what the chart of a day shows,
 * without its drawing.
 */
final class FleetChart {
    /** What a process saw in a second, the worst of what it answered. */
    enum Sight {
        /** All that live, and nobody else. */
        RIGHT,
        /** All that live, some of them suspected; or some that live no more. */
        BEHIND,
        /** Somebody who lives is gone, or not known yet. */
        LACKS,
        /** It says itself that it sees too few. */
        CUT_OFF
    }

    /** One second of one process; bytes that it sent in it. */
    record Cell(Sight sight, int present, int living, long bytes) {}

    private final EventLog eventLog;
    private final Map<String, TreeMap<Integer, Cell>> cells =
            new TreeMap<>((a, b) -> a.length() != b.length() ? a.length() - b.length() : a.compareTo(b));

    FleetChart(EventLog eventLog, double seconds) {
        this.eventLog = eventLog;
        Map<String, FleetSnapshot> last = new TreeMap<>();
        for (FleetSnapshot l : eventLog.fleetSnapshots()) {
            FleetSnapshot before = last.put(l.life(), l);
            long sent = before == null ? 0 : l.sentBytes() - before.sentBytes();
            int second = (int) Math.floorDiv(l.at() - eventLog.start(), 1_000_000_000L);
            if (second >= 0 && second < seconds) {
                cells.computeIfAbsent(l.proxy(), p -> new TreeMap<>()).merge(second, cell(l, sent), FleetChart::worse);
            }
        }
    }

    private static Cell worse(Cell a, Cell b) {
        Cell w = b.sight.compareTo(a.sight) > 0 ? b : a;
        return new Cell(w.sight, w.present, w.living, a.bytes + b.bytes);
    }

    private Cell cell(FleetSnapshot l, long sent) {
        Set<String> living = new TreeSet<>();
        for (EventLog.Life x : eventLog.lives()) {
            if (x.from() <= l.at() && l.at() < x.until()) {
                living.add(x.name());
            }
        }
        Set<String> present = new TreeSet<>(List.of(EventLog.baseName(l.proxy())));
        boolean suspects = false;
        for (FleetSnapshot.SeenMember s : l.members()) {
            if (s.isPresent()) {
                present.add(s.name());
                suspects |= s.status().equals("suspected");
            }
        }
        Sight sight = l.cutOff()
                ? Sight.CUT_OFF
                : !present.containsAll(living)
                        ? Sight.LACKS
                        : suspects || !living.containsAll(present) ? Sight.BEHIND : Sight.RIGHT;
        return new Cell(sight, present.size(), living.size(), sent);
    }

    /** Those that answered at any time. */
    List<String> processes() {
        return new ArrayList<>(cells.keySet());
    }

    /** By second; none for those in which it did not answer. */
    Map<Integer, Cell> of(String process) {
        return cells.get(process);
    }

    /** Bytes a second that a process sent, over the seconds in which it answered. */
    double bytesPerSecond(String process) {
        Map<Integer, Cell> mine = cells.get(process);
        return mine.values().stream().mapToLong(Cell::bytes).sum() / (double) Math.max(1, mine.size());
    }
}
