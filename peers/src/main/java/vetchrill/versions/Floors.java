package vetchrill.versions;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import vetchrill.versions.Saying.Kept;

/**
 * The floor under which nothing is begun: who has promised it, and until when this instance may go on without hearing
 * of a higher one. A floor is confirmed once more than half of the keepers hold it on their disks. An instance goes on
 * for one lease after it sent the questions that more than half of the keepers have answered. Of any two such halves
 * one keeper is in both: what it answered before its promise was asked before the floor was confirmed.
 *
 * <p>A keeper that comes back without its disk may have promised what it no longer knows. It first takes another life,
 * which more than half of the others note before they tell it what they hold: a promise of an earlier life does not
 * count where anybody who is counted beside it has noted a later one (after Michael and others, "Recovering Shared
 * Objects Without Stable Storage", DISC 2017).
 */
final class Floors {
    /** CHECKING: it remembers, and asks whether others remember more of it. */
    private enum Phase { CHECKING, RECALLING, RECOVERING, ABLE, NO_KEEPER }

    private final Terms terms;
    private final String name;
    private final Map<String, Kept> held = new TreeMap<>();
    private Phase phase;
    private long life;
    /** The highest that was heard of; that on this keeper's disk. */
    private long known;
    private long kept;
    /** Of the questions of this recovery, so that answers to an earlier process are told apart. */
    private long question;
    private final Set<String> answered = new HashSet<>();
    private final Set<String> answeredAble = new HashSet<>();
    private long recalledLife;
    /** When the last question was sent that this keeper answered, in its life of now. */
    private final Map<String, Long> grantedAt = new HashMap<>();
    private final TreeMap<Long, Long> asked = new TreeMap<>();
    private boolean dirty;

    Floors(Terms terms, String name, Memory memory) {
        this.terms = terms;
        this.name = name;
        boolean keeper = terms.keepers().contains(name);
        for (String each : terms.keepers()) {
            held.put(each, new Kept(each, 0, 0));
        }
        if (memory != null) {
            known = memory.floor();
            memory.keepers().forEach(this::merge);
            life = memory.life();
            kept = memory.able() ? memory.floor() : 0;
        }
        dirty = false;
        // The only keeper has nobody to be taught by: what its disk lost is lost.
        boolean only = keeper && terms.keepers().size() == 1;
        boolean remembers = memory != null && memory.able();
        phase = !keeper ? Phase.NO_KEEPER : only ? Phase.ABLE : remembers ? Phase.CHECKING : Phase.RECALLING;
        if (whole()) {
            life = Math.max(1, life);
            held.put(name, new Kept(name, life, kept));
            dirty = memory == null;
        }
    }

    // What happened.

    /** A floor that was ordered or heard of. */
    void raise(long floor) {
        known = Math.max(known, floor);
    }

    /** True where that is more than was known. */
    boolean merge(Kept theirs) {
        Kept mine = held.get(theirs.keeper());
        if (mine == null) {
            return false;
        }
        known = Math.max(known, theirs.floor());
        if (!(theirs.life() > mine.life() || theirs.life() == mine.life() && theirs.floor() > mine.floor())) {
            return false;
        }
        if (theirs.keeper().equals(name)) {
            doubted();
        }
        held.put(theirs.keeper(), theirs);
        if (theirs.life() > mine.life()) {
            // What an earlier life answered may have been answered beside a promise of this one.
            grantedAt.remove(theirs.keeper());
            dirty = true;
        }
        return true;
    }

    /**
     * Others have seen more of this name than it knows itself: its disk is older than its last promise, or another
     * process has the name. Either way it promises nothing until it was taught.
     */
    void doubted() {
        if (phase != Phase.NO_KEEPER && phase != Phase.RECALLING && terms.keepers().size() > 1) {
            phase = Phase.RECALLING;
            question = 0;
            answered.clear();
            answeredAble.clear();
            dirty = true;
        }
    }

    /** {@code at} is when the question goes out. */
    void asks(long number, long at) {
        asked.put(number, at);
        while (asked.size() > 16) {
            asked.pollFirstEntry();
        }
    }

