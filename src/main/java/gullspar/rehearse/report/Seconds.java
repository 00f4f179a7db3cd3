package gullspar.rehearse.report;

import gullspar.rehearse.judge.Judge;
import gullspar.rehearse.play.DayResult;
import gullspar.rehearse.stage.ClientRequest;
import gullspar.rehearse.stage.Order;

/** How the orders of each second of a day ended. */
final class Seconds {
    /** How an order ended: served in time, served late, refused at the last, or anything else. */
    enum Kind {
        SERVED,
        LATE,
        REFUSED,
        FAILED
    }

    private final int[][] counts;

    Seconds(DayResult p) {
        counts = new int[Math.max(1, (int) Math.ceil(p.script().seconds()))][Kind.values().length];
        for (Order o : p.eventLog().orders()) {
            int second = (int) ((o.at - p.eventLog().start()) / 1_000_000_000L);
            counts[Math.max(0, Math.min(counts.length - 1, second))][kind(o).ordinal()]++;
        }
    }

    static Kind kind(Order o) {
        if (o.servedAt() != Long.MAX_VALUE) {
            return o.isInTime() ? Kind.SERVED : Kind.LATE;
        }
        ClientRequest last = o.requests.get(o.requests.size() - 1);
        return Judge.endingName(last).equals("refused") ? Kind.REFUSED : Kind.FAILED;
    }

    int length() {
        return counts.length;
    }

    int count(int second, Kind k) {
        return counts[second][k.ordinal()];
    }

    int total(int second) {
        int sum = 0;
        for (int n : counts[second]) {
            sum += n;
        }
        return sum;
    }

    int most() {
        int most = 1;
        for (int i = 0; i < counts.length; i++) {
            most = Math.max(most, total(i));
        }
        return most;
    }
}
