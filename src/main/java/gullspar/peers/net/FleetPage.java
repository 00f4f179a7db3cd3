package gullspar.peers.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import gullspar.peers.Counters;
import gullspar.peers.Facts;
import gullspar.peers.Statement;
import gullspar.peers.View;
import gullspar.peers.wire.Envelope;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.HexFormat;
import java.util.Locale;
import java.util.Map;

/** Renders the view of the fleet as JSON for operators (docs/fleet.md describes the fields). */
final class FleetPage {
    private static final JsonFactory JSON = new JsonFactory();

    private FleetPage() {}

    static String of(View v, Counters c, UdpTransport transport) {
        StringWriter text = new StringWriter();
        try (JsonGenerator g = JSON.createGenerator(text)) {
            g.writeStartObject();
            g.writeStringField("name", v.self().id().name());
            g.writeStringField("life", life(v.self().id().life()));
            g.writeBooleanField("cut_off", v.cutOff());
            g.writeNumberField("seen", v.seen());
            g.writeNumberField("known", v.known());
            g.writeBooleanField("settled", v.settled());
            g.writeNumberField("health", v.health());
            g.writeArrayFieldStart("members");
            member(g, v.self(), true);
            for (View.Member m : v.members()) {
                member(g, m, false);
            }
            g.writeEndArray();
            g.writeObjectFieldStart("datagrams");
            g.writeNumberField("sent", c.sent());
            g.writeNumberField("sent_bytes", c.sentBytes());
            g.writeNumberField("received", c.received());
            g.writeNumberField("withheld", c.withheld());
            g.writeNumberField("unsent", transport.unsent());
            g.writeNumberField("repeated", c.duplicates());
            g.writeNumberField("strangers", c.unknownSenders());
            g.writeNumberField("malformed", transport.malformed());
            for (Map.Entry<Envelope.Refusal, Long> r : transport.refused().entrySet()) {
                g.writeNumberField("refused_" + r.getKey().name().toLowerCase(Locale.ROOT), r.getValue());
            }
            g.writeEndObject();
            g.writeNumberField("objections", c.refutations());
            g.writeNumberField("stood_still", c.stalls());
            g.writeNumberField("members_refused", c.refusedMembers());
            g.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // a StringWriter does not fail
        }
        return text.toString();
    }

    private static void member(JsonGenerator g, View.Member m, boolean self) throws IOException {
        Statement s = m.statement();
        g.writeStartObject();
        g.writeStringField("name", m.id().name());
        g.writeStringField("life", life(m.id().life()));
        if (self) {
            g.writeBooleanField("self", true);
        }
        g.writeStringField("status", m.status().name().toLowerCase(Locale.ROOT));
        g.writeNumberField("since_s", m.statusAgeMs() / 1e3);
        if (!m.reason().isEmpty()) {
            g.writeStringField("why", m.reason());
        }
        g.writeStringField("phase", s.phase().name().toLowerCase(Locale.ROOT));
        g.writeStringField("address", s.address());
        g.writeStringField("zone", s.zone());
        g.writeStringField("version", s.version());
        g.writeStringField("config", s.config());
        g.writeNumberField("up_s", m.upMs() / 1e3);
        g.writeNumberField("incarnation", m.incarnation());
        g.writeNumberField("told_s", m.statementAgeMs() / 1e3);
        g.writeNumberField("requests_per_s", s.stats().requestsPerSecond());
        g.writeNumberField("refused_per_s", s.stats().refusedPerSecond());
        g.writeNumberField("pending", s.stats().pending());
        g.writeNumberField("answered_s", m.lastAckAgeMs() < 0 ? -1 : m.lastAckAgeMs() / 1e3);
        g.writeBooleanField("agrees", m.agrees());
        g.writeBooleanField("twin", m.twin());
        g.writeBooleanField("only_by_others", m.indirectOnly());
        g.writeObjectFieldStart("facts");
        for (Map.Entry<String, Facts.Fact> f : s.facts().all().entrySet()) {
            g.writeObjectFieldStart(f.getKey());
            g.writeNumberField("version", f.getValue().version());
            g.writeStringField("bytes", HexFormat.of().formatHex(f.getValue().value()));
            g.writeEndObject();
        }
        g.writeEndObject();
        g.writeEndObject();
    }

    private static String life(long life) {
        return HexFormat.of().toHexDigits(life);
    }
}
