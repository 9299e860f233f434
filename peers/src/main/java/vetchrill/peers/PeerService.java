package vetchrill.peers;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import vetchrill.members.SwimMembership;
import vetchrill.members.MemberInfo;
import vetchrill.members.MemberInfo.State;
import vetchrill.members.MembershipConfig;
import vetchrill.members.MembershipMessage;
import vetchrill.transport.Connection;
import vetchrill.transport.InterpreterLink;
import vetchrill.transport.Limits;
import vetchrill.transport.Listener;
import vetchrill.transport.DuplexChannel;
import vetchrill.transport.WorkerPool;
import vetchrill.transport.Resources;

/**
 * Runs the {@link SwimMembership} of a process, and its {@link VersionService} if there is one, on one thread, which
 * takes all inputs from one queue and never waits for a peer. The connection to a peer is opened when the first message
 * to it is due. Messages to an unreachable peer are queued up to a bound and dropped, since a late message is worth no
 * more than a lost one.
 */
public final class PeerService {
    private static final System.Logger LOG = System.getLogger("vetchrill.peers");
    private static final int US_PER_TENTH_MS = 100;
    /** For each peer. */
    private static final int MAX_QUEUED_FRAMES = 32;
    private static final int MAX_QUEUED_INPUTS = 4_096;

    private final Limits limits;
    private final MembershipConfig membershipConfig;
    private final SwimMembership membership;
    private final LongSupplier clock;
    private final Runnable onReplaced;
    /** Null where version management is not configured. */
    private final VersionService versionService;
    private final Listener listener;
    private final WorkerPool readers;
    private final WorkerPool writers;
    private final AtomicLong totalUnsentBytes = new AtomicLong();
    private final ArrayBlockingQueue<Runnable> inputs = new ArrayBlockingQueue<>(MAX_QUEUED_INPUTS);
    private final Map<String, OutboundPeer> outboundPeers = new TreeMap<>();
    /** The connection that a process sent a message on last, by the nonce of the process; replies go there. */
    private final Map<Long, Connection> connectionsByNonce = new HashMap<>();

    /**
     * {@code others} has the addresses of all other instances by name; {@code onReplaced} is called once, when another
     * process has taken this one's name. {@code clock} supplies tenths of a millisecond and never steps;
     * {@code versionService} may be null. Throws IOException if the address can't be bound.
     */
    public PeerService(MembershipConfig membershipConfig, String name, String zone, InetSocketAddress listenAddress,
            Map<String, InetSocketAddress> others, long nonce, long seed, Limits limits, LongSupplier clock,
            Runnable onReplaced, VersionService versionService) throws IOException {
        this.versionService = versionService;
        if (versionService != null) {
            versionService.attach(this::postBlocking, this::sendVersionMessage, limits.threadStackBytes);
        }
        this.limits = limits;
        this.membershipConfig = membershipConfig;
        this.clock = clock;
        this.onReplaced = onReplaced;
        membership = new SwimMembership(membershipConfig, name, zone, 1, nonce, others.keySet(), seed,
                clock.getAsLong());
        readers = new WorkerPool("peer-reader", 1, limits);
        writers = new WorkerPool("peer-writer", 1, limits);
        others.forEach((other, address) -> outboundPeers.put(other, new OutboundPeer(other, address)));
        listener = new Listener(listenAddress, limits, this::acceptConnection);
    }

    private void sendVersionMessage(String to, byte[] payload) {
        if (outboundPeers.containsKey(to)) {
            outboundPeers.get(to).frames.offer(PeerProtocol.encodeFrame(PeerProtocol.VERSION_MESSAGE, payload));
        }
    }

    public void start() {
        if (versionService != null) {
            versionService.start();
        }
        listener.start();
        outboundPeers.values().forEach(peer ->
                Resources.newDaemonThread("to-" + peer.name, peer::sendFrames, limits.threadStackBytes).start());
        Resources.newDaemonThread("peers", this::run, limits.threadStackBytes * 2L).start();
    }

    /** Announces to the other instances that this one leaves. Thread-safe. */
    public void leave() {
        tryPost(membership::leave);
    }

    private void tryPost(Runnable input) {
        // The queue is full only while this process is stalled: inputs are dropped then like messages lost in the
        // network.
        inputs.offer(input);
    }

