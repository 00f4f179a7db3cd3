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
                        + ") arrives"));
        for (ClientRequest orderRequest : request.order.requests) {
            if (orderRequest.sentAt != 0) {
                lines.add(new Line(
                        orderRequest.sentAt,
                        orderRequest.id + " is sent to " + orderRequest.proxy + ", its client waits until "
                                + seconds(orderRequest.deadline - eventLog.start())));
            }
            for (Attempt attempt : orderRequest.attempts) {
                addAttempt(lines, orderRequest, attempt);
                long notifiedAt = eventLog.notifiedLeavingAt(orderRequest.proxy, attempt.node, attempt.sentAt);
                if (notifiedAt != 0) {
                    lines.add(
                            new Line(notifiedAt, orderRequest.proxy + " is notified that " + attempt.node + " leaves"));
                }
            }
            if (orderRequest.endedAt != 0) {
                lines.add(new Line(
                        orderRequest.endedAt,
                        orderRequest.id + " is " + Judge.endingName(orderRequest)
                                + (orderRequest.status == 0
                                        ? ""
                                        : " (" + orderRequest.status + ", sent at "
                                                + seconds(orderRequest.respondedAt - eventLog.start())
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

    private static void addAttempt(List<Line> lines, ClientRequest request, Attempt attempt) {
        lines.add(new Line(attempt.sentAt, "an attempt of " + request.id + " is sent to " + attempt.node));
        if (attempt.receivedAt != 0) {
            lines.add(new Line(attempt.receivedAt, attempt.node + " has received the complete request"));
        }
        if (attempt.startedAt != 0) {
            lines.add(new Line(attempt.startedAt, attempt.node + " starts processing it"));
        }
        if (attempt.endedAt != 0) {
            lines.add(new Line(
                    attempt.endedAt,
                    attempt.node + ": "
                            + attempt.state.name().toLowerCase(Locale.ROOT).replace('_', ' ')));
        }
    }
}
