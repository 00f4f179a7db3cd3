package gullspar.rehearse.judge;

import gullspar.rehearse.stage.ClientRequest;
import gullspar.rehearse.stage.ClientRequest.Attempt;
import gullspar.rehearse.stage.EventLog;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/** All that is known of one order, in the order in which it happened, for people to read. */
public final class RequestTrace {
    private record Line(long at, String what) {}

    private RequestTrace() {}

    /** The story of the order of a request, a line each, with seconds from the start of the day. */
    public static List<String> of(ClientRequest of, EventLog eventLog) {
        List<Line> lines = new ArrayList<>();
        lines.add(new Line(
                of.order.at,
                "order " + of.order.number + " (" + of.order.requestClass.name() + ", " + of.order.site
                        + ") comes up"));
        for (ClientRequest t : of.order.requests) {
            if (t.sentAt != 0) {
                lines.add(new Line(
                        t.sentAt,
                        t.id + " is sent to " + t.proxy + ", its client waits until "
                                + seconds(t.deadline - eventLog.start())));
            }
            for (Attempt a : t.attempts) {
                attempt(lines, t, a);
                long told = eventLog.notifiedLeavingAt(t.proxy, a.node, a.sentAt);
                if (told != 0) {
                    lines.add(new Line(told, t.proxy + " is told that " + a.node + " leaves"));
                }
            }
            if (t.endedAt != 0) {
                lines.add(new Line(
                        t.endedAt,
                        t.id + " is " + Judge.ended(t)
                                + (t.status == 0
                                        ? ""
                                        : " (" + t.status + ", sent "
                                                + seconds(t.respondedAt - eventLog.start())
                                                + ")")));
            }
        }
        long from = of.order.at;
        long to = of.endedAt;
        eventLog.events().stream()
                .filter(h -> h.at() >= from - 2_000_000_000L && h.at() <= to)
                .forEach(h -> lines.add(new Line(h.at(), "(" + h.description() + ")")));
        return lines.stream()
                .sorted(Comparator.comparingLong(Line::at))
                .map(l -> String.format(Locale.ROOT, "%10.6f s  %s", (l.at - eventLog.start()) / 1e9, l.what))
                .toList();
    }

    private static String seconds(long ns) {
        return String.format(Locale.ROOT, "%.6f s", ns / 1e9);
    }

    private static void attempt(List<Line> lines, ClientRequest t, Attempt a) {
        lines.add(new Line(a.sentAt, "an attempt of " + t.id + " goes out to " + a.node));
        if (a.receivedAt != 0) {
            lines.add(new Line(a.receivedAt, a.node + " has it whole"));
        }
        if (a.startedAt != 0) {
            lines.add(new Line(a.startedAt, a.node + " begins to work on it"));
        }
        if (a.endedAt != 0) {
            lines.add(new Line(
                    a.endedAt,
                    a.node + ": " + a.state.name().toLowerCase(Locale.ROOT).replace('_', ' ')));
        }
    }
}
