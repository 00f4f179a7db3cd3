package gullspar.rehearse.judge;

import gullspar.rehearse.stage.ClientRequest;
import gullspar.rehearse.stage.ClientRequest.Attempt;
import gullspar.rehearse.stage.EventLog;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/** Formats all recorded events of one order, sorted by time, as readable text. */
public final class RequestTrace {
    private record Line(long atNs, String text) {}

    private RequestTrace() {}

    /** The events of the order of a request, one per line, with seconds from the start of the day. */
    public static List<String> of(ClientRequest request, EventLog eventLog) {
        List<Line> lines = new ArrayList<>();
        lines.add(new Line(
                request.order.at,
                "order " + request.order.number + " (" + request.order.requestClass.name() + ", " + request.order.site
                        + ") comes up"));
        for (ClientRequest t : request.order.requests) {
            if (t.sentAt != 0) {
                lines.add(new Line(
                        t.sentAt,
                        t.id + " is sent to " + t.proxy + ", its client waits until "
                                + seconds(t.deadline - eventLog.start())));
            }
            for (Attempt a : t.attempts) {
                addAttempt(lines, t, a);
                long notifiedAt = eventLog.notifiedLeavingAt(t.proxy, a.node, a.sentAt);
                if (notifiedAt != 0) {
                    lines.add(new Line(notifiedAt, t.proxy + " is told that " + a.node + " leaves"));
                }
            }
            if (t.endedAt != 0) {
                lines.add(new Line(
                        t.endedAt,
                        t.id + " is " + Judge.endingName(t)
                                + (t.status == 0
                                        ? ""
                                        : " (" + t.status + ", sent "
                                                + seconds(t.respondedAt - eventLog.start())
                                                + ")")));
            }
        }
        long from = request.order.at;
        long to = request.endedAt;
        eventLog.events().stream()
                .filter(h -> h.at() >= from - 2_000_000_000L && h.at() <= to)
                .forEach(h -> lines.add(new Line(h.at(), "(" + h.description() + ")")));
        return lines.stream()
                .sorted(Comparator.comparingLong(Line::atNs))
                .map(l -> String.format(Locale.ROOT, "%10.6f s  %s", (l.atNs - eventLog.start()) / 1e9, l.text))
                .toList();
    }

    private static String seconds(long ns) {
        return String.format(Locale.ROOT, "%.6f s", ns / 1e9);
    }

    private static void addAttempt(List<Line> lines, ClientRequest t, Attempt a) {
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
