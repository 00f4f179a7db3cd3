package gullspar.scale;

/** Sleeps; an interrupt ends the run with a {@link ScaleException}. */
final class Sleep {
    private Sleep() {}

    static void ms(long ms) throws ScaleException {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ScaleException(ScaleException.TIME, "interrupted");
        }
    }
}