    private void postBlocking(Runnable input) {
        try {
            inputs.put(input);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        try {
            while (true) {
                long wakeAt = versionService == null ? membership.wakeAt()
                        : Math.min(membership.wakeAt(), versionService.wakeAt());
                long delay = wakeAt - clock.getAsLong();
                Runnable input = delay > 0 ? inputs.poll(delay * US_PER_TENTH_MS, TimeUnit.MICROSECONDS)
                        : inputs.poll();
                membership.advanceTime(clock.getAsLong());
                for (int i = 0; input != null; i++) {
                    input.run();
                    input = i < MAX_QUEUED_INPUTS ? inputs.poll() : null;
                }
                while (membership.processNext(host)) {
                    continue;
                }
                if (versionService != null) {
                    versionService.processPending();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private final SwimMembership.Host host = new SwimMembership.Host() {
        @Override
        public void send(String to, long nonce, MembershipMessage message) {
            byte[] frame = PeerProtocol.encodeFrame(PeerProtocol.MEMBERSHIP_MESSAGE,
                    MembershipMessageCodec.encode(message));
            Connection replyConnection = nonce == 0 ? null : connectionsByNonce.get(nonce);
            if (replyConnection != null) {
                replyConnection.send(frame);
            } else if (outboundPeers.containsKey(to)) {
                outboundPeers.get(to).frames.offer(frame);
            }
        }

        @Override
        public void stateChanged(MemberInfo current, State previous) {
            LOG.log(current.state() == State.ALIVE ? System.Logger.Level.INFO : System.Logger.Level.WARNING,
                    "peer {0} is {1}, was {2}: incarnation {3}, refutation {4}, reported by {5}; {6} live",
                    current.name(), current.state(), previous, current.incarnation(), current.refutations(),
                    current.reportedBy(), membership.liveCount());
        }

        @Override
        public void replaced(MemberInfo successor) {
            LOG.log(System.Logger.Level.ERROR,
                    "another process has the name {0}, with incarnation {1}: this one shuts down",
                    successor.name(), successor.incarnation());
            onReplaced.run();
        }
    };

    /** Calls {@code onOpened} before it starts reading, since the connection may close, and call the other, at once. */
    private void openConnection(DuplexChannel channel, Consumer<Connection> onOpened, Consumer<Connection> onClosed) {
        Connection connection = new Connection(channel, limits, readers, writers, totalUnsentBytes, () -> { });
        onOpened.accept(connection);
        connection.start(new PeerProtocol(new PeerProtocol.Handler() {
            @Override
            public void membershipMessage(MembershipMessage message) {
                tryPost(() -> {
                    connectionsByNonce.put(message.sender().nonce(), connection);
                    membership.receive(message);
                });
            }

            @Override
            public void statusRequest() {
                tryPost(() -> {
                    List<MemberInfo> members = new ArrayList<>(membership.others());
                    connection.send(PeerProtocol.encodeFrame(PeerProtocol.MEMBERSHIP_MESSAGE,
                            MembershipMessageCodec.encode(new MembershipMessage(MembershipMessage.Kind.SYNC_REPLY,
                            membership.self(), membership.localHealthScore(), "", members))));
                });
            }

            @Override
            public void versionMessage(VersionMessageCodec.Envelope envelope) throws IOException {
                if (versionService == null) {
                    throw new IOException("version message, but version management is not configured here");
                }
                tryPost(() -> versionService.receive(envelope));
            }

            @Override
            public void order(byte[] order) throws IOException {
                if (versionService == null) {
                    throw new IOException("order, but version management is not configured here");
                }
                tryPost(() -> connection.send(PeerProtocol.encodeFrame(PeerProtocol.ORDER_REPLY,
                        versionService.handleOrder(order))));
            }

            @Override
            public void closed() {
                connection.abort();
                tryPost(() -> connectionsByNonce.values().removeIf(each -> each == connection));
                onClosed.accept(connection);
            }
        }), MembershipMessageCodec.MAX_MESSAGE_BYTES);
    }

    private void acceptConnection(DuplexChannel channel) {
        openConnection(channel, opened -> { }, closed -> { });
    }

    /** The queue of frames to one peer, and its connection. */
    private final class OutboundPeer {
        final String name;
        final InetSocketAddress address;
        final LinkedBlockingQueue<byte[]> frames = new LinkedBlockingQueue<>(MAX_QUEUED_FRAMES);
        /** Null while not connected. */
        private final AtomicReference<Connection> connection = new AtomicReference<>();

        OutboundPeer(String name, InetSocketAddress address) {
            this.name = name;
            this.address = address;
        }

        private void sendFrames() {
            try {
                while (true) {
                    byte[] frame = frames.take();
                    Connection current = connection.get();
                    if (current == null) {
                        current = connect();
                    }
                    if (current != null) {
                        current.send(frame);
                    }
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private Connection connect() {
            try {
                DuplexChannel channel = InterpreterLink.Dialer.dialSocket(address,
                        Math.max(limits.initialConnectTimeoutTenthsMs, membershipConfig.probePeriod()));
                openConnection(channel, opened -> connection.set(opened),
                        closed -> connection.compareAndSet(closed, null));
                return connection.get();
            } catch (IOException e) {
                // The queued messages would be too late to be of use.
                frames.clear();
                return null;
            }
        }
    }
}
