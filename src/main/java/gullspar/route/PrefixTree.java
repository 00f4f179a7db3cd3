package gullspar.route;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The longest of many prefixes that a text begins with: a radix tree, read only once it is built. Finding
 * costs as much as the text is long, however many prefixes there are.
 */
final class PrefixTree<T> {
    /**
     * A node: the characters that lead to it from its parent, what ends there, and those below by first one.
     */
    private static final class Node<T> {
        private String label;
        private T value;
        private char[] firsts = {};
        private List<Node<T>> below = new ArrayList<>(0);

        Node(String label, T value) {
            this.label = label;
            this.value = value;
        }

        private void add(Node<T> n) {
            int at = -Arrays.binarySearch(firsts, n.label.charAt(0)) - 1;
            char[] more = new char[firsts.length + 1];
            System.arraycopy(firsts, 0, more, 0, at);
            more[at] = n.label.charAt(0);
            System.arraycopy(firsts, at, more, at + 1, firsts.length - at);
            firsts = more;
            below.add(at, n);
        }

        private Node<T> below(char first) {
            int at = Arrays.binarySearch(firsts, first);
            return at < 0 ? null : below.get(at);
        }
    }

    private final Node<T> root = new Node<>("", null);

    /** Adds a prefix; false if it is there already. */
    boolean add(String prefix, T value) {
        Node<T> n = root;
        int at = 0;
        while (at < prefix.length()) {
            Node<T> next = n.below(prefix.charAt(at));
            if (next == null) {
                n.add(new Node<>(prefix.substring(at), value));
                return true;
            }
            int same = same(next.label, prefix, at);
            if (same < next.label.length()) {
                split(next, same);
            }
            n = next;
            at += same;
        }
        if (n.value != null) {
            return false;
        }
        n.value = value;
        return true;
    }

    private static int same(String label, String text, int from) {
        int n = Math.min(label.length(), text.length() - from);
        int i = 0;
        while (i < n && label.charAt(i) == text.charAt(from + i)) {
            i++;
        }
        return i;
    }

    /** Puts a node in the midst of the way to this one. */
    private static <T> void split(Node<T> n, int at) {
        Node<T> rest = new Node<>(n.label.substring(at), n.value);
        rest.firsts = n.firsts;
        rest.below = n.below;
        n.label = n.label.substring(0, at);
        n.value = null;
        n.firsts = new char[0];
        n.below = new ArrayList<>(2);
        n.add(rest);
    }

    /** What the longest prefix of the text stands for; null if no prefix fits. */
    T longest(String text) {
        Node<T> n = root;
        T best = root.value;
        int at = 0;
        while (at < text.length()) {
            n = n.below(text.charAt(at));
            if (n == null || !text.startsWith(n.label, at)) {
                return best;
            }
            at += n.label.length();
            best = n.value == null ? best : n.value;
        }
        return best;
    }
}
