package vetchrill.peers;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import vetchrill.audit.AuditWriter;
import vetchrill.audit.HybridTime;
import vetchrill.versions.Digests;
import vetchrill.versions.Memory;
import vetchrill.versions.Saying;
import vetchrill.versions.Terms;
import vetchrill.versions.Version;
import vetchrill.versions.Versions;

/**
 * Owns {@link Versions} in a process, on the thread of {@link Peering}; only what goes to the disk has a thread of its
 * own. Times are those of the chain's clock.
 */
public final class Agreement {
    /** What it changes in the instance that it is part of. */
    public interface Instance {
        /** Null where the content could be taken, else why not. */
        String tryOut(byte[] content);

        void take(Version version, byte[] content);

        void lease(long floor, long until);
    }

    private static final System.Logger LOG = System.getLogger("vetchrill.versions");
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long HEADS_EVERY = 5_000;

    private final String name;
    private final Versions versions;
    private final Store store;
    private final Instance instance;
    private final LongSupplier clock;
    private final HybridTime time;
    private final AuditWriter audit;
    private final Map<String, Heads> heads = new HashMap<>();
    private Consumer<Runnable> post;
    private long stack;
    private Sender sender;

    interface Sender {
        void send(String to, byte[] saying);
    }

    /**
     * {@code text} is the digest of the program; {@code audit} may be null. Throws IOException where the store can't
     * be read.
     */
    public Agreement(Terms terms, String name, String zone, String text, long nonce, Store store, long seed,
            LongSupplier clock, HybridTime time, AuditWriter audit, Instance instance) throws IOException {
        this.name = name;
        this.store = store;
        this.instance = instance;
        this.clock = clock;
        this.time = time;
        this.audit = audit;
        Memory memory = store.memory();
        versions = new Versions(terms, name, zone, text, nonce, memory, seed, clock.getAsLong());
        // Before anything comes: by what it decided last, and nothing before the keepers were heard.
        if (versions.taken() != null) {
            String wrong = instance.tryOut(versions.takenContent());
            if (wrong != null) {
                throw new IOException("version " + versions.takenNumber() + ", which is kept here, can't be taken: "
                        + wrong);
            }
            instance.take(versions.taken(), versions.takenContent());
        }
        instance.lease(versions.floor(), versions.leaseUntil());
        if (memory == null) {
            LOG.log(System.Logger.Level.INFO, "nothing is remembered here: the floor is asked for");
        }
    }

    /** Of {@link Peering}, once, before its thread runs; {@code post} waits for room rather than lose an input. */
    void begin(Consumer<Runnable> post, Sender sender, long stack) {
        this.post = post;
        this.sender = sender;
        this.stack = stack;
    }

    void start() {
        store.vault.start(stack);
    }

    // On the thread of Peering.

    void heard(Sayings.Envelope envelope) {
        time.heard(envelope.hybrid());
        versions.heard(envelope.saying());
        if (audit != null && envelope.block() >= 0) {
            heads.computeIfAbsent(envelope.saying().from(), any -> new Heads()).heard(envelope);
        }
    }

    /** What one peer said of its record is noted now and then, and at least when it has come much further. */
    private final class Heads {
        private long block = -1;
        private String digest = "";
        private long notedAt = Long.MIN_VALUE / 2;

        void heard(Sayings.Envelope envelope) {
            boolean another = envelope.block() < block || envelope.block() == block
                    && !envelope.digest().equals(digest);
            if (another || envelope.block() > block && clock.getAsLong() - notedAt >= HEADS_EVERY) {
                notedAt = clock.getAsLong();
                block = envelope.block();
                digest = envelope.digest();
                audit.head(envelope.saying().from(), block, digest);
            }
        }
    }

    long wakeAt() {
        return versions.wakeAt();
    }

    void pump() {
        versions.time(clock.getAsLong());
        if (audit != null) {
            versions.counted(audit.count(0), audit.count(1), audit.count(2), audit.count(3));
        }
        while (versions.next(host)) {
            continue;
        }
    }

