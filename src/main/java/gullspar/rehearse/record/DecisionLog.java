package gullspar.rehearse.record;

import gullspar.decide.Balancer;
import gullspar.decide.Balancer.Actions;
import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.ListedServer;
import gullspar.decide.Balancer.Outcome;
import gullspar.decide.Balancer.Report;
import gullspar.decide.Balancer.Request;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntFunction;
import java.util.function.LongSupplier;

/**
 * What the modules were told and what they decided: one canonical line each, in the order in which it
 * happened, and the SHA-256 of all lines. A line is: time in ns from the start, proxy and its life, what, and
 * its figures. Decisions begin with a capital letter.
 */
public final class DecisionLog {
    private final LongSupplier sinceStart;
    private final IntFunction<String> nodes;
    private final MessageDigest digest;
    private final Writer to;
    private long lines;

    /** nodes names the nodes by the module's numbers; to may be null: only the hash is kept. */
    public DecisionLog(LongSupplier sinceStart, IntFunction<String> nodes, Writer to) {
        this.sinceStart = sinceStart;
        this.nodes = nodes;
        this.to = to;
        try {
            this.digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private void line(String who, String what) {
        String line = sinceStart.getAsLong() + " " + who + " " + what + "\n";
        digest.update(line.getBytes(StandardCharsets.UTF_8));
        lines++;
        if (to != null) {
            try {
                to.write(line);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    public long lines() {
        return lines;
    }

    /** The SHA-256 of all lines so far, in hexadecimal; to be asked for once, at the end. */
    public String hash() {
        return HexFormat.of().formatHex(digest.digest());
    }

    /** A factory whose modules write here what they hear and do. */
    public Balancer.Factory tap(String who, Balancer.Factory factory) {
        return (settings, seed, now, out) -> new Heard(who, factory.create(settings, seed, now, new Done(who, out)));
    }

    private static String figure(double d) {
        return Double.isNaN(d) ? "-" : Double.toString(d);
    }

    /** What a module is told, on its way in. */
    private final class Heard implements Balancer {
        private final String who;
        private final Balancer module;

        Heard(String who, Balancer module) {
            this.who = who;
            this.module = module;
        }

        @Override
        public void onServerList(long now, ListKind kind, long version, List<ListedServer> members) {
            StringBuilder s = new StringBuilder("list ")
                    .append(kind.name().toLowerCase(Locale.ROOT))
                    .append(" v=")
                    .append(version);
            for (ListedServer m : members) {
                s.append(' ')
                        .append(nodes.apply(m.id()))
                        .append(':')
                        .append(m.state().name().toLowerCase(Locale.ROOT))
                        .append(':')
                        .append(m.weight())
                        .append(':')
                        .append(m.startedAtNs());
            }
            line(who, s.toString());
            module.onServerList(now, kind, version, members);
        }

        @Override
        public void onRequest(long now, Request r) {
            line(
                    who,
                    "request t=" + r.ticket() + " class=" + r.profile() + " key=" + Long.toHexString(r.key()) + " left="
                            + r.timeLeftNs() + (r.isRepeat() ? " repeat" : ""));
            module.onRequest(now, r);
        }

        @Override
        public void onStreamStarted(long now, int ticket, int attempt, int server, long elapsedNs) {
            line(who, "begun t=" + ticket + " a=" + attempt + " n=" + nodes.apply(server));
            module.onStreamStarted(now, ticket, attempt, server, elapsedNs);
        }

        @Override
        public void onOutcome(long now, Outcome o) {
            Report r = o.report();
            line(
                    who,
                    "outcome t=" + o.ticket() + " a=" + o.attempt() + " n=" + nodes.apply(o.server()) + " "
                            + o.status().name().toLowerCase(Locale.ROOT) + " ns=" + o.elapsedNs()
                            + (o.isFinal() ? " over" : "")
                            + (r == null
                                    ? ""
                                    : " inflight=" + figure(r.inflight()) + " util=" + figure(r.utilization())
                                            + " eps="
                                            + figure(r.errorsPerSecond())));
            module.onOutcome(now, o);
        }

        @Override
        public void onClientDisconnected(long now, int ticket) {
            line(who, "withdrawn t=" + ticket);
            module.onClientDisconnected(now, ticket);
        }

        @Override
        public void onTimer(long now, long token) {
            module.onTimer(now, token);
        }
    }

    /** What a module does, on its way out. */
    private final class Done implements Actions {
        private final String who;
        private final Actions out;
        private final Map<Integer, Integer> attempts = new HashMap<>();

        Done(String who, Actions out) {
            this.who = who;
            this.out = out;
        }

        @Override
        public void send(int ticket, int server, long timeoutNs) {
            sends(ticket, server, timeoutNs, "");
            out.send(ticket, server, timeoutNs);
        }

        @Override
        public void send(int ticket, int server, long timeoutNs, long withinNs) {
            sends(ticket, server, timeoutNs, withinNs == Long.MAX_VALUE ? "" : " within=" + withinNs);
            out.send(ticket, server, timeoutNs, withinNs);
        }

        private void sends(int ticket, int server, long timeoutNs, String more) {
            int attempt = attempts.merge(ticket, 1, Integer::sum) - 1;
            line(
                    who,
                    "Send t=" + ticket + " a=" + attempt + " n=" + nodes.apply(server) + " timeout=" + timeoutNs
                            + more);
        }

        @Override
        public void refuse(int ticket, long retryInNs) {
            line(who, "Refuse t=" + ticket + " retry=" + retryInNs);
            out.refuse(ticket, retryInNs);
        }

        @Override
        public void fail(int ticket) {
            line(who, "Fail t=" + ticket);
            out.fail(ticket);
        }

        @Override
        public void cancel(int ticket, int attempt) {
            line(who, "Cancel t=" + ticket + " a=" + attempt);
            out.cancel(ticket, attempt);
        }

        @Override
        public void setTimer(long at, long token) {
            out.setTimer(at, token);
        }

        @Override
        public void probe(int server) {
            out.probe(server);
        }

        @Override
        public void closeIdleConnections(int server) {
            out.closeIdleConnections(server);
        }

        @Override
        public void sendToPeer(int peer, byte[] message) {
            out.sendToPeer(peer, message);
        }

        @Override
        public void log(String line) {
            out.log(line);
        }

        @Override
        public void subscribe(boolean on) {
            out.subscribe(on);
        }

        @Override
        public void requestList() {
            out.requestList();
        }
    }
}
