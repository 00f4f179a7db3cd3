package gullspar.rehearse.judge;

import gullspar.decide.Balancer.Effect;
import gullspar.decide.Balancer.Scope;
import gullspar.rehearse.script.Script;
import gullspar.rehearse.stage.ClientRequest;
import gullspar.rehearse.stage.ClientRequest.Attempt;
import gullspar.rehearse.stage.EventLog;
import gullspar.rehearse.stage.Order;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Judges a played day by what was observed from outside the proxies: checks the rules, computes the service and
 * compares it with the script's expectations. Used for days in virtual time and for live days, where observed
 * times are less exact.
 */
public final class Judge {
    private static final int WORST_WINDOW_S = 10;
    /** A proxy has to detect within this time that a client has left: a requirement of the operators. */
    private static final long MAX_LEAVE_DELAY_NS = 100_000_000L;

    /** How much more time an attempt may be given than its client has left: a requirement of the operators. */
    private static final long MAX_EXTRA_TIME_NS = 150_000_000L;

    private static final long SECOND_NS = 1_000_000_000L;

    private final Script script;
    private final EventLog eventLog;
    private final long slackNs;
    private final List<RuleViolation> violations = new ArrayList<>();
    /** The service within each window of WORST_WINDOW_S, by the second at which the window starts. */
    private final List<Double> windowServices = new ArrayList<>();

    private int duplicateEffects;

    private Judge(Script script, EventLog eventLog, long slackNs) {
        this.script = script;
        this.eventLog = eventLog;
        this.slackNs = slackNs;
    }

    /** Judges a day; slackNs is the maximum error of an observed time, 0 in virtual time. */
    public static Verdict judge(Script script, EventLog eventLog, long slackNs) {
        return new Judge(script, eventLog, slackNs).verdict();
    }

    private Verdict verdict() {
        eventLog.orders().forEach(o -> {
            o.requests.forEach(this::checkFinalResponse);
            o.requests.forEach(this::checkLeftClient);
            o.requests.forEach(this::checkTimeGiven);
            o.requests.forEach(this::checkRepeats);
            o.requests.forEach(this::checkDrains);
            checkEffects(o);
        });
        eventLog.collapsedAt()
                .forEach((node, at) -> violations.add(new RuleViolation(
                        Rule.COLD_SPARED,
                        at,
                        node + " was sent more than " + script.rules().tipMultiple() + " times its capacity for "
                                + script.rules().fallS() + " s during its cold start, and collapsed",
                        null)));
        eventLog.crashes()
                .forEach(c -> violations.add(new RuleViolation(Rule.ONE_ANSWER, c.at(), c.description(), null)));
        eventLog.servedMalformedRequests()
                .forEach(text -> violations.add(new RuleViolation(
                        Rule.ONE_ANSWER,
                        0,
                        "a malformed request was served: "
                                + text.lines().findFirst().orElse(""),
                        null)));
        if (eventLog.unansweredMisbehavingClients() > 0) {
            violations.add(new RuleViolation(
                    Rule.ONE_ANSWER,
                    0,
                    eventLog.unansweredMisbehavingClients() + " of " + eventLog.misbehavingClientCount()
                            + " clients that sent a malformed request got neither an error nor a close within 3 s",
                    null));
        }
        if (script.peers() != null) {
            violations.addAll(FleetJudge.judge(script, eventLog, slackNs));
        }
        double service = service(eventLog.orders());
        int worstStartS = worstWindowStartS();
        double worst = worstStartS < 0 ? service : windowServices.get(worstStartS);
        String worstClass = "";
        double worstShare = 2;
        for (Script.RequestClass c : script.classes()) {
            double s = service(
                    eventLog.orders().stream().filter(o -> o.requestClass == c).toList());
            if (s < worstShare) {
                worstShare = s;
                worstClass = c.name();
            }
        }
        checkExpectation("service", service);
        checkExpectation("worst_10s", worst);
        checkExpectation("worst_class", worstShare);
        violations.sort(Comparator.comparingLong(RuleViolation::atNs));
        return new Verdict(
                List.copyOf(violations),
                service,
                worst,
                Math.max(0, worstStartS) * SECOND_NS,
                worstShare,
                worstClass,
                counts(),
                eventLog.orders().size(),
                duplicateEffects);
    }