    private final Versions.Host host = new Versions.Host() {
        @Override
        public void send(String to, Saying saying) {
            AuditWriter.Reached reached = audit == null ? null : audit.reached();
            sender.send(to, Sayings.write(new Sayings.Envelope(time.next(), reached == null ? -1 : reached.block(),
                    reached == null ? "" : reached.digest(), saying)));
        }

        @Override
        public void keep(Memory memory) {
            store.keep(memory, kept -> post.accept(() -> versions.kept(kept)));
        }

        @Override
        public void tryOut(Version version, byte[] content) {
            versions.tried(version.number(), instance.tryOut(content));
        }

        @Override
        public void take(Version version, byte[] content) {
            instance.take(version, content);
        }

        @Override
        public void lease(long taken, long floor, long until) {
            instance.lease(floor, until);
        }

        @Override
        public void tell(Versions.Event event, String of, long version, String text) {
            System.Logger.Level level = switch (event) {
                case HEARD, TAKEN, FREE, CONFIRMED -> System.Logger.Level.INFO;
                case BEHIND, BARRED, STOPPED -> System.Logger.Level.WARNING;
                default -> System.Logger.Level.ERROR;
            };
            LOG.log(level, "{0} {1}: version {2}: {3}", event, of, version, text);
            if (audit != null) {
                audit.event(event.name(), version, of + ": " + text);
            }
        }
    };

    // What a tool asks and orders, as JSON.

    /** Answers with a key {@code error} where it is not done. */
    byte[] ordered(byte[] order) {
        ObjectNode answer = JSON.createObjectNode();
        try {
            JsonNode told = JSON.readTree(order);
            String wrong = switch (told.path("order").asText()) {
                case "status" -> null;
                case "publish" -> publish(told, answer);
                case "floor" -> versions.floor(told.path("number").asLong());
                case "halt" -> versions.halt(told.path("number").asLong());
                default -> "no order that is known here: " + told.path("order");
            };
            if (wrong != null) {
                answer.put("error", wrong);
            }
        } catch (IOException | IllegalArgumentException e) {
            answer.put("error", "no order: " + String.valueOf(e.getMessage()).split("\n")[0]);
        }
        status(answer);
        return answer.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }

    private String publish(JsonNode told, ObjectNode answer) throws IOException {
        byte[] content = told.path("content").binaryValue();
        if (content == null || content.length > Version.LARGEST) {
            return "no content of up to " + Version.LARGEST + " octets";
        }
        long highest = Math.max(versions.takenNumber(), versions.floor());
        for (Saying.Noted each : versions.versions()) {
            highest = Math.max(highest, each.version().number());
        }
        long number = told.has("number") ? told.path("number").asLong() : highest + 1;
        List<Version.Stage> stages = new ArrayList<>();
        for (JsonNode each : told.path("stages")) {
            stages.add(new Version.Stage(each.path("zone").asText(), each.path("share").asDouble()));
        }
        if (stages.isEmpty()) {
            stages.add(new Version.Stage("", 1));
        }
        answer.put("published", number);
        return versions.publish(new Version(number, name, Digests.of(content), content.length,
                told.path("text").asText(""), stages, told.path("hold_ms").asLong() * 10), content);
    }

    private void status(ObjectNode answer) {
        long now = clock.getAsLong();
        answer.put("name", name).put("count", versions.count()).put("store", store.found.name())
                .put("able", versions.standing().able()).put("taken", versions.takenNumber())
                .put("floor", versions.floor())
                .put("confirmed", versions.confirmed()).put("barred", versions.barred());
        if (versions.leaseUntil() > Long.MIN_VALUE) {
            answer.put("lease_ms", (versions.leaseUntil() - now) / 10);
        }
        ArrayNode noted = answer.putArray("versions");
        for (Saying.Noted each : versions.versions()) {
            noted.addObject().put("number", each.version().number()).put("digest", each.version().digest())
                    .put("author", each.version().author()).put("age_ms", each.age() / 10)
                    .put("stopped", each.stopped());
        }
        ArrayNode others = answer.putArray("instances");
        Saying.Standing self = versions.standing();
        others.addObject().put("name", name).put("taken", self.taken()).put("why", self.why()).put("heard_ms", 0);
        for (Versions.Seen each : versions.others()) {
            others.addObject().put("name", each.name()).put("taken", each.standing().taken())
                    .put("why", each.standing().why()).put("heard_ms", (now - each.at()) / 10);
        }
        ArrayNode keepers = answer.putArray("keepers");
        for (Saying.Kept each : versions.keepers()) {
            keepers.addObject().put("name", each.keeper()).put("life", each.life()).put("floor", each.floor());
        }
    }
}
