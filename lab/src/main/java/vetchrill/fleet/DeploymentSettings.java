package vetchrill.fleet;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import vetchrill.fleet.Fleet.Customer;
import vetchrill.fleet.Fleet.Group;
import vetchrill.fleet.Fleet.MachineKind;
import vetchrill.protocol.DeploymentReader;

/** What a relay of the fleet is told of its deployment, in the platform's own form, so that one decoder reads it. */
public final class DeploymentSettings {
    private DeploymentSettings() {
    }

    public static ObjectNode of(Fleet fleet, MachineKind kind, boolean cold) {
        ObjectNode settings = DeploymentReader.JSON.createObjectNode();
        ArrayNode groups = settings.putArray("categories");
        ObjectNode info = settings.putObject("familyInfo");
        ArrayNode callsByGroup = info.putArray("callsByClass");
        ArrayNode benefitWithoutCall = info.putArray("worthWithout");
        for (Group group : fleet.groups) {
            groups.addObject().put("name", group.name()).put("effect", switch (group.effect()) {
                case REPEATABLE -> "free";
                case DEDUPLICATED -> "guarded";
                case MUTATING -> "single_shot";
            }).put("aimMs", group.sloTime() / 10.0).put("deadlineMs", group.asyncTimeout() / 10.0)
                    .put("gain", group.benefit()).put("lateShare", group.lateBenefitShare())
                    .put("keyTtlMs", group.asyncTimeout() / 5.0);
            callsByGroup.add(group.callShare() > 0);
            benefitWithoutCall.add(group.benefitWithoutCall());
        }
        ArrayNode customers = settings.putArray("customers");
        for (Customer customer : fleet.customers) {
            customers.addObject().put("name", customer.name()).put("allowancePerS", customer.allowancePerSecond());
        }
        settings.put("servers", fleet.instanceCount()).put("overShareWorth", fleet.rules.overAllowanceWeight());
        info.put("cores", kind.cores()).put("callers", fleet.stubCount()).put("ramKb", kind.memoryKb())
                .put("runMemFactor", fleet.rules.runMemoryFactor()).put("idleMs", fleet.rules.idleTime() / 10.0)
                .put("listFollows", true).put("cold", cold);
        info.putArray("meters").add("cpu_busy").add("runnable").add("mem_used").add("sockets");
        if (fleet.tier != null) {
            info.put("below", "common").put("callsOut", fleet.tier.slots() / (double) fleet.instanceCount())
                    .put("depWindowMs", 1_000).put("staysForMs", fleet.tier.callTime() / 10.0);
        }
        settings.putObject("guarantees").put("fallMultiple", fleet.rules.sustainableRunsPerCore())
                .put("stopSendingWithinMs", fleet.rules.gracePeriod() / 10.0).put("coldShare", kind.coldSpeedRatio())
                .put("coldMs", kind.warmUpTime() / 10.0);
        settings.putObject("limits").put("maxRetryAfterMs", fleet.rules.maxRetryAfter() / 10.0);
        return settings;
    }
}
