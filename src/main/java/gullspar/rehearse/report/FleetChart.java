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
 * Compares the view that each proxy process had of the fleet with the proxies that were running, second by
 * second: the data of the fleet chart in the HTML report.
 */
final class FleetChart {
    /** Accuracy of a view, from best to worst; the worst response of a second counts. */
    enum ViewStatus {
        /** Exactly the running proxies are present. */
        RIGHT,
        /** All running proxies are present, but some are suspected, or some are present that no longer run. */
        BEHIND,
        /** A running proxy is missing: considered gone, or not known yet. */
        LACKS,
        /** The process itself reports that it sees too few members. */
        CUT_OFF
    }

    /** The view of one process in one second, and the bytes that it sent in that second. */
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

    /** The processes that responded at any time. */
    List<String> processes() {
        return new ArrayList<>(samplesByProcess.keySet());
    }

    /** The samples of a process by second; seconds without a response are absent. */
    Map<Integer, ViewSample> samplesBySecond(String process) {
        return samplesByProcess.get(process);
    }

    /** The average of bytes sent per second, over the seconds in which the process responded. */
    double bytesPerSecond(String process) {
        Map<Integer, ViewSample> samples = samplesByProcess.get(process);
        return samples.values().stream().mapToLong(ViewSample::sentBytes).sum() / (double) Math.max(1, samples.size());
    }
}
