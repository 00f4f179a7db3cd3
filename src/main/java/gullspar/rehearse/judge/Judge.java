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
 * Judges a day by what was seen from outside the proxies: the four rules, the service, the script's
 * expectations. The same for a day in virtual time and a live one; live, times are known less exactly.
 */
public final class Judge {
    private static final int WORST_S = 10;
    /** A client that leaves is to be heard of within so long (the operators' page). */
    private static final long LEFT_NS = 100_000_000L;

    /** An attempt may be given so much more than its client has left (the operators' page). */
    private static final long TOLD_NS = 150_000_000L;

    private static final long STEP_NS = 1_000_000_000L;

    private final Script script;
    private final EventLog eventLog;
    private final long slackNs;
    private final List<Broken> broken = new ArrayList<>();
    /** Service of the ten seconds from each second on. */
    private final List<Double> windows = new ArrayList<>();

    private int twice;

    private Judge(Script script, EventLog eventLog, long slackNs) {
        this.script = script;
        this.eventLog = eventLog;
        this.slackNs = slackNs;
    }

    /** slackNs: how far a time that was seen may lie from the true one. */
    public static Verdict judge(Script script, EventLog eventLog, long slackNs) {
        return new Judge(script, eventLog, slackNs).verdict();
    }

    private Verdict verdict() {
        eventLog.orders().forEach(o -> {
            o.requests.forEach(this::oneAnswer);
            o.requests.forEach(this::leftAlone);
            o.requests.forEach(this::timeTold);
            o.requests.forEach(this::nothingTwice);
            o.requests.forEach(this::drainsKept);
            effects(o);
        });
        eventLog.collapsedAt()
                .forEach((node, at) -> broken.add(new Broken(
                        Rule.COLD_SPARED,
                        at,
                        node + " was sent more than " + script.rules().tipMultiple() + " times what it could do for "
                                + script.rules().fallS() + " s while it was cold, and fell over",
                        null)));
        eventLog.crashes().forEach(c -> broken.add(new Broken(Rule.ONE_ANSWER, c.at(), c.description(), null)));
        eventLog.servedMalformedRequests()
                .forEach(text -> broken.add(new Broken(
                        Rule.ONE_ANSWER,
                        0,
                        "a request that makes no sense was served: "
                                + text.lines().findFirst().orElse(""),
                        null)));
        if (eventLog.unansweredMisbehavingClients() > 0) {
            broken.add(new Broken(
                    Rule.ONE_ANSWER,
                    0,
                    eventLog.unansweredMisbehavingClients() + " of " + eventLog.misbehavingClientCount()
                            + " clients that sent no sensible request got neither an error nor a close within 3 s",
                    null));
        }
        if (script.peers() != null) {
            broken.addAll(FleetJudge.judge(script, eventLog, slackNs));
        }
        double service = service(eventLog.orders());
        int worstFrom = worstFrom();
        double worst = worstFrom < 0 ? service : windows.get(worstFrom);
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
        expected("service", service);
        expected("worst_10s", worst);
        expected("worst_class", worstShare);
        broken.sort(Comparator.comparingLong(Broken::at));
        return new Verdict(
                List.copyOf(broken),
                service,
                worst,
                Math.max(0, worstFrom) * STEP_NS,
                worstShare,
                worstClass,
                counts(),
                eventLog.orders().size(),
                twice);
    }

    /** The second from which service was worst for ten; -1 on a day that is shorter. */
    private int worstFrom() {
        int seconds = (int) script.seconds();
        double[] asked = new double[seconds + 1];
        double[] served = new double[seconds + 1];
        for (Order o : eventLog.orders()) {
            int at = (int) Math.max(0, Math.min(seconds, (o.at - eventLog.start()) / STEP_NS));
            asked[at] += o.requestClass.worth();
            served[at] += o.isInTime() ? o.requestClass.worth() : 0;
        }
        int worst = -1;
        for (int from = 0; from + WORST_S <= seconds; from++) {
            double a = Arrays.stream(asked, from, from + WORST_S).sum();
            double s = Arrays.stream(served, from, from + WORST_S).sum();
            windows.add(a == 0 ? 1 : s / a);
            worst = worst < 0 || windows.get(from) < windows.get(worst) ? from : worst;
        }
        return worst;
    }

    private void expected(String name, double share) {
        Double least = script.expect().get(name);
        if (least != null && share < least) {
            broken.add(new Broken(
                    Rule.EXPECTED,
                    eventLog.start() + (long) (script.seconds() * 1e9),
                    String.format(Locale.ROOT, "%s is %.4f, the script expects %.4f", name, share, least),
                    null));
        }
    }

    private static double service(List<Order> orders) {
        double asked = 0;
        double served = 0;
        for (Order o : orders) {
            asked += o.requestClass.worth();
            served += o.isInTime() ? o.requestClass.worth() : 0;
        }
        return asked == 0 ? 1 : served / asked;
    }

    private Map<String, Integer> counts() {
        Map<String, Integer> counts = new LinkedHashMap<>();
        for (String name : List.of("served", "late", "refused", "failed", "given up", "left", "closed", "not taken")) {
            counts.put(name, 0);
        }
        for (Order o : eventLog.orders()) {
            for (ClientRequest t : o.requests) {
                counts.merge(ended(t), 1, Integer::sum);
            }
        }
        return counts;
    }

