package gullspar.versions;

/** A version and its text. */
public record Document(Version version, String text) {
    /** The primary refuses longer texts. */
    public static final int MAX_CHARS = 8 << 20;

    /** Creates a document; throws {@link MismatchException} if the checksum of the text is not the version's. */
    public static Document verified(Version version, String text) throws MismatchException {
        if (!Checksum.of(text).equals(version.textChecksum())) {
            throw new MismatchException("text does not match the checksum of version " + version);
        }
        return new Document(version, text);
    }
}
