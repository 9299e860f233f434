package vetchrill.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import vetchrill.transport.Resources;

/**
 * Commits to a {@link DurableStore} on a thread of its own, so that callers never wait for the disk. Requests that
 * arrive during a commit are written together with one sync (group commit). The queue of requests is bounded.
 */
public final class StoreWriter {
    /** Notified on the writer's thread of the outcome of a request. */
    public interface CommitCallback {
        /** {@code durable} is false where the changes are not on the disk; the request is not retried. */
        void completed(boolean durable);
    }

    private record CommitRequest(List<Change> changes, boolean mayUseReserve, CommitCallback callback) {
    }

    private static final System.Logger LOG = System.getLogger("vetchrill.store");
    private static final int MAX_BATCH_REQUESTS = 256;
    private static final int MAX_BATCH_BYTES = 256 << 10;

    private final DurableStore store;
    private final LinkedBlockingQueue<CommitRequest> requests;
    /** Set by a failure, cleared by the next successful commit; only the first failure in a row is logged. */
    private boolean failing;

    /** At most {@code maxPending} requests are queued. */
    public StoreWriter(DurableStore store, int maxPending) {
        this.store = store;
        requests = new LinkedBlockingQueue<>(maxPending);
    }

    public void start(long stackBytes) {
        Resources.newDaemonThread("store", this::run, stackBytes).start();
    }

    /**
     * Queues a commit, on any thread and without waiting. Returns false if the queue is full; the callback is not
     * called then. {@code mayUseReserve} is as in {@link DurableStore#commit}.
     */
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
            // There may still be room for some of them, and for those that may use the reserve.
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
            LOG.log(System.Logger.Level.ERROR, "writing to the store fails: {0}", String.valueOf(e.getMessage()));
        }
    }
}
