package vetchrill.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import vetchrill.control.Deployment;
import vetchrill.control.EndpointGroup;

/**
 * Decodes the JSON settings of a new instance into a {@link Deployment}. The wire host and an instance on sockets use
 * the same settings.
 */
public final class DeploymentReader {
    public static final ObjectMapper JSON = new ObjectMapper();

    /** Settings of a group that a new version may change without a restart. */
    private static final List<String> RELOADABLE_GROUP_KEYS = List.of("aimMs", "aimStretch", "deadlineMs", "gain",
            "lateShare");

    public final Deployment deployment = new Deployment();
    /** Index of each gauge in a row of gauges; -1 if the interpreter does not send it. */
    public final int cpuIndex;
    public final int runnableIndex;
    public final int connectionsIndex;
    public final int memoryIndex;
    /** Names of groups and customers as exchanges use them, in the order of the deployment. */
    public final List<String> groupNames = new ArrayList<>();
    public final List<String> customerNames = new ArrayList<>();

    /** Decodes settings from JSON text; throws IllegalArgumentException if they are invalid. */
    public DeploymentReader(String options) {
        this(parse(options));
    }

    /** Decodes parsed settings; throws IllegalArgumentException if they are invalid. */
    public DeploymentReader(JsonNode root) {
        if (root == null || !root.isObject()) {
            throw new IllegalArgumentException("options are not a JSON object");
        }
        requireList(root, "customers");
        requireList(root.path("familyInfo"), "meters");
        for (JsonNode groupNode : root.path("categories")) {
            groupNames.add(groupNode.path("name").asText());
        }
        JsonNode familyInfo = root.path("familyInfo");
        JsonNode guarantees = root.path("guarantees");
        Deployment decoded = deployment;
        decoded.groups = readGroups(root, familyInfo);
        JsonNode customers = root.path("customers");
        decoded.allowancePerSecond = new double[customers.size()];
        for (int i = 0; i < decoded.allowancePerSecond.length; i++) {
            customerNames.add(customers.get(i).path("name").asText());
            decoded.allowancePerSecond[i] = customers.get(i).path("allowancePerS").asDouble();
        }
        decoded.benefitBeyondShare = root.path("overShareWorth").asDouble(1);
        decoded.benefitScalesWithWork = "work".equals(root.path("valueBy").asText());
        decoded.instanceCount = Math.max(1, root.path("servers").asInt(1));
        decoded.callerCount = Math.max(1, familyInfo.path("callers").asInt(1));
        decoded.callersMarkRetries = root.path("clients").path("marksRetry").asBoolean();
        decoded.backendTier = root.path("tier").asInt() > 0;
        decoded.cores = Math.max(1, familyInfo.path("cores").asInt(1));
        decoded.memoryKb = familyInfo.path("ramKb").asDouble(Double.MAX_VALUE);
        decoded.runMemoryFactor = Math.max(1, familyInfo.path("runMemFactor").asDouble(1));
        decoded.dedupKeyKb = familyInfo.path("keyKb").asDouble();
        decoded.callerIdleTime = readTenthsMs(familyInfo, "idleMs", 15_000);
        decoded.hostQuantum = readTenthsMs(root, "quantumMs", 5);
        decoded.preemption = switch (familyInfo.path("preemption").asText("off")) {
            case "drop" -> Deployment.Preemption.DROP;
            case "pause" -> Deployment.Preemption.PAUSE;
            default -> Deployment.Preemption.NONE;
        };
        decoded.loadHint = switch (familyInfo.path("say").asText("off")) {
            case "min_rank" -> Deployment.LoadHint.MIN_RANK;
            case "tokens" -> Deployment.LoadHint.TOKENS;
            default -> Deployment.LoadHint.NONE;
        };
        decoded.sharedDependency = "common".equals(familyInfo.path("below").asText());
        decoded.callQuota = familyInfo.path("callsOut").asDouble();
        decoded.callQuotaWindow = readTenthsMs(familyInfo, "depWindowMs", 0);
        decoded.abandonedCallLinger = readTenthsMs(familyInfo, "staysForMs", 0);
        decoded.discoveryFollowsHealth = familyInfo.path("listFollows").asBoolean();
        decoded.startsCold = familyInfo.path("cold").asBoolean();
        decoded.coldSpeedRatio = guarantees.path("coldShare").asDouble(1);
        decoded.warmUpTime = readTenthsMs(guarantees, "coldMs", 0);
        decoded.sustainableRunsPerCore = guarantees.path("fallMultiple").asDouble(2);
        decoded.drainGrace = readTenthsMs(guarantees, "stopSendingWithinMs", 0);
        decoded.maxRetryAfter = readTenthsMs(root.path("limits"), "maxRetryAfterMs", 0);
        JsonNode meters = familyInfo.path("meters");
        cpuIndex = indexOf(meters, "cpu_busy");
        runnableIndex = indexOf(meters, "runnable");
        connectionsIndex = indexOf(meters, "sockets");
        memoryIndex = indexOf(meters, "mem_used");
    }

