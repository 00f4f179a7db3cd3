package gullspar.peers.net;

import gullspar.peers.wire.Envelope;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * The keys that all members of a fleet share: a line each, in hexadecimal, 32 bytes or more; lines that
 * begin with # are remarks. What this process sends is made with the first, what comes is taken by either.
 */
public final class KeyFile {
    private static final int MAX_BYTES = 4096;

    private KeyFile() {}

    /** Reads one; an IOException that says what is wrong, and where. */
    public static List<byte[]> read(Path file) throws IOException {
        List<String> lines;
        try {
            if (Files.size(file) > MAX_BYTES) {
                throw new IOException(file + ": has more than " + MAX_BYTES + " bytes, and is no key file");
            }
            lines = Files.readAllLines(file);
        } catch (NoSuchFileException e) {
            throw new IOException(file + ": there is no such file", e);
        } catch (CharacterCodingException e) {
            throw new IOException(file + ": is not UTF-8 text", e);
        }
        List<byte[]> keys = new ArrayList<>();
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).strip();
            if (line.isEmpty() || line.startsWith("#")) {
                continue;
            }
            int column = lines.get(i).indexOf(line) + 1;
            for (int c = 0; c < line.length(); c++) {
                if (!HexFormat.isHexDigit(line.charAt(c))) {
                    throw syntaxError(file, i, column + c, "is no hexadecimal digit");
                }
            }
            if (line.length() % 2 != 0 || line.length() / 2 < Envelope.MIN_KEY_BYTES) {
                throw syntaxError(
                        file,
                        i,
                        column,
                        "a key of " + line.length() + " digits, not " + 2 * Envelope.MIN_KEY_BYTES
                                + " or more, in pairs");
            }
            if (keys.size() == Envelope.MAX_KEYS) {
                throw syntaxError(file, i, column, "a third key: two at one time are enough to replace one");
            }
            keys.add(HexFormat.of().parseHex(line));
        }
        if (keys.isEmpty()) {
            throw new IOException(file + ": holds no key");
        }
        return keys;
    }

    private static IOException syntaxError(Path file, int line, int column, String problem) {
        return new IOException(file + ":" + (line + 1) + ":" + column + ": " + problem);
    }
}
