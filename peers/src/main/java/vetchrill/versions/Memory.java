package vetchrill.versions;

import java.util.List;

/**
 * What an instance must have on its disk before it acts on it: its promises as a keeper, the lives of the other keepers
 * that it has told of, and the version that it decides by.
 *
 * @param count grows by one with each start and with each of its memories that binds: others who remember a higher one
 *     of this name show that the disk is of an earlier day, lost, or another's
 * @param seen the counts of the others, as they told
 */
public record Memory(String name, long count, long life, boolean able, long floor, List<Saying.Kept> keepers,
        Version taken, byte[] content, List<Saying.Noted> versions, List<Saying.Count> seen) {
    public Memory {
        keepers = List.copyOf(keepers);
        versions = List.copyOf(versions);
        seen = List.copyOf(seen);
        if (name == null || count < 0 || life < 0 || floor < 0 || (taken == null) != (content == null)) {
            throw new IllegalArgumentException("no memory of an instance");
        }
    }
}
