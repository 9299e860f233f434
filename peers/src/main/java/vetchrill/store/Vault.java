package vetchrill.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import vetchrill.transport.Resources;

/**
 * A journal with a thread of its own: whoever wants something kept never waits for the disk, and what came while it was
 * written before goes out together with one sync. What waits is bounded.
 */
public final class Vault {
    /** Told on the vault's thread whether it is on the disk; false where it is not, for good. */
    public interface Done {
        void done(boolean kept);
    }

    private record Wish(List<Change> changes, boolean binding, Done done) {
    }

    private static final System.Logger LOG = System.getLogger("vetchrill.store");
    private static final int TOGETHER = 256;
    private static final int TOGETHER_BYTES = 256 << 10;

    private final Journal journal;
    private final LinkedBlockingQueue<Wish> wishes;
    private boolean failing;

    /** {@code most} wishes wait at a time. */
    public Vault(Journal journal, int most) {
        this.journal = journal;
        wishes = new LinkedBlockingQueue<>(most);
    }

    public void start(long stack) {
        Resources.daemon("store", this::run, stack).start();
    }

    /** False where too many wait already: nothing is kept then, and nobody told. On any thread, never waits. */
    public boolean offer(List<Change> changes, boolean binding, Done done) {
        return wishes.offer(new Wish(List.copyOf(changes), binding, done));
    }

    private void run() {
        List<Wish> together = new ArrayList<>();
        try {
            while (true) {
                Wish next = wishes.poll();
                if (next == null) {
                    next = idle() ? wishes.poll() : wishes.take();
                }
                if (next != null) {
                    together.add(next);
                    gather(together);
                    keep(together);
                    together.clear();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean idle() {
        try {
            return journal.idle();
        } catch (IOException e) {
            tell(e);
            return false;
        }
    }

    private void gather(List<Wish> together) {
        long bytes = size(together.get(0));
        while (together.size() < TOGETHER) {
            Wish next = wishes.peek();
            if (next == null || bytes + size(next) > TOGETHER_BYTES) {
                return;
            }
            bytes += size(next);
            together.add(wishes.poll());
        }
    }

    private static long size(Wish wish) {
        long size = 0;
        for (Change each : wish.changes) {
            size += each.key().length() + (each.value() == null ? 0 : each.value().length);
        }
        return size;
    }

    private void keep(List<Wish> together) {
        List<Change> changes = new ArrayList<>();
        together.forEach(each -> changes.addAll(each.changes));
        boolean kept = false;
        try {
            commit(changes, together.size() == 1 && together.get(0).binding);
            kept = true;
        } catch (Journal.Full e) {
            // Where there is no room for all of them there may be for some, and for what binds.
            together.forEach(this::alone);
            return;
        } catch (IOException e) {
            tell(e);
        }
        for (Wish each : together) {
            each.done.done(kept);
        }
    }

    private void alone(Wish wish) {
        boolean is = false;
        try {
            commit(wish.changes, wish.binding);
            is = true;
        } catch (IOException e) {
            tell(e);
        }
        wish.done.done(is);
    }

    private void commit(List<Change> changes, boolean binding) throws IOException {
        journal.commit(changes, binding);
        failing = false;
    }

    private void tell(IOException e) {
        if (!failing) {
            failing = true;
            LOG.log(System.Logger.Level.ERROR, "the store keeps nothing: {0}", String.valueOf(e.getMessage()));
        }
    }
}