    /** The start, in s, of the ten seconds with the lowest service; -1 on a shorter day. */
    private int worstWindowStartS() {
        int seconds = (int) script.seconds();
        double[] requestedWorth = new double[seconds + 1];
        double[] servedWorth = new double[seconds + 1];
        for (Order order : eventLog.orders()) {
            int at = (int) Math.max(0, Math.min(seconds, (order.at - eventLog.start()) / SECOND_NS));
            requestedWorth[at] += order.requestClass.worth();
            servedWorth[at] += order.isInTime() ? order.requestClass.worth() : 0;
        }
        int worst = -1;
        for (int from = 0; from + WORST_WINDOW_S <= seconds; from++) {
            double a =
                    Arrays.stream(requestedWorth, from, from + WORST_WINDOW_S).sum();
            double s = Arrays.stream(servedWorth, from, from + WORST_WINDOW_S).sum();
            windowServices.add(a == 0 ? 1 : s / a);
            worst = worst < 0 || windowServices.get(from) < windowServices.get(worst) ? from : worst;
        }
        return worst;
    }

    private void checkExpectation(String name, double share) {
        Double minimum = script.expect().get(name);
        if (minimum != null && share < minimum) {
            violations.add(new RuleViolation(
                    Rule.EXPECTED,
                    eventLog.start() + (long) (script.seconds() * 1e9),
                    String.format(Locale.ROOT, "%s is %.4f, the script expects %.4f", name, share, minimum),
                    null));
        }
    }

    private static double service(List<Order> orders) {
        double requestedWorth = 0;
        double servedWorth = 0;
        for (Order order : orders) {
            requestedWorth += order.requestClass.worth();
            servedWorth += order.isInTime() ? order.requestClass.worth() : 0;
        }
        return requestedWorth == 0 ? 1 : servedWorth / requestedWorth;
    }

    private Map<String, Integer> counts() {
        Map<String, Integer> counts = new LinkedHashMap<>();
        for (String name : List.of("served", "late", "refused", "failed", "given up", "left", "closed", "not taken")) {
            counts.put(name, 0);
        }
        for (Order order : eventLog.orders()) {
            for (ClientRequest request : order.requests) {
                counts.merge(endingName(request), 1, Integer::sum);
            }
        }
        return counts;
    }

    /** The name of a request's ending in counts and reports; "open" if it has not ended. */
    public static String endingName(ClientRequest request) {
        return switch (request.ending) {
            case ANSWERED -> request.status == 200
                    ? request.endedAt <= request.order.at + (long) (request.order.requestClass.latencyTargetMs() * 1e6)
                            ? "served"
                            : "late"
                    : isRefused(request) ? "refused" : "failed";
            case GIVEN_UP -> "given up";
            case LEFT -> "left";
            case CLOSED -> "closed";
            case NOT_TAKEN -> "not taken";
            default -> "open";
        };
    }

    private static boolean isRefused(ClientRequest request) {
        return request.status == 429 || request.status == 503;
    }

    private void addViolation(Rule rule, long at, ClientRequest request, String description) {
        violations.add(new RuleViolation(rule, at, description, request));
    }

    // ---- the rules ----

    private void checkFinalResponse(ClientRequest request) {
        if (request.status == 200 && request.attempts.stream().noneMatch(attempt -> attempt.startedAt != 0)) {
            addViolation(
                    Rule.ONE_ANSWER, request.endedAt, request, "it was served, but no node had started to process it");
        }
        if (request.responseError != null) {
            addViolation(Rule.ONE_ANSWER, request.endedAt, request, request.responseError);
        }
        if (request.sentAt != 0 && !eventLog.wasDisrupted(request.proxy, request.sentAt, request.endedAt)) {
            if (request.ending == ClientRequest.Ending.GIVEN_UP) {
                addViolation(Rule.ONE_ANSWER, request.endedAt, request, "it had no final answer when its time was up");
            } else if (request.ending == ClientRequest.Ending.CLOSED && !request.attempts.isEmpty()) {
                addViolation(
                        Rule.ONE_ANSWER, request.endedAt, request, "its connection was closed with no final answer");
            } else if (request.ending == ClientRequest.Ending.OPEN) {
                addViolation(Rule.ONE_ANSWER, request.deadline, request, "it was still open at the end of the day");
            }
        }
        if (request.ending == ClientRequest.Ending.ANSWERED) {
            for (Attempt attempt : request.attempts) {
                if (attempt.sentAt > request.respondedAt + slackNs) {
                    addViolation(
                            Rule.ONE_ANSWER,
                            attempt.sentAt,
                            request,
                            "an attempt was sent to " + attempt.node + " after its final answer");
                }
            }
        }
    }

    private void checkLeftClient(ClientRequest request) {
        for (Attempt attempt : request.attempts) {
            if (request.ending == ClientRequest.Ending.LEFT
                    && attempt.sentAt > request.endedAt + MAX_LEAVE_DELAY_NS + slackNs) {
                addViolation(
                        Rule.LEFT_ALONE,
                        attempt.sentAt,
                        request,
                        String.format(
                                Locale.ROOT,
                                "an attempt was sent to %s %.3f s after its client had left",
                                attempt.node,
                                (attempt.sentAt - request.endedAt) / 1e9));
            }
        }
    }

