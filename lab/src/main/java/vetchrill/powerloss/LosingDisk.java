package vetchrill.powerloss;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import vetchrill.store.Disk;

/**
 * A disk that holds what is not synced in the process itself, so that it goes with the process as it does with the
 * power. Some of it may come to the media all the same, as a kernel writes when it likes: a part of a file's end, a
 * later part without the one before, a name without its file. Each call is a write point, at which something may
 * happen.
 */
public final class LosingDisk implements Disk {
    /** What happens at a write point, before the call; throws what the call is to throw. */
    public interface Points {
        void at(String call) throws IOException;
    }

    private static final int PAGE = 512;

    private static final class Node {
        byte[] bytes = new byte[0];
        int size;
        /** So many octets were synced. */
        int durable;
        /** The media have it under its name. */
        String named;
    }

    private interface NameAct {
        void on(Media media) throws IOException;
    }

    private final Media media;
    private final SplittableRandom chance;
    /** Part of the calls at which some of what is not synced comes to the media. */
    private final double spill;
    private final Points points;
    private final TreeMap<String, Node> nodes = new TreeMap<>();
    private final List<NameAct> unsynced = new ArrayList<>();

    public LosingDisk(Media media, SplittableRandom chance, double spill, Points points) throws IOException {
        this.media = media;
        this.chance = chance;
        this.spill = spill;
        this.points = points;
        for (String name : media.names()) {
            Node node = new Node();
            node.bytes = media.read(name);
            node.size = node.bytes.length;
            node.durable = node.size;
            node.named = name;
            nodes.put(name, node);
        }
    }

    @Override
    public List<String> fileNames() {
        return List.copyOf(nodes.keySet());
    }

    @Override
    public byte[] readFile(String name) throws IOException {
        Node node = nodes.get(name);
        if (node == null) {
            throw new java.io.FileNotFoundException(name);
        }
        return Arrays.copyOf(node.bytes, node.size);
    }

    @Override
    public AppendFile create(String name) throws IOException {
        points.at("create");
        Node node = new Node();
        nodes.put(name, node);
        unsynced.add(to -> {
            to.create(name);
            node.named = name;
            to.write(name, 0, node.bytes, 0, node.durable);
        });
        return new AppendFile() {
            @Override
            public void write(byte[] bytes) throws IOException {
                try {
                    points.at("write");
                } catch (IOException e) {
                    // As a disk does that fills up: a part of it is there.
                    add(node, bytes, bytes.length / 2);
                    throw e;
                }
                add(node, bytes, bytes.length);
                if (chance.nextDouble() < spill) {
                    spill(node);
                }
            }

            @Override
            public void sync() throws IOException {
                points.at("sync");
                if (node.named != null) {
                    media.write(node.named, node.durable, node.bytes, node.durable, node.size - node.durable);
                }
                node.durable = node.size;
                points.at("synced");
            }

            @Override
            public void close() {
                // What is not synced by now may never be.
            }
        };
    }

    private static void add(Node node, byte[] bytes, int size) {
        if (node.size + size > node.bytes.length) {
            node.bytes = Arrays.copyOf(node.bytes, Math.max(2 * node.bytes.length, node.size + size));
        }
        System.arraycopy(bytes, 0, node.bytes, node.size, size);
        node.size += size;
    }

    /** Some pages of what is not synced, in any order, and the last of them torn. */
    private void spill(Node node) throws IOException {
        if (node.named == null || node.size == node.durable) {
            return;
        }
        boolean inOrder = chance.nextBoolean();
        for (int at = node.durable; at < node.size; at += PAGE) {
            int size = Math.min(PAGE, node.size - at);
            if (chance.nextInt(3) == 0) {
                size = chance.nextInt(size + 1);
            } else if (!inOrder && chance.nextBoolean()) {
                continue;
            }
            media.write(node.named, at, node.bytes, at, size);
            if (inOrder && size < PAGE) {
                return;
            }
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        points.at("rename");
        Node node = nodes.remove(from);
        if (node == null) {
            throw new java.io.FileNotFoundException(from);
        }
        nodes.put(to, node);
        unsynced.add(on -> {
            if (from.equals(node.named)) {
                on.rename(from, to);
                node.named = to;
            }
        });
    }

    @Override
    public void delete(String name) throws IOException {
        points.at("delete");
        Node node = nodes.remove(name);
        if (node == null) {
            return;
        }
        unsynced.add(on -> {
            if (name.equals(node.named)) {
                on.delete(name);
                node.named = null;
            }
        });
        if (chance.nextDouble() < spill) {
            // It may be gone before anything else that is not synced is there.
            unsynced.get(unsynced.size() - 1).on(media);
        }
    }

    @Override
    public void syncDirectory() throws IOException {
        points.at("names");
        for (NameAct each : unsynced) {
            each.on(media);
        }
        unsynced.clear();
        points.at("named");
    }

    /** The power goes: of what was not synced some may be there, in any mixture. The disk is of no use after it. */
    public void lose() throws IOException {
        for (NameAct each : unsynced) {
            if (chance.nextBoolean()) {
                each.on(media);
            }
        }
        for (Map.Entry<String, Node> each : nodes.entrySet()) {
            spill(each.getValue());
        }
    }
}
