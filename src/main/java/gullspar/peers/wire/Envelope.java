package gullspar.peers.wire;

import gullspar.peers.Message;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * What stands round a message in a datagram: a version, which key it was made with, and HMAC-SHA256 (RFC
 * 2104) of the whole, cut to 128 bits. The first key makes; all are taken, so that a key can be replaced in
 * three steps. Not for several threads at once.
 */
public final class Envelope {
    /** Only this version is read. */
    public static final byte VERSION = 1;

    private static final String HMAC = "HmacSHA256";
    private static final int KEY_BYTES = 4,
            MAC_BYTES = 16,
            HEADER_BYTES = 1 + KEY_BYTES,
            PREFIX_BYTES = HEADER_BYTES + MAC_BYTES;
    /** Shorter keys are no protection (RFC 2104, section 3, asks for the length of the hash). */
    public static final int MIN_KEY_BYTES = 32;
    /** Keys at one time. */
    public static final int MAX_KEYS = 2;

    /** Why a datagram is not looked at. */
    public enum Refusal {
        /** Too short or too long for one of ours. */
        SIZE,
        /** Of another version of the envelope. */
        VERSION,
        /** Of a key that is not known here. */
        KEY,
        /** Changed on its way, or made by somebody without the key. */
        CODE
    }

    private record Key(byte[] id, Mac mac) {}

    private final List<Key> keys = new ArrayList<>();

    /** With one key or two, of 32 bytes or more each. */
    public Envelope(List<byte[]> secrets) {
        if (secrets.isEmpty() || secrets.size() > MAX_KEYS) {
            throw new IllegalArgumentException(secrets.size() + " keys, not one or two");
        }
        for (byte[] secret : secrets) {
            if (secret.length < MIN_KEY_BYTES) {
                throw new IllegalArgumentException("a key of " + secret.length + " bytes, not " + MIN_KEY_BYTES);
            }
            keys.add(key(secret));
        }
    }

    private static Key key(byte[] secret) {
        try {
            Mac mac = Mac.getInstance(HMAC);
            mac.init(new SecretKeySpec(secret, HMAC));
            byte[] id = new byte[KEY_BYTES];
            // Which key it is may be known to all: a digest under another use of the key tells nothing of it.
            System.arraycopy(mac.doFinal("which key".getBytes(StandardCharsets.US_ASCII)), 0, id, 0, KEY_BYTES);
            return new Key(id, mac);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this runtime has no " + HMAC, e);
        }
    }

    /** A datagram of a message. */
    public byte[] seal(byte[] message) {
        Key k = keys.get(0);
        byte[] out = new byte[PREFIX_BYTES + message.length];
        out[0] = VERSION;
        System.arraycopy(k.id, 0, out, 1, KEY_BYTES);
        System.arraycopy(message, 0, out, PREFIX_BYTES, message.length);
        System.arraycopy(hmac(k, out), 0, out, HEADER_BYTES, MAC_BYTES);
        return out;
    }

    private static byte[] hmac(Key k, byte[] datagram) {
        k.mac.update(datagram, 0, HEADER_BYTES);
        k.mac.update(datagram, PREFIX_BYTES, datagram.length - PREFIX_BYTES);
        return k.mac.doFinal();
    }

    /** Why it is not to be looked at; null if it is one of ours, whose message begins at {@link #front}. */
    public Refusal open(byte[] datagram) {
        if (datagram.length <= PREFIX_BYTES || datagram.length > Message.MAX_DATAGRAM_BYTES) {
            return Refusal.SIZE;
        }
        if (datagram[0] != VERSION) {
            return Refusal.VERSION;
        }
        for (Key k : keys) {
            if (Arrays.equals(k.id, 0, KEY_BYTES, datagram, 1, HEADER_BYTES)) {
                byte[] expected = Arrays.copyOf(hmac(k, datagram), MAC_BYTES);
                byte[] received = Arrays.copyOfRange(datagram, HEADER_BYTES, PREFIX_BYTES);
                return MessageDigest.isEqual(expected, received) ? null : Refusal.CODE;
            }
        }
        return Refusal.KEY;
    }

    /** Where the message begins in a datagram. */
    public static int messageOffset() {
        return PREFIX_BYTES;
    }
}
