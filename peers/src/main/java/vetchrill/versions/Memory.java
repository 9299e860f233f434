package vetchrill.versions;

import java.util.List;

/**
 * What an instance must have on its disk before it acts on it: its promises as a keeper, the lives of the other keepers
 * that it has told of, and the version that it decides by.
 */
public record Memory(String name, long life, boolean able, long floor, List<Saying.Kept> keepers, Version taken,
        byte[] content, List<Saying.Noted> versions) {
    public Memory {
        keepers = List.copyOf(keepers);
        versions = List.copyOf(versions);
        if (name == null || life < 0 || floor < 0 || (taken == null) != (content == null)) {
            throw new IllegalArgumentException("no memory of an instance");
        }
    }
}