    /** The keeper has answered that question in that life; what it knows is merged already. */
    void granted(String keeper, long life, long number) {
        Long at = asked.get(number);
        if (at != null && held.containsKey(keeper) && life >= held.get(keeper).life()) {
            grantedAt.merge(keeper, at, Math::max);
        }
    }

    /** A keeper that remembers needs no question to itself: it answers at the moment it asks. */
    void grantsItself(long now) {
        if (phase == Phase.ABLE) {
            grantedAt.put(name, now);
        }
    }

    /** True where that was the last answer that was waited for. */
    boolean recalled(String keeper, long number, boolean able, boolean whole) {
        if (number != question || !held.containsKey(keeper) || !asksOthers()) {
            return false;
        }
        answered.add(keeper);
        // Whoever is being checked itself may tell what it remembers of others, but teaches nobody.
        if (phase == Phase.CHECKING ? whole : able) {
            answeredAble.add(keeper);
        }
        if (phase == Phase.CHECKING) {
            // This one and those are more than half: of all that was promised beside it some of them know.
            if (answeredAble.size() + 1 < terms.majority() && answered.size() < terms.keepers().size() - 1) {
                return false;
            }
            phase = Phase.ABLE;
            answered.clear();
            answeredAble.clear();
            return true;
        }
        // All of them where too few remember: a fleet that starts for the first time, or has lost more than it may.
        if (answeredAble.size() < terms.majority() && answered.size() < terms.keepers().size() - 1) {
            return false;
        }
        if (phase == Phase.RECALLING) {
            life = Math.max(recalledLife, held.get(name).life()) + 1;
            recalledLife = life;
            phase = Phase.RECOVERING;
            held.put(name, new Kept(name, life, 0));
            question = 0;
        } else {
            phase = Phase.ABLE;
            dirty = true;
        }
        answered.clear();
        answeredAble.clear();
        return true;
    }

    /** A question to the other keepers is due while this one remembers nothing; by which number it goes out. */
    long asksAgain(long fresh) {
        question = question == 0 ? fresh : question;
        return question;
    }

    /** What was to be kept is on the disk. */
    void nowKept(Memory memory) {
        if (whole() && memory.able() && memory.life() == life) {
            kept = Math.max(kept, memory.floor());
            held.put(name, new Kept(name, life, kept));
        }
    }

    // What follows from it.

    /** Questions are out that bind nobody to a life of this one. */
    boolean recalling() {
        return phase == Phase.RECALLING || phase == Phase.CHECKING;
    }

    /** The other keepers are to be asked what they remember. */
    boolean asksOthers() {
        return phase == Phase.RECALLING || phase == Phase.RECOVERING || phase == Phase.CHECKING;
    }

    /** Nothing but a recovery that is over makes a keeper able, and only what is on its disk makes it answer. */
    boolean able() {
        return phase == Phase.ABLE;
    }

    /** Its disk was there and nobody has doubted it. */
    boolean whole() {
        return phase == Phase.ABLE || phase == Phase.CHECKING;
    }

    boolean wantsKeeping() {
        boolean wants = dirty || phase == Phase.ABLE && known > kept;
        dirty = false;
        return wants;
    }

    long known() {
        return known;
    }

    /** What is on this keeper's disk; 0 where it keeps none. */
    long promised() {
        return whole() ? kept : 0;
    }

    long life() {
        return life;
    }

    List<Kept> keepers() {
        return new ArrayList<>(held.values());
    }

    /** The highest floor that more than half of the keepers have promised. */
    long confirmed() {
        long[] floors = held.values().stream().mapToLong(Kept::floor).sorted().toArray();
        return floors[floors.length - terms.majority()];
    }

    /** Until when this instance may begin anything; Long.MIN_VALUE where it never heard enough of them. */
    long until() {
        if (grantedAt.size() < terms.majority()) {
            return Long.MIN_VALUE;
        }
        long[] times = grantedAt.values().stream().mapToLong(Long::longValue).toArray();
        Arrays.sort(times);
        return times[times.length - terms.majority()] + terms.lease();
    }
}
