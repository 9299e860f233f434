package vetchrill.routing;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The ids of the last exchanges that may have run and are no longer open. The interpreter names a run by the id of its
 * exchange only, and a run that was requested again after a lost link may be reported more than once. While an id is in
 * here no other exchange is accepted under it, so that no late report is taken for the run of another exchange, and no
 * exchange runs again when it is sent again.
 */
final class RecentRunIds {
    private final int capacity;
    private final Set<Long> ids = new LinkedHashSet<>();

    /** Above {@code capacity} the oldest id is dropped. */
    RecentRunIds(int capacity) {
        this.capacity = capacity;
    }

    void add(String id) {
        ids.add(Long.parseUnsignedLong(id, 16));
        if (ids.size() > capacity) {
            Iterator<Long> oldest = ids.iterator();
            oldest.next();
            oldest.remove();
        }
    }

    boolean contains(String id) {
        return ids.contains(Long.parseUnsignedLong(id, 16));
    }
}
