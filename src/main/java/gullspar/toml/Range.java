package gullspar.toml;

import java.util.SplittableRandom;

/** A range from which a value is drawn; equal bounds make it a fixed value. */
public record Range(double from, double to) {
    /** Draws a value uniformly. */
    public double draw(SplittableRandom random) {
        double fraction = random.nextDouble(); // always drawn, so that a fixed value does not shift later draws
        return from + (to - from) * fraction;
    }

    public double midpoint() {
        return (from + to) / 2;
    }
}
