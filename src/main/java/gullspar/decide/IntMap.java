package gullspar.decide;

/** A map from int to non-null objects without boxing: open addressing, linear probing, removal by shifting back. */
final class IntMap<V> {
    private int[] keys = new int[64];
    private Object[] values = new Object[64];
    private int size;

    /** The index of the key, or the free index where it belongs. */
    private int slot(int key) {
        int mask = keys.length - 1;
        int i = (key * 0x9E3779B9 >>> 7) & mask;
        while (values[i] != null && keys[i] != key) {
            i = (i + 1) & mask;
        }
        return i;
    }

    @SuppressWarnings("unchecked")
    V get(int key) {
        return (V) values[slot(key)];
    }

    int size() {
        return size;
    }

    void put(int key, V value) {
        if (size * 2 >= keys.length) {
            grow();
        }
        int i = slot(key);
        if (values[i] == null) {
            size++;
        }
        keys[i] = key;
        values[i] = value;
    }

    void remove(int key) {
        int i = slot(key);
        if (values[i] == null) {
            return;
        }
        int mask = keys.length - 1;
        values[i] = null;
        size--;
        for (int j = (i + 1) & mask; values[j] != null; j = (j + 1) & mask) {
            Object moved = values[j];
            values[j] = null;
            int to = slot(keys[j]);
            keys[to] = keys[j];
            values[to] = moved;
        }
    }

    private void grow() {
        int[] oldKeys = keys;
        Object[] oldValues = values;
        keys = new int[oldKeys.length * 2];
        values = new Object[keys.length];
        for (int i = 0; i < oldKeys.length; i++) {
            if (oldValues[i] != null) {
                int to = slot(oldKeys[i]);
                keys[to] = oldKeys[i];
                values[to] = oldValues[i];
            }
        }
    }
}
