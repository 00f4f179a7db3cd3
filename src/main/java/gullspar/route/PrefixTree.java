package gullspar.route;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A radix tree that finds the longest prefix of a text. It is read-only once built; a lookup is linear in the
 * length of the text, independent of the number of prefixes.
 */
final class PrefixTree<T> {
    /** A node: the characters on the edge from its parent, its value, and its children by first character. */
    private static final class Node<T> {
        private String label;
        private T value;
        private char[] firstChars = {};
        private List<Node<T>> children = new ArrayList<>(0);

        Node(String label, T value) {
            this.label = label;
            this.value = value;
        }

        private void add(Node<T> child) {
            int at = -Arrays.binarySearch(firstChars, child.label.charAt(0)) - 1;
            char[] grown = new char[firstChars.length + 1];
            System.arraycopy(firstChars, 0, grown, 0, at);
            grown[at] = child.label.charAt(0);
            System.arraycopy(firstChars, at, grown, at + 1, firstChars.length - at);
            firstChars = grown;
            children.add(at, child);
        }

        private Node<T> child(char first) {
            int at = Arrays.binarySearch(firstChars, first);
            return at < 0 ? null : children.get(at);
        }
    }

    private final Node<T> root = new Node<>("", null);

    /** Adds a prefix; returns false if it exists already. */
    boolean add(String prefix, T value) {
        Node<T> n = root;
        int at = 0;
        while (at < prefix.length()) {
            Node<T> next = n.child(prefix.charAt(at));
            if (next == null) {
                n.add(new Node<>(prefix.substring(at), value));
                return true;
            }
            int common = commonLength(next.label, prefix, at);
            if (common < next.label.length()) {
                split(next, common);
            }
            n = next;
            at += common;
        }
        if (n.value != null) {
            return false;
        }
        n.value = value;
        return true;
    }

    private static int commonLength(String label, String text, int from) {
        int n = Math.min(label.length(), text.length() - from);
        int i = 0;
        while (i < n && label.charAt(i) == text.charAt(from + i)) {
            i++;
        }
        return i;
    }

    /** Splits the edge to a node: its first characters stay, the others move to a new child. */
    private static <T> void split(Node<T> n, int at) {
        Node<T> tail = new Node<>(n.label.substring(at), n.value);
        tail.firstChars = n.firstChars;
        tail.children = n.children;
        n.label = n.label.substring(0, at);
        n.value = null;
        n.firstChars = new char[0];
        n.children = new ArrayList<>(2);
        n.add(tail);
    }

    /** Returns the value of the longest prefix of the text; null if no prefix matches. */
    T findLongest(String text) {
        Node<T> n = root;
        T best = root.value;
        int at = 0;
        while (at < text.length()) {
            n = n.child(text.charAt(at));
            if (n == null || !text.startsWith(n.label, at)) {
                return best;
            }
            at += n.label.length();
            best = n.value == null ? best : n.value;
        }
        return best;
    }
}
