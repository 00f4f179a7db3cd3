package gullspar.proxy.client;

import gullspar.decide.Balancer.Effect;
import gullspar.decide.Balancer.Profile;
import gullspar.proxy.config.Classes.RequestClass;
import gullspar.proxy.config.Config;
import gullspar.proxy.config.Fnv;
import gullspar.proxy.http.Message;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.cookie.Cookie;
import io.netty.handler.codec.http.cookie.ServerCookieDecoder;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The parameters of a request for the decision module. tenant: its index in the configuration; key: the routing key,
 * 0 for none; workHintNs: the expected work, 0 if unknown; isRepeat: the client marked the request as a retry.
 */
public record RequestParameters(
        RequestClass requestClass, int tenant, long key, long timeoutNs, long workHintNs, boolean isRepeat) {
    /** Requests with a longer timeout are rejected: the client must have made a mistake. */
    private static final double MAX_TIMEOUT_S = 3600;
    /** Ids and keys: visible ASCII that any backend can read, of bounded length. */
    private static final Pattern NAME = Pattern.compile("[!-~]{1,128}");

    private static final Pattern TARGET = Pattern.compile("/[!-~]*");
    private static final Pattern SECONDS = Pattern.compile("[0-9]{1,6}(\\.[0-9]{0,12})?");

    /** Validates a request of a class; returns the error, or null if it is valid. */
    static String validationError(Message message, Profile profile) {
        if (!TARGET.matcher(message.uri()).matches()) {
            return "a target with odd characters";
        }
        if (!hasSingleValue(message, "Request-Id", NAME)) {
            return "no Request-Id, or an odd one, or several";
        }
        if (timeoutNs(message.headers()) <= 0) {
            return "no sensible Request-Timeout";
        }
        boolean keyed = message.headers().contains("Idempotency-Key");
        if (keyed && !hasSingleValue(message, "Idempotency-Key", NAME)) {
            return "an odd Idempotency-Key, or several";
        }
        if (profile.effect() == Effect.DEDUPLICATED && !keyed || profile.effect() == Effect.AT_MOST_ONCE && keyed) {
            return keyed ? "this class takes no Idempotency-Key" : "no Idempotency-Key";
        }
        return profile.effect() == Effect.IDEMPOTENT && message.hasBody() ? "a body" : null;
    }

    private static boolean hasSingleValue(Message message, String name, Pattern form) {
        return hasSingleValue(message.headers(), name, form);
    }

    private static boolean hasSingleValue(HttpHeaders headers, String name, Pattern form) {
        List<String> values = headers.getAll(name);
        return values.size() == 1 && form.matcher(values.get(0)).matches();
    }

    /** How long the client waits, in ns; 0 if the timeout is missing or invalid. */
    static long timeoutNs(HttpHeaders headers) {
        if (!hasSingleValue(headers, "Request-Timeout", SECONDS)) {
            return 0;
        }
        double seconds = Double.parseDouble(headers.get("Request-Timeout"));
        return seconds > 0 && seconds <= MAX_TIMEOUT_S ? (long) (seconds * 1e9) : 0;
    }

    static RequestParameters of(Message message, RequestClass requestClass, Config config) {
        return new RequestParameters(
                requestClass,
                Math.max(0, config.tenants().indexOf(message.headers().get("Tenant", ""))),
                key(message.headers().get(HttpHeaderNames.COOKIE)),
                timeoutNs(message.headers()),
                parseHintNs(message),
                "1".equals(message.headers().get("Client-Retry")));
    }

    /** Converts the hint, in microseconds; returns 0 if it is missing or invalid. */
    private static long parseHintNs(Message message) {
        return hasSingleValue(message, "Work-Hint", SECONDS)
                ? (long) (Double.parseDouble(message.headers().get("Work-Hint")) * 1000)
                : 0;
    }

    /** The routing key, a hash of the session cookie; 0 means no key, and no key hashes to it. */
    public static long key(String cookies) {
        if (cookies != null) {
            for (Cookie c : ServerCookieDecoder.LAX.decode(cookies)) {
                if (c.name().equals("sid")) {
                    long key = Fnv.hash(c.value());
                    return key == 0 ? 1 : key;
                }
            }
        }
        return 0;
    }
}
