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
 * Records the inputs and the decisions of the decision modules, one canonical line each, in the order of
 * their occurrence, and the SHA-256 of all lines. A line holds the time in ns from the start, the proxy
 * process, the event and its values. The names of decisions begin with a capital letter.
 */
public final class DecisionLog {
    private final LongSupplier elapsedNs;
    private final IntFunction<String> nodeNames;
    private final MessageDigest digest;
    private final Writer writer;
    private long lineCount;

    /**
     * Creates a log.
     *
     * @param elapsedNs the time since the start, in ns
     * @param nodeNames maps the module's node numbers to names
     * @param writer receives the lines; null to compute the hash only
     */
    public DecisionLog(LongSupplier elapsedNs, IntFunction<String> nodeNames, Writer writer) {
        this.elapsedNs = elapsedNs;
        this.nodeNames = nodeNames;
        this.writer = writer;
        try {
            this.digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private void appendLine(String process, String event) {
        String line = elapsedNs.getAsLong() + " " + process + " " + event + "\n";
        digest.update(line.getBytes(StandardCharsets.UTF_8));
        lineCount++;
        if (writer != null) {
            try {
                writer.write(line);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    public long lineCount() {
        return lineCount;
    }

    /** Returns the SHA-256 of all lines, in hexadecimal. To be called once, at the end: it resets the digest. */
    public String hash() {
        return HexFormat.of().formatHex(digest.digest());
    }

    /** Returns a factory whose modules log their inputs and decisions here. */
    public Balancer.Factory wrap(String process, Balancer.Factory factory) {
        return (settings, seed, now, out) ->
                new LoggingBalancer(process, factory.create(settings, seed, now, new LoggingActions(process, out)));
    }

    private static String formatNumber(double value) {
        return Double.isNaN(value) ? "-" : Double.toString(value);
    }

    /** Logs the inputs of a module and passes them on. */
    private final class LoggingBalancer implements Balancer {
        private final String process;
        private final Balancer delegate;

        LoggingBalancer(String process, Balancer delegate) {
            this.process = process;
            this.delegate = delegate;
        }

        @Override
        public void onServerList(long now, ListKind kind, long version, List<ListedServer> members) {
            StringBuilder event = new StringBuilder("list ")
                    .append(kind.name().toLowerCase(Locale.ROOT))
                    .append(" v=")
                    .append(version);
            for (ListedServer member : members) {
                event.append(' ')
                        .append(nodeNames.apply(member.id()))
                        .append(':')
                        .append(member.state().name().toLowerCase(Locale.ROOT))
                        .append(':')
                        .append(member.weight())
                        .append(':')
                        .append(member.startedAtNs());
            }
            appendLine(process, event.toString());
            delegate.onServerList(now, kind, version, members);
        }

        @Override
        public void onRequest(long now, Request request) {
            appendLine(
                    process,
                    "request t=" + request.ticket() + " class=" + request.profile() + " key="
                            + Long.toHexString(request.key()) + " left=" + request.timeLeftNs()
                            + (request.isRepeat() ? " repeat" : ""));
            delegate.onRequest(now, request);
        }

        @Override
        public void onStreamStarted(long now, int ticket, int attempt, int server, long elapsedNs) {
            appendLine(process, "begun t=" + ticket + " a=" + attempt + " n=" + nodeNames.apply(server));
            delegate.onStreamStarted(now, ticket, attempt, server, elapsedNs);
        }

        @Override
        public void onOutcome(long now, Outcome outcome) {
            Report report = outcome.report();
            appendLine(
                    process,
                    "outcome t=" + outcome.ticket() + " a=" + outcome.attempt() + " n="
                            + nodeNames.apply(outcome.server()) + " "
                            + outcome.status().name().toLowerCase(Locale.ROOT) + " ns=" + outcome.elapsedNs()
                            + (outcome.isFinal() ? " over" : "")
                            + (report == null
                                    ? ""
                                    : " inflight=" + formatNumber(report.inflight()) + " util="
                                            + formatNumber(report.utilization())
                                            + " eps="
                                            + formatNumber(report.errorsPerSecond())));
            delegate.onOutcome(now, outcome);
        }

        @Override
        public void onResponseOpened(long now, int ticket, int server) {
            appendLine(process, "response open t=" + ticket + " n=" + nodeNames.apply(server));
            delegate.onResponseOpened(now, ticket, server);
        }

        @Override
        public void onResponseClosed(long now, int ticket) {
            appendLine(process, "response closed t=" + ticket);
            delegate.onResponseClosed(now, ticket);
        }

        @Override
        public void onClientDisconnected(long now, int ticket) {
            appendLine(process, "withdrawn t=" + ticket);
            delegate.onClientDisconnected(now, ticket);
        }

        @Override
        public void onTimer(long now, long token) {
            delegate.onTimer(now, token);
        }
    }

    /** Logs the decisions of a module and passes them on. */
    private final class LoggingActions implements Actions {
        private final String process;
        private final Actions delegate;
        private final Map<Integer, Integer> attemptsByTicket = new HashMap<>();

        LoggingActions(String process, Actions delegate) {
            this.process = process;
            this.delegate = delegate;
        }

        @Override
        public void send(int ticket, int server, long timeoutNs) {
            logSend(ticket, server, timeoutNs, "");
            delegate.send(ticket, server, timeoutNs);
        }

        @Override
        public void send(int ticket, int server, long timeoutNs, long withinNs) {
            logSend(ticket, server, timeoutNs, withinNs == Long.MAX_VALUE ? "" : " within=" + withinNs);
            delegate.send(ticket, server, timeoutNs, withinNs);
        }

        private void logSend(int ticket, int server, long timeoutNs, String suffix) {
            int attempt = attemptsByTicket.merge(ticket, 1, Integer::sum) - 1;
            appendLine(
                    process,
                    "Send t=" + ticket + " a=" + attempt + " n=" + nodeNames.apply(server) + " timeout=" + timeoutNs
                            + suffix);
        }

        @Override
        public void refuse(int ticket, long retryInNs) {
            appendLine(process, "Refuse t=" + ticket + " retry=" + retryInNs);
            delegate.refuse(ticket, retryInNs);
        }

        @Override
        public void fail(int ticket) {
            appendLine(process, "Fail t=" + ticket);
            delegate.fail(ticket);
        }

        @Override
        public void cancel(int ticket, int attempt) {
            appendLine(process, "Cancel t=" + ticket + " a=" + attempt);
            delegate.cancel(ticket, attempt);
        }

        @Override
        public void setTimer(long at, long token) {
            delegate.setTimer(at, token);
        }

        @Override
        public void probe(int server) {
            delegate.probe(server);
        }

        @Override
        public void closeIdleConnections(int server) {
            delegate.closeIdleConnections(server);
        }

        @Override
        public void sendToPeer(int peer, byte[] message) {
            delegate.sendToPeer(peer, message);
        }

        @Override
        public void log(String line) {
            delegate.log(line);
        }

        @Override
        public void subscribe(boolean on) {
            delegate.subscribe(on);
        }

        @Override
        public void requestList() {
            delegate.requestList();
        }
    }
}
