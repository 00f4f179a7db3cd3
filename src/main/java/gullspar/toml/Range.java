package gullspar.toml;

import java.util.SplittableRandom;

/** From where to where a value is drawn; both ends the same: no draw. */
public record Range(double from, double to) {
    public double draw(SplittableRandom random) {
        double at = random.nextDouble(); // drawn in any case: a fixed value must not shift what others draw
        return from + (to - from) * at;
    }

    public double midpoint() {
        return (from + to) / 2;
    }
}
