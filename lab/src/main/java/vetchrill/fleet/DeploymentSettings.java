package vetchrill.fleet;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import vetchrill.fleet.Fleet.Customer;
import vetchrill.fleet.Fleet.Group;
import vetchrill.fleet.Fleet.MachineKind;
import vetchrill.protocol.DeploymentReader;

/**
 * The deployment settings that an instance of a fleet starts with, as the JSON that the platform sends: simulated
 * instances read them with the decoder that real ones use.
 */
public final class DeploymentSettings {
    private static final double TENTHS_PER_MS = 10;
    /** Time over which the calls to the shared tier are averaged. */
    private static final int CALL_QUOTA_WINDOW_MS = 1_000;

    private DeploymentSettings() {
    }

    /**
     * Returns the settings of an instance on a machine of {@code kind}.
     *
     * @param cold whether the machine starts cold and has its full speed after {@link MachineKind#warmUpTime}
     */
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
            }).put("aimMs", group.sloTime() / TENTHS_PER_MS)
                    .put("deadlineMs", group.asyncTimeout() / TENTHS_PER_MS)
                    .put("gain", group.benefit()).put("lateShare", group.lateBenefitShare())
                    // Keys are kept for twice the timeout.
                    .put("keyTtlMs", group.asyncTimeout() / (TENTHS_PER_MS / 2));
            callsByGroup.add(group.callShare() > 0);
            benefitWithoutCall.add(group.benefitWithoutCall());
        }
        ArrayNode customers = settings.putArray("customers");
        for (Customer customer : fleet.customers) {
            customers.addObject().put("name", customer.name()).put("allowancePerS", customer.allowancePerSecond());
        }
        settings.put("servers", fleet.instanceCount()).put("overShareWorth", fleet.rules.overAllowanceWeight());
        info.put("cores", kind.cores()).put("callers", fleet.stubCount()).put("ramKb", kind.memoryKb())
                .put("runMemFactor", fleet.rules.runMemoryFactor())
                .put("idleMs", fleet.rules.idleTime() / TENTHS_PER_MS)
                .put("listFollows", true).put("cold", cold);
        info.putArray("meters").add("cpu_busy").add("runnable").add("mem_used").add("sockets");
        if (fleet.tier != null) {
            info.put("below", "common").put("callsOut", fleet.tier.slots() / (double) fleet.instanceCount())
                    .put("depWindowMs", CALL_QUOTA_WINDOW_MS).put("staysForMs", fleet.tier.callTime() / TENTHS_PER_MS);
        }
        settings.putObject("guarantees").put("fallMultiple", fleet.rules.sustainableRunsPerCore())
                .put("stopSendingWithinMs", fleet.rules.gracePeriod() / TENTHS_PER_MS)
                .put("coldShare", kind.coldSpeedRatio()).put("coldMs", kind.warmUpTime() / TENTHS_PER_MS);
        settings.putObject("limits").put("maxRetryAfterMs", fleet.rules.maxRetryAfter() / TENTHS_PER_MS);
        return settings;
    }
}
