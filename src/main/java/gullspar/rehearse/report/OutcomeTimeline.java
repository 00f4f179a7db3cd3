package gullspar.rehearse.report;

import gullspar.rehearse.judge.Judge;
import gullspar.rehearse.play.DayResult;
import gullspar.rehearse.stage.ClientRequest;
import gullspar.rehearse.stage.Order;

/** Counts the outcomes of the orders of each second of a day. */
final class OutcomeTimeline {
    /**
     * Outcome of an order: served within the latency target, served late, refused in its last request, or
     * any other ending. The lower-case names are the CSS variables of the HTML report.
     */
    enum Outcome {
        SERVED,
        LATE,
        REFUSED,
        FAILED
    }

    private final int[][] counts;

    OutcomeTimeline(DayResult day) {
        counts = new int[Math.max(1, (int) Math.ceil(day.script().seconds()))][Outcome.values().length];
        for (Order order : day.eventLog().orders()) {
            int second = (int) ((order.at - day.eventLog().start()) / 1_000_000_000L);
            counts[Math.max(0, Math.min(counts.length - 1, second))][
                    outcomeOf(order).ordinal()]++;
        }
    }

    static Outcome outcomeOf(Order order) {
        if (order.servedAt() != Long.MAX_VALUE) {
            return order.isInTime() ? Outcome.SERVED : Outcome.LATE;
        }
        ClientRequest last = order.requests.get(order.requests.size() - 1);
        return Judge.endingName(last).equals("refused") ? Outcome.REFUSED : Outcome.FAILED;
    }

    int length() {
        return counts.length;
    }

    int count(int second, Outcome outcome) {
        return counts[second][outcome.ordinal()];
    }

    int total(int second) {
        int sum = 0;
        for (int n : counts[second]) {
            sum += n;
        }
        return sum;
    }

    int maxTotal() {
        int max = 1;
        for (int i = 0; i < counts.length; i++) {
            max = Math.max(max, total(i));
        }
        return max;
    }
}
