package gullspar.rehearse.report;

import gullspar.rehearse.judge.Judge;
import gullspar.rehearse.play.Played;
import gullspar.rehearse.stage.ClientRequest;
import gullspar.rehearse.stage.Order;

/** How the orders of each second of a day ended. */
final class OutcomeTimeline {
    /** How an order ended: served in time, served late, refused at the last, or anything else. */
    enum Outcome {
        SERVED,
        LATE,
        REFUSED,
        FAILED
    }

    private final int[][] counts;

    OutcomeTimeline(Played day) {
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
