package gullspar.capacity;

/** Thrown for unusable results, design parameters or rows; the message names the file, the place and the reason. */
public final class CapacityException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public CapacityException(String message) {
        super(message);
    }
}
