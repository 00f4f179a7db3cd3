package gullspar.rehearse.search;

import gullspar.rehearse.play.VirtualPlay;
import gullspar.rehearse.script.Fault;
import gullspar.rehearse.script.Script;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;

/**
 * Reduces a day to the smallest one with the same finding: first removes faults (delta debugging, Zeller and
 * Hildebrandt, IEEE TSE 28 (2), 2002), then halves the duration and the number of targets of each fault, then
 * shortens the day.
 */
final class FindingReducer {
    private static final int MAX_PLAYS = 150;
    /** The shortest time from the end of the last fault to the end of the day. */
    private static final double MIN_TAIL_S = 2;

    private final VirtualPlay.Options options;
    private final BooleanSupplier stop;
    private Finding smallest;
    private int plays;

    private FindingReducer(Finding finding, VirtualPlay.Options options, BooleanSupplier stop) {
        this.smallest = finding;
        this.options = options;
        this.stop = stop;
    }

    /** Returns the smallest day; once stop returns true, the smallest so far. */
    static Finding smallest(Finding finding, VirtualPlay.Options options, BooleanSupplier stop) {
        FindingReducer reducer = new FindingReducer(finding, options, stop);
        reducer.removeFaults();
        for (int i = 0; i < reducer.smallest.script().faults().size(); i++) {
            reducer.reduceFault(i);
        }
        reducer.shortenDay();
        return reducer.smallest;
    }

    /** Whether the candidate has the same finding; if so, it becomes the smallest so far. */
    private boolean reproduces(Script candidate) {
        if (plays >= MAX_PLAYS || stop.getAsBoolean()) {
            return false;
        }
        plays++;
        Finding finding = Finding.fromVerdict(
                candidate, VirtualPlay.play(candidate, options).verdict());
        if (finding != null && finding.rule() == smallest.rule()) {
            smallest = finding;
            return true;
        }
        return false;
    }

    private void removeFaults() {
        int partCount = 2;
        while (smallest.script().faults().size() >= 2) {
            List<Fault> faults = smallest.script().faults();
            int partSize = (faults.size() + partCount - 1) / partCount;
            boolean reduced = false;
            for (int start = 0; start < faults.size() && !reduced; start += partSize) {
                List<Fault> remaining = new ArrayList<>(faults.subList(0, start));
                remaining.addAll(faults.subList(Math.min(faults.size(), start + partSize), faults.size()));
                reduced = !remaining.isEmpty() && reproduces(smallest.script().withFaults(remaining));
            }
            if (reduced) {
                partCount = Math.max(2, partCount - 1);
            } else if (partSize == 1) {
                return;
            } else {
                partCount = Math.min(faults.size(), partCount * 2);
            }
        }
    }

    private void reduceFault(int index) {
        while (tryChange(
                index,
                f -> f.durationS() < 0.2
                        ? null
                        : new Fault(
                                f.kind(),
                                f.startS(),
                                Math.rint(f.durationS() * 5) / 10,
                                f.count(),
                                f.names(),
                                f.parameters()))) {
            continue; // half the duration while the finding reproduces
        }
        while (tryChange(
                index,
                f -> !f.names().isEmpty() || f.count() / 2 < f.kind().minTargets()
                        ? null
                        : new Fault(f.kind(), f.startS(), f.durationS(), f.count() / 2, f.names(), f.parameters()))) {
            continue; // half the targets while the finding reproduces
        }
    }

    private boolean tryChange(int index, UnaryOperator<Fault> change) {
        List<Fault> faults = new ArrayList<>(smallest.script().faults());
        Fault changed = change.apply(faults.get(index));
        if (changed == null) {
            return false;
        }
        faults.set(index, changed);
        return reproduces(smallest.script().withFaults(faults));
    }

    private void shortenDay() {
        double lastFaultEndS = smallest.script().faults().stream()
                .mapToDouble(f -> f.startS() + f.durationS())
                .max()
                .orElse(0);
        for (double seconds = lastFaultEndS + MIN_TAIL_S;
                seconds < smallest.script().seconds();
                seconds += 4) {
            if (reproduces(smallest.script().withSeconds(Math.ceil(seconds)))) {
                return;
            }
        }
    }
}
