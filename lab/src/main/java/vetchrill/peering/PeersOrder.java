package vetchrill.peering;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;
import vetchrill.hcl.Block;
import vetchrill.members.MembershipConfig;

/** What an operator's file says of the other instances, in its block {@code peers}. */
public final class PeersOrder {
    public static final String ADDRESS = "should be an address and a port, as 10.0.0.4:7565";

    public final String zone;
    /** The only address on which peers are listened to. */
    public final InetSocketAddress listen;
    public final Map<String, InetSocketAddress> others = new TreeMap<>();
    public final MembershipConfig pace;

    private PeersOrder(Block block) {
        zone = block.word("zone", "");
        listen = address(block, "listen");
        double period = block.number("period_ms", 20, 60_000, 500);
        double answer = block.number("answer_ms", 5, 30_000, 150);
        double sync = block.number("sync_ms", 100, 600_000, 10_000);
        if (answer >= period) {
            block.mistake("answer_ms", "should be less than period_ms");
            answer = period / 2;
        }
        if (sync < period) {
            block.mistake("sync_ms", "should be period_ms or more");
            sync = period;
        }
        pace = new MembershipConfig(Math.round(period * 10), Math.round(answer * 10),
                MembershipConfig.DEFAULT.indirectProbes(), MembershipConfig.DEFAULT.suspicionMultiplier(),
                MembershipConfig.DEFAULT.maxSuspicionFactor(), Math.round(sync * 10));
        for (Block peer : block.blocks("peer")) {
            if (others.put(peer.label(), address(peer, "address")) != null) {
                peer.mistake("address", "is of a peer named a second time");
            }
        }
    }

    private static InetSocketAddress address(Block block, String key) {
        String text = block.word(key);
        InetSocketAddress address = address(text);
        if (address == null && !text.isEmpty()) {
            block.mistake(key, ADDRESS);
        }
        return address == null ? new InetSocketAddress(0) : address;
    }

    /** Null for what is none. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        String port = text.substring(colon + 1);
        return colon > 0 && port.matches("[0-9]{1,5}") && Integer.parseInt(port) <= 65_535
                && text.substring(0, colon).matches("[0-9]+(\\.[0-9]+){3}")
                ? new InetSocketAddress(text.substring(0, colon), Integer.parseInt(port)) : null;
    }

    /** Null where the file has no such block. Mistakes are noted in the file and told by its check. */
    public static PeersOrder in(Block root) {
        if (!root.hasBlock("peers")) {
            return null;
        }
        PeersOrder order = new PeersOrder(root.block("peers"));
        return root.block("peers").flag("on", true) ? order : null;
    }
}