    /** Returns copies of these groups, with their measurements, that have the settings of another version. */
    public List<EndpointGroup> reloadedGroups(DeploymentReader update) {
        List<EndpointGroup> reloaded = new ArrayList<>();
        for (int i = 0; i < deployment.groups.size(); i++) {
            EndpointGroup updated = update.deployment.groups.get(i);
            EndpointGroup group = new EndpointGroup(deployment.groups.get(i));
            group.effect = updated.effect;
            group.sloTime = updated.sloTime;
            group.sloWorkFactor = updated.sloWorkFactor;
            group.asyncTimeout = updated.asyncTimeout;
            group.benefit = updated.benefit;
            group.lateBenefitShare = updated.lateBenefitShare;
            group.dedupWindow = updated.dedupWindow;
            group.mayCall = updated.mayCall;
            group.benefitWithoutCall = updated.benefitWithoutCall;
            reloaded.add(group);
        }
        return reloaded;
    }

    /**
     * Returns null if an instance that runs with the settings {@code own} can switch to {@code other} without a
     * restart, otherwise the reason why not. Times, benefits and the cost of lateness may change; the properties of
     * the instance, and the number, names and effects of its groups and customers, may not.
     */
    public static String reloadObstacle(JsonNode own, JsonNode other) {
        if (other == null || !other.isObject()) {
            return "settings are not a JSON object";
        }
        for (JsonNode group : other.path("categories")) {
            for (String key : RELOADABLE_GROUP_KEYS) {
                boolean mustBePositive = key.equals("aimMs") || key.equals("deadlineMs");
                double value = group.path(key).asDouble(-1);
                if (group.has(key) && !(group.path(key).isNumber() && (mustBePositive ? value > 0 : value >= 0))) {
                    return key + " of " + group.path("name").asText() + " is " + group.path(key)
                            + ", should be a number " + (mustBePositive ? "above 0" : "of 0 or more");
                }
            }
        }
        JsonNode ownFixed = own.deepCopy();
        JsonNode otherFixed = other.deepCopy();
        for (JsonNode root : List.of(ownFixed, otherFixed)) {
            for (JsonNode group : root.path("categories")) {
                if (group instanceof ObjectNode groupObject) {
                    groupObject.remove(RELOADABLE_GROUP_KEYS);
                }
            }
        }
        if (ownFixed.equals(otherFixed)) {
            return null;
        }
        var names = new TreeSet<String>();
        ownFixed.fieldNames().forEachRemaining(names::add);
        otherFixed.fieldNames().forEachRemaining(names::add);
        names.removeIf(name -> ownFixed.path(name).equals(otherFixed.path(name)));
        return "a restart is required to change " + String.join(", ", names);
    }

    /** Rejects an object in place of a list: it has a size, but no elements by index. */
    private static void requireList(JsonNode node, String key) {
        if (node.path(key).isObject()) {
            throw new IllegalArgumentException(key + " is not a list");
        }
    }

    private static JsonNode parse(String options) {
        try {
            return JSON.readTree(options);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("options are not valid JSON: " + e.getOriginalMessage());
        }
    }

    private static List<EndpointGroup> readGroups(JsonNode root, JsonNode familyInfo) {
        List<EndpointGroup> groups = new ArrayList<>();
        for (JsonNode groupNode : root.path("categories")) {
            EndpointGroup group = new EndpointGroup();
            group.effect = switch (groupNode.path("effect").asText()) {
                case "free" -> EndpointGroup.Effect.REPEATABLE;
                case "guarded" -> EndpointGroup.Effect.DEDUPLICATED;
                case "single_shot" -> EndpointGroup.Effect.MUTATING;
                default -> throw new IllegalArgumentException(
                        "unknown effect '" + groupNode.path("effect").asText() + "' in options");
            };
            group.asyncTimeout = readTenthsMs(groupNode, "deadlineMs", 60_000);
            group.sloTime = readTenthsMs(groupNode, "aimMs", group.asyncTimeout / 10.0);
            group.sloWorkFactor = groupNode.path("aimStretch").asDouble();
            group.benefit = groupNode.path("gain").asDouble(1);
            group.lateBenefitShare = groupNode.path("lateShare").asDouble();
            group.dedupWindow = readTenthsMs(groupNode, "keyTtlMs", 0);
            int index = groups.size();
            group.mayCall = familyInfo.path("callsByClass").path(index).asBoolean();
            group.benefitWithoutCall = familyInfo.path("worthWithout").path(index).asDouble();
            groups.add(group);
        }
        if (groups.isEmpty()) {
            throw new IllegalArgumentException("options define no categories");
        }
        return groups;
    }

    /** Reads a time in milliseconds and returns it in tenths of a millisecond. */
    private static long readTenthsMs(JsonNode node, String key, double defaultMs) {
        return Math.round(node.path(key).asDouble(defaultMs) * 10);
    }

    private static int indexOf(JsonNode names, String name) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).asText().equals(name)) {
                return i;
            }
        }
        return -1;
    }
}
