package vetchrill.peering;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;
import vetchrill.hcl.ConfigBlock;
import vetchrill.members.MembershipConfig;

/** What an operator's file says of the other instances, in its block {@code peers}. */
public final class PeersConfig {
    public static final String ADDRESS_FORMAT_MESSAGE = "should be an address and a port, as 10.0.0.4:7565";

    public final String zone;
    /** The only address on which peers are listened to. */
    public final InetSocketAddress listen;
    public final Map<String, InetSocketAddress> peerAddresses = new TreeMap<>();
    public final MembershipConfig membership;

    private PeersConfig(ConfigBlock block) {
        zone = block.text("zone", "");
        listen = parseAddress(block, "listen");
        double periodMs = block.number("period_ms", 20, 60_000, 500);
        double ackTimeoutMs = block.number("answer_ms", 5, 30_000, 150);
        double syncPeriodMs = block.number("sync_ms", 100, 600_000, 10_000);
        if (ackTimeoutMs >= periodMs) {
            block.addError("answer_ms", "should be less than period_ms");
            ackTimeoutMs = periodMs / 2;
        }
        if (syncPeriodMs < periodMs) {
            block.addError("sync_ms", "should be period_ms or more");
            syncPeriodMs = periodMs;
        }
        membership = new MembershipConfig(Math.round(periodMs * 10), Math.round(ackTimeoutMs * 10),
                MembershipConfig.DEFAULT.indirectProbes(), MembershipConfig.DEFAULT.suspicionMultiplier(),
                MembershipConfig.DEFAULT.maxSuspicionFactor(), Math.round(syncPeriodMs * 10));
        for (ConfigBlock peer : block.blocks("peer")) {
            if (peerAddresses.put(peer.label(), parseAddress(peer, "address")) != null) {
                peer.addError("address", "is of a peer named a second time");
            }
        }
    }

    private static InetSocketAddress parseAddress(ConfigBlock block, String key) {
        String text = block.text(key);
        InetSocketAddress address = parseAddress(text);
        if (address == null && !text.isEmpty()) {
            block.addError(key, ADDRESS_FORMAT_MESSAGE);
        }
        return address == null ? new InetSocketAddress(0) : address;
    }

    /** Null for what is none. */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        String port = text.substring(colon + 1);
        return colon > 0 && port.matches("[0-9]{1,5}") && Integer.parseInt(port) <= 65_535
                && text.substring(0, colon).matches("[0-9]+(\\.[0-9]+){3}")
                ? new InetSocketAddress(text.substring(0, colon), Integer.parseInt(port)) : null;
    }

    /** Null where the file has no such block. Mistakes are noted in the file and told by its check. */
    public static PeersConfig read(ConfigBlock root) {
        if (!root.hasBlock("peers")) {
            return null;
        }
        PeersConfig config = new PeersConfig(root.block("peers"));
        return root.block("peers").bool("on", true) ? config : null;
    }
}
