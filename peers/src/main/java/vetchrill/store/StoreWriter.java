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
public final class StoreWriter {
    /** Told on the vault's thread whether it is on the disk; false where it is not, for good. */
    public interface CommitCallback {
        void completed(boolean durable);
    }

    private record CommitRequest(List<Change> changes, boolean mayUseReserve, CommitCallback callback) {
    }

    private static final System.Logger LOG = System.getLogger("vetchrill.store");
    private static final int MAX_BATCH_REQUESTS = 256;
    private static final int MAX_BATCH_BYTES = 256 << 10;

    private final DurableStore store;
    private final LinkedBlockingQueue<CommitRequest> requests;
    private boolean failing;

    /** {@code most} wishes wait at a time. */
    public StoreWriter(DurableStore store, int maxPending) {
        this.store = store;
        requests = new LinkedBlockingQueue<>(maxPending);
    }

    public void start(long stackBytes) {
        Resources.newDaemonThread("store", this::run, stackBytes).start();
    }

    /** False where too many wait already: nothing is kept then, and nobody told. On any thread, never waits. */
    public boolean submit(List<Change> changes, boolean mayUseReserve, CommitCallback callback) {
        return requests.offer(new CommitRequest(List.copyOf(changes), mayUseReserve, callback));
    }

    private void run() {
        List<CommitRequest> batch = new ArrayList<>();
        try {
            while (true) {
                CommitRequest next = requests.poll();
                if (next == null) {
                    next = continueSnapshot() ? requests.poll() : requests.take();
                }
                if (next != null) {
                    batch.add(next);
                    fillBatch(batch);
                    commitBatch(batch);
                    batch.clear();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean continueSnapshot() {
        try {
            return store.continueSnapshot();
        } catch (IOException e) {
            logFailure(e);
            return false;
        }
    }

    private void fillBatch(List<CommitRequest> batch) {
        long bytes = requestBytes(batch.get(0));
        while (batch.size() < MAX_BATCH_REQUESTS) {
            CommitRequest next = requests.peek();
            if (next == null || bytes + requestBytes(next) > MAX_BATCH_BYTES) {
                return;
            }
            bytes += requestBytes(next);
            batch.add(requests.poll());
        }
    }

    private static long requestBytes(CommitRequest request) {
        long size = 0;
        for (Change each : request.changes) {
            size += each.key().length() + (each.value() == null ? 0 : each.value().length);
        }
        return size;
    }

    private void commitBatch(List<CommitRequest> batch) {
        List<Change> changes = new ArrayList<>();
        batch.forEach(each -> changes.addAll(each.changes));
        boolean durable = false;
        try {
            commit(changes, batch.size() == 1 && batch.get(0).mayUseReserve);
            durable = true;
        } catch (DurableStore.StoreFullException e) {
            // Where there is no room for all of them there may be for some, and for what binds.
            batch.forEach(this::commitSingly);
            return;
        } catch (IOException e) {
            logFailure(e);
        }
        for (CommitRequest each : batch) {
            each.callback.completed(durable);
        }
    }

    private void commitSingly(CommitRequest request) {
        boolean durable = false;
        try {
            commit(request.changes, request.mayUseReserve);
            durable = true;
        } catch (IOException e) {
            logFailure(e);
        }
        request.callback.completed(durable);
    }

    private void commit(List<Change> changes, boolean mayUseReserve) throws IOException {
        store.commit(changes, mayUseReserve);
        failing = false;
    }

    private void logFailure(IOException e) {
        if (!failing) {
            failing = true;
            LOG.log(System.Logger.Level.ERROR, "the store keeps nothing: {0}", String.valueOf(e.getMessage()));
        }
    }
}
