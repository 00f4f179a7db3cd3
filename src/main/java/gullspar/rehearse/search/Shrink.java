package gullspar.rehearse.search;

import gullspar.rehearse.play.VirtualPlay;
import gullspar.rehearse.script.Fault;
import gullspar.rehearse.script.Script;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;

/**
 * Cuts a day down to the smallest that still shows the same: first the faults themselves (delta debugging,
 * Zeller and Hildebrandt, IEEE TSE 28 (2), 2002), then how long each lasts and how many it strikes, then the
 * day.
 */
final class Shrink {
    private static final int MOST_PLAYS = 150;
    private static final double LEAST_S = 2;

    private final VirtualPlay.Options options;
    private final BooleanSupplier stop;
    private Finding smallest;
    private int plays;

    private Shrink(Finding found, VirtualPlay.Options options, BooleanSupplier stop) {
        this.smallest = found;
        this.options = options;
        this.stop = stop;
    }

    /** Stops early, with the smallest so far, when told to. */
    static Finding smallest(Finding found, VirtualPlay.Options options, BooleanSupplier stop) {
        Shrink s = new Shrink(found, options, stop);
        s.fewer();
        for (int i = 0; i < s.smallest.script().faults().size(); i++) {
            s.less(i);
        }
        s.shorter();
        return s.smallest;
    }

    /** Is the same still wrong? Then this is the smallest so far. */
    private boolean still(Script candidate) {
        if (plays >= MOST_PLAYS || stop.getAsBoolean()) {
            return false;
        }
        plays++;
        Finding f = Finding.in(candidate, VirtualPlay.play(candidate, options).verdict());
        if (f != null && f.rule() == smallest.rule()) {
            smallest = f;
            return true;
        }
        return false;
    }

    private void fewer() {
        int parts = 2;
        while (smallest.script().faults().size() >= 2) {
            List<Fault> all = smallest.script().faults();
            int size = (all.size() + parts - 1) / parts;
            boolean cut = false;
            for (int from = 0; from < all.size() && !cut; from += size) {
                List<Fault> rest = new ArrayList<>(all.subList(0, from));
                rest.addAll(all.subList(Math.min(all.size(), from + size), all.size()));
                cut = !rest.isEmpty() && still(smallest.script().with(rest));
            }
            if (cut) {
                parts = Math.max(2, parts - 1);
            } else if (size == 1) {
                return;
            } else {
                parts = Math.min(all.size(), parts * 2);
            }
        }
    }

    private void less(int i) {
        while (change(
                i,
                f -> f.durationS() < 0.2
                        ? null
                        : new Fault(
                                f.kind(),
                                f.startS(),
                                Math.rint(f.durationS() * 5) / 10,
                                f.count(),
                                f.names(),
                                f.parameters()))) {
            continue; // half as long, while that does
        }
        while (change(
                i,
                f -> !f.names().isEmpty() || f.count() / 2 < f.kind().minTargets()
                        ? null
                        : new Fault(f.kind(), f.startS(), f.durationS(), f.count() / 2, f.names(), f.parameters()))) {
            continue; // half as many
        }
    }

    private boolean change(int i, UnaryOperator<Fault> how) {
        List<Fault> faults = new ArrayList<>(smallest.script().faults());
        Fault changed = how.apply(faults.get(i));
        if (changed == null) {
            return false;
        }
        faults.set(i, changed);
        return still(smallest.script().with(faults));
    }

    private void shorter() {
        double last = smallest.script().faults().stream()
                .mapToDouble(f -> f.startS() + f.durationS())
                .max()
                .orElse(0);
        for (double seconds = last + LEAST_S; seconds < smallest.script().seconds(); seconds += 4) {
            if (still(smallest.script().with(Math.ceil(seconds)))) {
                return;
            }
        }
    }
}
