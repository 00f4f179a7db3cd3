package gullspar.versions;

/** A version with its text. */
public record Document(Version version, String text) {
    /** Characters of the longest text; a longer one is refused by the primary. */
    public static final int MAX_CHARS = 8 << 20;

    /** The two together; a {@link MismatchException} if the text is not that version's. */
    public static Document verified(Version version, String text) throws MismatchException {
        if (!Checksum.of(text).equals(version.text())) {
            throw new MismatchException("the text does not have the checksum of version " + version);
        }
        return new Document(version, text);
    }
}