    /** A proxy that does not know how long a request has waited gives its backend more time than the client has. */
    private void checkTimeGiven(ClientRequest request) {
        for (Attempt attempt : request.attempts) {
            long remainingNs = request.deadline - attempt.sentAt;
            if (attempt.timeoutNs != Long.MAX_VALUE && attempt.timeoutNs > remainingNs + MAX_EXTRA_TIME_NS + slackNs) {
                addViolation(
                        Rule.TIME_TOLD,
                        attempt.sentAt,
                        request,
                        String.format(
                                Locale.ROOT,
                                "the attempt at %s was given %.3f s when its client had %.3f s left",
                                attempt.node,
                                attempt.timeoutNs / 1e9,
                                remainingNs / 1e9));
            }
        }
    }

    private void checkRepeats(ClientRequest request) {
        Effect effect = request.order.requestClass.effect();
        if (effect == Effect.IDEMPOTENT) {
            return;
        }
        Attempt first = null;
        for (Attempt attempt : request.attempts) {
            if (attempt.receivedAt == 0) {
                continue;
            }
            if (first != null && effect == Effect.AT_MOST_ONCE) {
                addViolation(
                        Rule.NOTHING_TWICE,
                        attempt.receivedAt,
                        request,
                        "an attempt at " + attempt.node + ", though the one at " + first.node + " may have run");
            } else if (first != null && !isRepeatDropped(request, first, attempt)) {
                addViolation(
                        Rule.NOTHING_TWICE,
                        attempt.receivedAt,
                        request,
                        "an attempt at " + attempt.node
                                + ", which does not drop a repeat of the one at " + first.node
                                + " or no longer does, and that one may have run");
            }
            first = first == null && attempt.mayHaveRun() ? attempt : first;
        }
        boolean isRetryHarmless = effect == Effect.DEDUPLICATED && request.order.requestClass.scope() == Scope.ALL;
        if (first != null
                && isRefused(request)
                && request.ending == ClientRequest.Ending.ANSWERED
                && !isRetryHarmless) {
            addViolation(
                    Rule.NOTHING_TWICE,
                    request.endedAt,
                    request,
                    "it was refused, though the attempt at " + first.node + " may have run");
        }
    }

    private boolean isRepeatDropped(ClientRequest request, Attempt first, Attempt next) {
        boolean isWithinWindow =
                next.receivedAt - first.receivedAt <= (long) (request.order.requestClass.windowMs() * 1e6) + slackNs;
        return isWithinWindow && (request.order.requestClass.scope() == Scope.ALL || first.site.equals(next.site));
    }

    /**
     * Several effects of one order are a violation if its class is at-most-once. For a deduplicated class they are
     * only counted: a client's own retries may cause them.
     */
    private void checkEffects(Order order) {
        if (order.effects <= 1 || order.requestClass.effect() == Effect.IDEMPOTENT) {
            return;
        }
        if (order.requestClass.effect() == Effect.AT_MOST_ONCE) {
            ClientRequest last = order.requests.get(order.requests.size() - 1);
            addViolation(Rule.NOTHING_TWICE, last.endedAt, last, "it took effect " + order.effects + " times");
        } else {
            duplicateEffects++;
        }
    }

    private void checkDrains(ClientRequest request) {
        long graceNs = (long) (script.rules().drainGraceMs() * 1e6);
        for (Attempt attempt : request.attempts) {
            long notifiedAt = eventLog.notifiedLeavingAt(request.proxy, attempt.node, attempt.sentAt);
            if (notifiedAt != 0 && attempt.sentAt > notifiedAt + graceNs + slackNs) {
                addViolation(
                        Rule.DRAINS_KEPT,
                        attempt.sentAt,
                        request,
                        String.format(
                                Locale.ROOT,
                                "an attempt was sent to %s %.3f s after %s was notified that the node leaves",
                                attempt.node,
                                (attempt.sentAt - notifiedAt) / 1e9,
                                request.proxy));
            }
            long dueAt = eventLog.dueLeavingAt(request.proxy, attempt.node, attempt.sentAt);
            if (dueAt != 0 && attempt.sentAt > dueAt + graceNs + slackNs) {
                addViolation(
                        Rule.LISTS_HEARD,
                        attempt.sentAt,
                        request,
                        String.format(
                                Locale.ROOT,
                                "an attempt was sent to %s %.3f s after %s should have known that the node leaves",
                                attempt.node,
                                (attempt.sentAt - dueAt) / 1e9,
                                request.proxy));
            }
        }
    }
}
