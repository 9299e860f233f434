package vetchrill.peering;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;
import vetchrill.hcl.ConfigBlock;
import vetchrill.members.MembershipConfig;

/** The block {@code peers} of the operator's file: the other instances, and the timing of the membership protocol. */
public final class PeersConfig {
    /** Says how an address must be written; for the mistakes of other files and options too. */
    public static final String ADDRESS_FORMAT_MESSAGE = "should be an IPv4 address and a port, such as 10.0.0.4:7565";

    public final String zone;
    /** The only address at which connections of peers are accepted. */
    public final InetSocketAddress listen;
    /** The addresses of the other instances by name. */
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
                peer.addError("address", "belongs to a peer that is listed twice");
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

    /** Parses an IPv4 address with a port; null if the text is anything else. */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        String port = text.substring(colon + 1);
        return colon > 0 && port.matches("[0-9]{1,5}") && Integer.parseInt(port) <= 65_535
                && text.substring(0, colon).matches("[0-9]+(\\.[0-9]+){3}")
                ? new InetSocketAddress(text.substring(0, colon), Integer.parseInt(port)) : null;
    }

    /**
     * Reads the block {@code peers}; null if there is none or it is off. Mistakes are collected in the block and
     * reported when the file is checked.
     */
    public static PeersConfig read(ConfigBlock root) {
        if (!root.hasBlock("peers")) {
            return null;
        }
        PeersConfig config = new PeersConfig(root.block("peers"));
        return root.block("peers").bool("on", true) ? config : null;
    }
}
