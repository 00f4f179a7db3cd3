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
 * The keys that all members of a fleet share: one per line, in hexadecimal, 32 bytes or more; lines that start with #
 * are comments. Datagrams are sent with the first key, and accepted with either.
 */
public final class KeyFile {
    private static final int MAX_BYTES = 4096;

    private KeyFile() {}

    /** Reads a key file; an IOException gives the error with line and column. */
    public static List<byte[]> read(Path file) throws IOException {
        List<String> lines;
        try {
            if (Files.size(file) > MAX_BYTES) {
                throw new IOException(file + ": larger than " + MAX_BYTES + " bytes, not a key file");
            }
            lines = Files.readAllLines(file);
        } catch (NoSuchFileException e) {
            throw new IOException(file + ": there is no such file", e);
        } catch (CharacterCodingException e) {
            throw new IOException(file + ": not UTF-8 text", e);
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
                    throw syntaxError(file, i, column + c, "not a hexadecimal digit");
                }
            }
            if (line.length() % 2 != 0 || line.length() / 2 < Envelope.MIN_KEY_BYTES) {
                throw syntaxError(
                        file,
                        i,
                        column,
                        "key has " + line.length() + " hexadecimal digits, expected at least "
                                + 2 * Envelope.MIN_KEY_BYTES + ", an even number");
            }
            if (keys.size() == Envelope.MAX_KEYS) {
                throw syntaxError(file, i, column, "too many keys, at most 2 are allowed (the new and the old one)");
            }
            keys.add(HexFormat.of().parseHex(line));
        }
        if (keys.isEmpty()) {
            throw new IOException(file + ": contains no key");
        }
        return keys;
    }

    private static IOException syntaxError(Path file, int line, int column, String problem) {
        return new IOException(file + ":" + (line + 1) + ":" + column + ": " + problem);
    }
}
