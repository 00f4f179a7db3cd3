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
 * The envelope of a message in a datagram: version, key id, and HMAC-SHA256 (RFC 2104) of the whole, truncated to 128
 * bits. Datagrams are sealed with the first key and accepted with any, so that a key can be replaced in three steps.
 * Not thread-safe.
 */
public final class Envelope {
    /** The only version that is accepted. */
    public static final byte VERSION = 1;

    private static final String HMAC = "HmacSHA256";
    /** Length of the key id. */
    private static final int KEY_BYTES = 4;
    /** Length of the truncated HMAC. */
    private static final int MAC_BYTES = 16;
    /** The version and the key id. */
    private static final int HEADER_BYTES = 1 + KEY_BYTES;
    /** Everything before the message. */
    private static final int PREFIX_BYTES = HEADER_BYTES + MAC_BYTES;
    /** Shorter keys weaken the HMAC: RFC 2104, section 3, requires the length of the hash. */
    public static final int MIN_KEY_BYTES = 32;
    /** The maximum number of keys: the new and the old one during a replacement. */
    public static final int MAX_KEYS = 2;

    /** Why a datagram is dropped. */
    public enum Refusal {
        /** Shorter than the envelope, or longer than the maximum. */
        SIZE,
        /** Another version of the envelope. */
        VERSION,
        /** Sealed with an unknown key. */
        KEY,
        /** Wrong authentication code: modified, or forged without the key. */
        CODE
    }

    private record Key(byte[] id, Mac mac) {}

    private final List<Key> keys = new ArrayList<>();

    /** Takes one or two keys of 32 bytes or more each. */
    public Envelope(List<byte[]> secrets) {
        if (secrets.isEmpty() || secrets.size() > MAX_KEYS) {
            throw new IllegalArgumentException(secrets.size() + " keys, expected one or two");
        }
        for (byte[] secret : secrets) {
            if (secret.length < MIN_KEY_BYTES) {
                throw new IllegalArgumentException(
                        "key has " + secret.length + " bytes, expected at least " + MIN_KEY_BYTES);
            }
            keys.add(key(secret));
        }
    }

    private static Key key(byte[] secret) {
        try {
            Mac mac = Mac.getInstance(HMAC);
            mac.init(new SecretKeySpec(secret, HMAC));
            byte[] id = new byte[KEY_BYTES];
            // The key id is sent in clear: an HMAC of a fixed text does not reveal the key.
            System.arraycopy(mac.doFinal("which key".getBytes(StandardCharsets.US_ASCII)), 0, id, 0, KEY_BYTES);
            return new Key(id, mac);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this runtime has no " + HMAC, e);
        }
    }

    /** Wraps a message into a datagram. */
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

    /** Returns why a datagram is to be dropped; null if it is valid: its message starts at {@link #messageOffset}. */
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

    /** Offset of the message in a datagram. */
    public static int messageOffset() {
        return PREFIX_BYTES;
    }
}
