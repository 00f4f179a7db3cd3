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
 * Judges a day by what was observed from outside the proxies: the rules, the service, the script's
 * expectations. Used for days in virtual time and live ones; live, times are known less exactly.
 */
public final class Judge {
    private static final int WORST_WINDOW_S = 10;
    /** A proxy has to detect within this time that a client has left (the operators' page). */
    private static final long MAX_LEAVE_DELAY_NS = 100_000_000L;

    /** How much more time an attempt may be given than its client has left (the operators' page). */
    private static final long MAX_EXTRA_TIME_NS = 150_000_000L;

    private static final long SECOND_NS = 1_000_000_000L;

    private final Script script;
    private final EventLog eventLog;
    private final long slackNs;
    private final List<RuleViolation> broken = new ArrayList<>();
    /** The service of the ten seconds that start at each second. */
    private final List<Double> windowServices = new ArrayList<>();

    private int duplicateEffects;

    private Judge(Script script, EventLog eventLog, long slackNs) {
        this.script = script;
        this.eventLog = eventLog;
        this.slackNs = slackNs;
    }

    /** Judges a day; slackNs is how far an observed time may be from the true one. */
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
                .forEach((node, at) -> broken.add(new RuleViolation(
                        Rule.COLD_SPARED,
                        at,
                        node + " was sent more than " + script.rules().tipMultiple() + " times its capacity for "
                                + script.rules().fallS() + " s during its cold start, and fell over",
                        null)));
        eventLog.crashes().forEach(c -> broken.add(new RuleViolation(Rule.ONE_ANSWER, c.at(), c.description(), null)));
        eventLog.servedMalformedRequests()
                .forEach(text -> broken.add(new RuleViolation(
                        Rule.ONE_ANSWER,
                        0,
                        "a malformed request was served: "
                                + text.lines().findFirst().orElse(""),
                        null)));
        if (eventLog.unansweredMisbehavingClients() > 0) {
            broken.add(new RuleViolation(
                    Rule.ONE_ANSWER,
                    0,
                    eventLog.unansweredMisbehavingClients() + " of " + eventLog.misbehavingClientCount()
                            + " clients that sent a malformed request got neither an error nor a close within 3 s",
                    null));
        }
        if (script.peers() != null) {
            broken.addAll(FleetJudge.judge(script, eventLog, slackNs));
        }
        double service = service(eventLog.orders());
        int worstFrom = worstFrom();
        double worst = worstFrom < 0 ? service : windowServices.get(worstFrom);
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
        broken.sort(Comparator.comparingLong(RuleViolation::atNs));
        return new Verdict(
                List.copyOf(broken),
                service,
                worst,
                Math.max(0, worstFrom) * SECOND_NS,
                worstShare,
                worstClass,
                counts(),
                eventLog.orders().size(),
                duplicateEffects);
    }

    /** The start, in s, of the ten seconds with the lowest service; -1 on a shorter day. */
    private int worstFrom() {
        int seconds = (int) script.seconds();
        double[] requestedWorth = new double[seconds + 1];
        double[] servedWorth = new double[seconds + 1];
        for (Order o : eventLog.orders()) {
            int at = (int) Math.max(0, Math.min(seconds, (o.at - eventLog.start()) / SECOND_NS));
            requestedWorth[at] += o.requestClass.worth();
            servedWorth[at] += o.isInTime() ? o.requestClass.worth() : 0;
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
            broken.add(new RuleViolation(
                    Rule.EXPECTED,
                    eventLog.start() + (long) (script.seconds() * 1e9),
                    String.format(Locale.ROOT, "%s is %.4f, the script expects %.4f", name, share, minimum),
                    null));
        }
    }

    private static double service(List<Order> orders) {
        double requestedWorth = 0;
        double servedWorth = 0;
        for (Order o : orders) {
            requestedWorth += o.requestClass.worth();
            servedWorth += o.isInTime() ? o.requestClass.worth() : 0;
        }
        return requestedWorth == 0 ? 1 : servedWorth / requestedWorth;
    }

    private Map<String, Integer> counts() {
        Map<String, Integer> counts = new LinkedHashMap<>();
        for (String name : List.of("served", "late", "refused", "failed", "given up", "left", "closed", "not taken")) {
            counts.put(name, 0);
        }
        for (Order o : eventLog.orders()) {
            for (ClientRequest t : o.requests) {
                counts.merge(endingName(t), 1, Integer::sum);
            }
        }
        return counts;
    }

    /** The name of a try's ending in counts and reports. */
    public static String endingName(ClientRequest t) {
        return switch (t.ending) {
            case ANSWERED -> t.status == 200
                    ? t.endedAt <= t.order.at + (long) (t.order.requestClass.promiseMs() * 1e6) ? "served" : "late"
                    : isRefused(t) ? "refused" : "failed";
            case GIVEN_UP -> "given up";
            case LEFT -> "left";
            case CLOSED -> "closed";
            case NOT_TAKEN -> "not taken";
            default -> "open";
        };
    }

    private static boolean isRefused(ClientRequest t) {
        return t.status == 429 || t.status == 503;
    }

    private void broken(Rule rule, long at, ClientRequest t, String description) {
        broken.add(new RuleViolation(rule, at, description, t));
    }

    // ---- the rules ----

    private void checkFinalResponse(ClientRequest t) {
        if (t.status == 200 && t.attempts.stream().noneMatch(a -> a.startedAt != 0)) {
            broken(Rule.ONE_ANSWER, t.endedAt, t, "it was served, but no node had processed it");
        }
        if (t.responseError != null) {
            broken(Rule.ONE_ANSWER, t.endedAt, t, t.responseError);
        }
        if (t.sentAt != 0 && !eventLog.disrupted(t.proxy, t.sentAt, t.endedAt)) {
            if (t.ending == ClientRequest.Ending.GIVEN_UP) {
                broken(Rule.ONE_ANSWER, t.endedAt, t, "it had no final answer when its time was up");
            } else if (t.ending == ClientRequest.Ending.CLOSED && !t.attempts.isEmpty()) {
                broken(Rule.ONE_ANSWER, t.endedAt, t, "its connection was closed with no final answer");
            } else if (t.ending == ClientRequest.Ending.OPEN) {
                broken(Rule.ONE_ANSWER, t.deadline, t, "it was still open at the end of the day");
            }
        }
        if (t.ending == ClientRequest.Ending.ANSWERED) {
            for (Attempt a : t.attempts) {
                if (a.sentAt > t.respondedAt + slackNs) {
                    broken(
                            Rule.ONE_ANSWER,
                            a.sentAt,
                            t,
                            "an attempt was sent to " + a.node + " after its final answer");
                }
            }
        }
    }

    private void checkLeftClient(ClientRequest t) {
        for (Attempt a : t.attempts) {
            if (t.ending == ClientRequest.Ending.LEFT && a.sentAt > t.endedAt + MAX_LEAVE_DELAY_NS + slackNs) {
                broken(
                        Rule.LEFT_ALONE,
                        a.sentAt,
                        t,
                        String.format(
                                Locale.ROOT,
                                "an attempt was sent to %s %.3f s after its client had left",
                                a.node,
                                (a.sentAt - t.endedAt) / 1e9));
            }
        }
    }

    /** A proxy that does not know how long a request has waited gives its backend more time than the client has. */
    private void checkTimeGiven(ClientRequest t) {
        for (Attempt a : t.attempts) {
            long leftNs = t.deadline - a.sentAt;
            if (a.timeoutNs != Long.MAX_VALUE && a.timeoutNs > leftNs + MAX_EXTRA_TIME_NS + slackNs) {
                broken(
                        Rule.TIME_TOLD,
                        a.sentAt,
                        t,
                        String.format(
                                Locale.ROOT,
                                "the attempt at %s was given %.3f s when its client had %.3f s left",
                                a.node,
                                a.timeoutNs / 1e9,
                                leftNs / 1e9));
            }
        }
    }

    private void checkRepeats(ClientRequest t) {
        Effect effect = t.order.requestClass.effect();
        if (effect == Effect.IDEMPOTENT) {
            return;
        }
        Attempt first = null;
        for (Attempt a : t.attempts) {
            if (a.receivedAt == 0) {
                continue;
            }
            if (first != null && effect == Effect.AT_MOST_ONCE) {
                broken(
                        Rule.NOTHING_TWICE,
                        a.receivedAt,
                        t,
                        "an attempt at " + a.node + ", though the one at " + first.node + " may have run");
            } else if (first != null && !isRepeatDropped(t, first, a)) {
                broken(
                        Rule.NOTHING_TWICE,
                        a.receivedAt,
                        t,
                        "an attempt at " + a.node
                                + ", which does not drop a repeat of the one at " + first.node
                                + " or no longer does, and that one may have run");
            }
            first = first == null && a.mayHaveRun() ? a : first;
        }
        boolean isRetryHarmless = effect == Effect.DEDUPLICATED && t.order.requestClass.scope() == Scope.ALL;
        if (first != null && isRefused(t) && t.ending == ClientRequest.Ending.ANSWERED && !isRetryHarmless) {
            broken(
                    Rule.NOTHING_TWICE,
                    t.endedAt,
                    t,
                    "it was refused, though the attempt at " + first.node + " may have run");
        }
    }

    private boolean isRepeatDropped(ClientRequest t, Attempt first, Attempt next) {
        boolean isWithinWindow =
                next.receivedAt - first.receivedAt <= (long) (t.order.requestClass.windowMs() * 1e6) + slackNs;
        return isWithinWindow && (t.order.requestClass.scope() == Scope.ALL || first.site.equals(next.site));
    }

    /** Repeated effects: a violation for a request without retries; by a client's own retries they are counted. */
    private void checkEffects(Order o) {
        if (o.effects <= 1 || o.requestClass.effect() == Effect.IDEMPOTENT) {
            return;
        }
        if (o.requestClass.effect() == Effect.AT_MOST_ONCE) {
            ClientRequest last = o.requests.get(o.requests.size() - 1);
            broken(Rule.NOTHING_TWICE, last.endedAt, last, "it took effect " + o.effects + " times");
        } else {
            duplicateEffects++;
        }
    }

    private void checkDrains(ClientRequest t) {
        long graceNs = (long) (script.rules().drainGraceMs() * 1e6);
        for (Attempt a : t.attempts) {
            long notifiedAt = eventLog.notifiedLeavingAt(t.proxy, a.node, a.sentAt);
            if (notifiedAt != 0 && a.sentAt > notifiedAt + graceNs + slackNs) {
                broken(
                        Rule.DRAINS_KEPT,
                        a.sentAt,
                        t,
                        String.format(
                                Locale.ROOT,
                                "an attempt was sent to %s %.3f s after %s was told that it leaves",
                                a.node,
                                (a.sentAt - notifiedAt) / 1e9,
                                t.proxy));
            }
            long dueAt = eventLog.dueLeavingAt(t.proxy, a.node, a.sentAt);
            if (dueAt != 0 && a.sentAt > dueAt + graceNs + slackNs) {
                broken(
                        Rule.LISTS_HEARD,
                        a.sentAt,
                        t,
                        String.format(
                                Locale.ROOT,
                                "an attempt was sent to %s %.3f s after %s had to know that it leaves",
                                a.node,
                                (a.sentAt - dueAt) / 1e9,
                                t.proxy));
            }
        }
    }
}
