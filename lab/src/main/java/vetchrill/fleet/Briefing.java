package vetchrill.fleet;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import vetchrill.fleet.Fleet.Customer;
import vetchrill.fleet.Fleet.Group;
import vetchrill.fleet.Fleet.Kind;
import vetchrill.protocol.DeploymentReader;

/** What a relay of the fleet is told of its deployment, in the platform's own form, so that one decoder reads it. */
public final class Briefing {
    private Briefing() {
    }

    public static ObjectNode of(Fleet fleet, Kind kind, boolean cold) {
        ObjectNode told = DeploymentReader.JSON.createObjectNode();
        ArrayNode groups = told.putArray("categories");
        ObjectNode info = told.putObject("familyInfo");
        ArrayNode calls = info.putArray("callsByClass");
        ArrayNode without = info.putArray("worthWithout");
        for (Group group : fleet.groups) {
            groups.addObject().put("name", group.name()).put("effect", switch (group.effect()) {
                case REPEATABLE -> "free";
                case DEDUPLICATED -> "guarded";
                case MUTATING -> "single_shot";
            }).put("aimMs", group.sloTime() / 10.0).put("deadlineMs", group.asyncTimeout() / 10.0)
                    .put("gain", group.benefit()).put("lateShare", group.lateShare())
                    .put("keyTtlMs", group.asyncTimeout() / 5.0);
            calls.add(group.calls() > 0);
            without.add(group.withoutCall());
        }
        ArrayNode customers = told.putArray("customers");
        for (Customer customer : fleet.customers) {
            customers.addObject().put("name", customer.name()).put("allowancePerS", customer.allowancePerS());
        }
        told.put("servers", fleet.relays()).put("overShareWorth", fleet.rules.beyondShare());
        info.put("cores", kind.cores()).put("callers", fleet.stubs()).put("ramKb", kind.memoryKb())
                .put("runMemFactor", fleet.rules.runGrowth()).put("idleMs", fleet.rules.idle() / 10.0)
                .put("listFollows", true).put("cold", cold);
        info.putArray("meters").add("cpu_busy").add("runnable").add("mem_used").add("sockets");
        if (fleet.tier != null) {
            info.put("below", "common").put("callsOut", fleet.tier.slots() / (double) fleet.relays())
                    .put("depWindowMs", 1_000).put("staysForMs", fleet.tier.work() / 10.0);
        }
        told.putObject("guarantees").put("fallMultiple", fleet.rules.crowdPerCore())
                .put("stopSendingWithinMs", fleet.rules.grace() / 10.0).put("coldShare", kind.coldShare())
                .put("coldMs", kind.warmUp() / 10.0);
        told.putObject("limits").put("maxRetryAfterMs", fleet.rules.longestAway() / 10.0);
        return told;
    }
}
