package gullspar.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Compares IntMap with HashMap under random operations. */
class IntMapTest {
    @Test
    void matchesHashMapThroughGrowthAndRemoval() {
        IntMap<Integer> map = new IntMap<>();
        Map<Integer, Integer> model = new HashMap<>();
        Random random = new Random(3);
        for (int i = 0; i < 20_000; i++) {
            int key = random.nextInt(600) * (random.nextBoolean() ? 1 : -7919);
            if (random.nextInt(3) == 0) {
                map.remove(key);
                model.remove(key);
            } else {
                map.put(key, i);
                model.put(key, i);
            }
            int probe = random.nextInt(600);
            assertEquals(model.get(probe), map.get(probe));
        }
        assertEquals(model.size(), map.size());
        model.forEach((k, v) -> assertEquals(v, map.get(k)));
    }
}
