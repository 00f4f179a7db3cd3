package gullspar.peers;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;

/**
 * Anti-entropy: compares views with one member at a time, to repair what rumors missed. A digest for each of 32 ranges
 * of lives is sent; where one differs, the state of each life in the range follows in pages, and then both sides send
 * what the other lacks.
 */
final class Reconciler {
    static final int RANGES = 32;
    /** The range of a life is given by its upper 5 bits. */
    private static final int RANGE_SHIFT = 64 - 5;
    /** Upper bound of the encoded bounds of a listing. */
    private static final int LISTING_BOUNDS_BYTES = 22;
    /** Limit on datagrams per step of a comparison; the rest follows in the next comparison. */
    private static final int MAX_PAGES = 8;

    private final Self self;
    private final Roster roster;
    private final MemberStates members;
    private final DatagramSender sender;
    private final RandomGenerator random;

    Reconciler(Self self, Roster roster, MemberStates members, DatagramSender sender, RandomGenerator random) {
        this.self = self;
        this.roster = roster;
        this.members = members;
        this.sender = sender;
        this.random = random;
    }

    /** Starts a comparison. */
    void compare(long now, Peer with) {
        if (sender.canSend(1, now)) {
            List<Long> ranges = digests();
            sender.sendPlain(now, with, h -> new Message.Digest(h, ranges));
        }
    }

    private NavigableMap<Long, Message.KnownState> knownStates() {
        TreeMap<Long, Message.KnownState> known = new TreeMap<>(Long::compareUnsigned);
        for (Peer p : roster.all()) {
            known.put(
                    p.id.life(),
                    new Message.KnownState(
                            p.id.life(), p.state.incarnation(), p.state.status(), p.statement.revision()));
        }
        known.put(
                self.id.life(),
                new Message.KnownState(
                        self.id.life(),
                        self.incarnation(),
                        self.state().status(),
                        self.statement().revision()));
        return known;
    }

    /** Two 32-bit checksums for each range, over the known states in the order of lives. */
    private List<Long> digests() {
        List<Long> digests = new ArrayList<>(RANGES);
        NavigableMap<Long, Message.KnownState> known = knownStates();
        for (int i = 0; i < RANGES; i++) {
            CRC32 a = new CRC32();
            CRC32C b = new CRC32C();
            ByteBuffer bytes = ByteBuffer.allocate(17);
            for (Message.KnownState k :
                    known.subMap(firstLife(i), true, lastLife(i), true).values()) {
                bytes.clear()
                        .putLong(k.life())
                        .putInt(k.incarnation())
                        .put((byte) k.status().ordinal())
                        .putInt(k.revision());
                a.update(bytes.array());
                b.update(bytes.array());
            }
            digests.add(a.getValue() << 32 | b.getValue());
        }
        return digests;
    }

    private static long firstLife(int range) {
        return (long) range << RANGE_SHIFT;
    }

    private static long lastLife(int range) {
        return firstLife(range) | -1L >>> 64 - RANGE_SHIFT;
    }

    /** Handles digests: answers with the states known here in the ranges that differ. */
    void onDigest(long now, Peer from, Message.Digest d) {
        if (d.ranges().size() != RANGES) {
            return; // another version with other ranges; rumors are still exchanged
        }
        List<Long> mine = digests();
        NavigableMap<Long, Message.KnownState> known = knownStates();
        int begin = random.nextInt(RANGES);
        int pages = MAX_PAGES;
        for (int i = 0; i < RANGES && pages > 0; i++) {
            int range = (begin + i) % RANGES;
            if (!mine.get(range).equals(d.ranges().get(range))) {
                pages = sendListings(now, from, known, firstLife(range), lastLife(range), pages);
            }
        }
    }

