package gullspar.drill;

/** Input that violates the wire protocol; the message is a single line. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