    /** How a try ended, in a word. */
    public static String ended(ClientRequest t) {
        return switch (t.ending) {
            case ANSWERED -> t.status == 200
                    ? t.endedAt <= t.order.at + (long) (t.order.requestClass.promiseMs() * 1e6) ? "served" : "late"
                    : refused(t) ? "refused" : "failed";
            case GIVEN_UP -> "given up";
            case LEFT -> "left";
            case CLOSED -> "closed";
            case NOT_TAKEN -> "not taken";
            default -> "open";
        };
    }

    private static boolean refused(ClientRequest t) {
        return t.status == 429 || t.status == 503;
    }

    private void broken(Rule rule, long at, ClientRequest t, String what) {
        broken.add(new Broken(rule, at, what, t));
    }

    // ---- the rules ----

    private void oneAnswer(ClientRequest t) {
        if (t.status == 200 && t.attempts.stream().noneMatch(a -> a.startedAt != 0)) {
            broken(Rule.ONE_ANSWER, t.endedAt, t, "it was served, and no node had worked on it");
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
                broken(Rule.ONE_ANSWER, t.deadline, t, "it was still open when the day was over");
            }
        }
        if (t.ending == ClientRequest.Ending.ANSWERED) {
            for (Attempt a : t.attempts) {
                if (a.sentAt > t.respondedAt + slackNs) {
                    broken(
                            Rule.ONE_ANSWER,
                            a.sentAt,
                            t,
                            "an attempt went out to " + a.node + " after its final answer");
                }
            }
        }
    }

    private void leftAlone(ClientRequest t) {
        for (Attempt a : t.attempts) {
            if (t.ending == ClientRequest.Ending.LEFT && a.sentAt > t.endedAt + LEFT_NS + slackNs) {
                broken(
                        Rule.LEFT_ALONE,
                        a.sentAt,
                        t,
                        String.format(
                                Locale.ROOT,
                                "an attempt went out to %s %.3f s after its client had left",
                                a.node,
                                (a.sentAt - t.endedAt) / 1e9));
            }
        }
    }

    /** A proxy that does not know how long a request has waited gives its backend time that nobody has. */
    private void timeTold(ClientRequest t) {
        for (Attempt a : t.attempts) {
            long left = t.deadline - a.sentAt;
            if (a.timeoutNs != Long.MAX_VALUE && a.timeoutNs > left + TOLD_NS + slackNs) {
                broken(
                        Rule.TIME_TOLD,
                        a.sentAt,
                        t,
                        String.format(
                                Locale.ROOT,
                                "the attempt at %s was given %.3f s when its client had %.3f s left",
                                a.node,
                                a.timeoutNs / 1e9,
                                left / 1e9));
            }
        }
    }

    private void nothingTwice(ClientRequest t) {
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
            } else if (first != null && !repeatIsDropped(t, first, a)) {
                broken(
                        Rule.NOTHING_TWICE,
                        a.receivedAt,
                        t,
                        "an attempt at " + a.node
                                + ", which does not drop a repeat of the one at " + first.node
                                + ", or not any more, and that may have run");
            }
            first = first == null && a.mayHaveRun() ? a : first;
        }
        boolean harmless = effect == Effect.DEDUPLICATED && t.order.requestClass.scope() == Scope.ALL;
        if (first != null && refused(t) && t.ending == ClientRequest.Ending.ANSWERED && !harmless) {
            broken(
                    Rule.NOTHING_TWICE,
                    t.endedAt,
                    t,
                    "it was refused, though the attempt at " + first.node + " may have run");
        }
    }

    private boolean repeatIsDropped(ClientRequest t, Attempt first, Attempt next) {
        boolean inTime = next.receivedAt - first.receivedAt <= (long) (t.order.requestClass.windowMs() * 1e6) + slackNs;
        return inTime && (t.order.requestClass.scope() == Scope.ALL || first.site.equals(next.site));
    }

    /** What ran more than once: by a proxy's doing it breaks the rule, by a client's own retry it is told. */
    private void effects(Order o) {
        if (o.effects <= 1 || o.requestClass.effect() == Effect.IDEMPOTENT) {
            return;
        }
        if (o.requestClass.effect() == Effect.AT_MOST_ONCE) {
            ClientRequest last = o.requests.get(o.requests.size() - 1);
            broken(Rule.NOTHING_TWICE, last.endedAt, last, "it took effect " + o.effects + " times");
        } else {
            twice++;
        }
    }

    private void drainsKept(ClientRequest t) {
        long grace = (long) (script.rules().drainGraceMs() * 1e6);
        for (Attempt a : t.attempts) {
            long told = eventLog.notifiedLeavingAt(t.proxy, a.node, a.sentAt);
            if (told != 0 && a.sentAt > told + grace + slackNs) {
                broken(
                        Rule.DRAINS_KEPT,
                        a.sentAt,
                        t,
                        String.format(
                                Locale.ROOT,
                                "an attempt went to %s %.3f s after %s was told that it leaves",
                                a.node,
                                (a.sentAt - told) / 1e9,
                                t.proxy));
            }
            long due = eventLog.dueLeavingAt(t.proxy, a.node, a.sentAt);
            if (due != 0 && a.sentAt > due + grace + slackNs) {
                broken(
                        Rule.LISTS_HEARD,
                        a.sentAt,
                        t,
                        String.format(
                                Locale.ROOT,
                                "an attempt went to %s %.3f s after %s had to know that it leaves",
                                a.node,
                                (a.sentAt - due) / 1e9,
                                t.proxy));
            }
        }
    }
}