    private int sendListings(
            long now, Peer to, NavigableMap<Long, Message.KnownState> known, long first, long last, int pages) {
        int maxPerPage = (sender.maxPayloadBytes() - LISTING_BOUNDS_BYTES) / Message.KnownState.MAX_BYTES;
        long from = first;
        int remainingPages = pages;
        List<Message.KnownState> page = new ArrayList<>();
        for (Message.KnownState k : known.subMap(first, true, last, true).values()) {
            if (page.size() == maxPerPage) {
                remainingPages = sendListing(now, to, from, k.life() - 1, page, remainingPages);
                from = k.life();
                page = new ArrayList<>();
                if (remainingPages == 0) {
                    return 0;
                }
            }
            page.add(k);
        }
        return sendListing(now, to, from, last, page, remainingPages);
    }

    private int sendListing(
            long now, Peer to, long from, long last, List<Message.KnownState> page, int remainingPages) {
        if (remainingPages == 0 || !sender.canSend(1, now)) {
            return 0;
        }
        sender.sendPlain(now, to, h -> new Message.Listing(h, from, last, page));
        return remainingPages - 1;
    }

    /** Handles the states that the other side knows: requests what is newer there and sends what is newer here. */
    void onListing(long now, Peer from, Message.Listing l) {
        NavigableMap<Long, Message.KnownState> mine = knownStates();
        Map<Long, Identity> names = identities();
        List<Long> toRequest = new ArrayList<>();
        List<Rumor> toSend = new ArrayList<>();
        NavigableMap<Long, Message.KnownState> missing = Long.compareUnsigned(l.from(), l.to()) > 0
                ? new TreeMap<>()
                : new TreeMap<>(mine.subMap(l.from(), true, l.to(), true));
        for (Message.KnownState k : l.states()) {
            missing.remove(k.life());
            Message.KnownState m = mine.get(k.life());
            if (m == null) {
                toRequest.add(k.life());
                continue;
            }
            MemberState theirs = new MemberState(k.incarnation(), k.status());
            MemberState ours = new MemberState(m.incarnation(), m.status());
            if (k.revision() > m.revision() || theirs.compareTo(ours) > 0 && k.life() != self.id.life()) {
                toRequest.add(k.life());
            } else if (theirs.compareTo(ours) > 0) {
                members.applyRumor(now, new Rumor(self.id, k.incarnation(), k.status(), "", 0, null, 0), from);
            }
            if (m.revision() > k.revision() || ours.compareTo(theirs) > 0) {
                toSend.add(rumor(now, names.get(k.life()), m.revision() > k.revision()));
            }
        }
        missing.keySet().forEach(life -> toSend.add(rumor(now, names.get(life), true)));
        sendRumors(now, from, toSend);
        forEachPage(toRequest, sender.maxPayloadBytes() / Message.Want.MAX_LIFE_BYTES, lives -> {
            if (sender.canSend(1, now)) {
                sender.sendPlain(now, from, h -> new Message.Want(h, lives));
            }
        });
    }

    /** Handles a request for rumors of these lives. */
    void onWant(long now, Peer from, Message.Want w) {
        Map<Long, Identity> names = identities();
        sendRumors(
                now,
                from,
                w.lives().stream()
                        .filter(names::containsKey)
                        .distinct()
                        .map(life -> rumor(now, names.get(life), true))
                        .toList());
    }

    private void sendRumors(long now, Peer to, List<Rumor> rumors) {
        int rumorsPerBatch = MAX_PAGES * 3;
        forEachPage(rumors, rumorsPerBatch, page -> {
            if (sender.canSend(MAX_PAGES, now)) {
                sender.sendRumors(now, to, page);
            }
        });
    }

    private static <T> void forEachPage(List<T> all, int size, Consumer<List<T>> each) {
        for (int i = 0; i < all.size(); i += size) {
            each.accept(List.copyOf(all.subList(i, Math.min(all.size(), i + size))));
        }
    }

    private Map<Long, Identity> identities() {
        Map<Long, Identity> names = new TreeMap<>();
        roster.all().forEach(p -> names.put(p.id.life(), p.id));
        names.put(self.id.life(), self.id);
        return names;
    }

    private Rumor rumor(long now, Identity id, boolean withStatement) {
        return id.equals(self.id)
                ? self.rumor(now, withStatement)
                : roster.get(id).rumor(now, withStatement);
    }
}
