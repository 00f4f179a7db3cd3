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
    enum ViewStatus {
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
    record ViewSample(ViewStatus status, int presentCount, int aliveCount, long sentBytes) {}

    private final EventLog eventLog;
    private final Map<String, TreeMap<Integer, ViewSample>> samplesByProcess =
            new TreeMap<>((a, b) -> a.length() != b.length() ? a.length() - b.length() : a.compareTo(b));

    FleetChart(EventLog eventLog, double seconds) {
        this.eventLog = eventLog;
        Map<String, FleetSnapshot> lastByLife = new TreeMap<>();
        for (FleetSnapshot snapshot : eventLog.fleetSnapshots()) {
            FleetSnapshot previous = lastByLife.put(snapshot.life(), snapshot);
            long sentBytes = previous == null ? 0 : snapshot.sentBytes() - previous.sentBytes();
            int second = (int) Math.floorDiv(snapshot.at() - eventLog.start(), 1_000_000_000L);
            if (second >= 0 && second < seconds) {
                samplesByProcess
                        .computeIfAbsent(snapshot.proxy(), p -> new TreeMap<>())
                        .merge(second, sample(snapshot, sentBytes), FleetChart::merge);
            }
        }
    }

    private static ViewSample merge(ViewSample a, ViewSample b) {
        ViewSample worse = b.status.compareTo(a.status) > 0 ? b : a;
        return new ViewSample(worse.status, worse.presentCount, worse.aliveCount, a.sentBytes + b.sentBytes);
    }

    private ViewSample sample(FleetSnapshot snapshot, long sentBytes) {
        Set<String> alive = new TreeSet<>();
        for (EventLog.Life life : eventLog.lives()) {
            if (life.from() <= snapshot.at() && snapshot.at() < life.until()) {
                alive.add(life.name());
            }
        }
        Set<String> present = new TreeSet<>(List.of(EventLog.baseName(snapshot.proxy())));
        boolean hasSuspected = false;
        for (FleetSnapshot.SeenMember member : snapshot.members()) {
            if (member.isPresent()) {
                present.add(member.name());
                hasSuspected |= member.status().equals("suspected");
            }
        }
        ViewStatus status = snapshot.cutOff()
                ? ViewStatus.CUT_OFF
                : !present.containsAll(alive)
                        ? ViewStatus.LACKS
                        : hasSuspected || !alive.containsAll(present) ? ViewStatus.BEHIND : ViewStatus.RIGHT;
        return new ViewSample(status, present.size(), alive.size(), sentBytes);
    }

    /** Those that answered at any time. */
    List<String> processes() {
        return new ArrayList<>(samplesByProcess.keySet());
    }

    /** By second; none for those in which it did not answer. */
    Map<Integer, ViewSample> samplesBySecond(String process) {
        return samplesByProcess.get(process);
    }

    /** Bytes a second that a process sent, over the seconds in which it answered. */
    double bytesPerSecond(String process) {
        Map<Integer, ViewSample> samples = samplesByProcess.get(process);
        return samples.values().stream().mapToLong(ViewSample::sentBytes).sum() / (double) Math.max(1, samples.size());
    }
}
