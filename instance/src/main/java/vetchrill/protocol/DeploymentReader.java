package vetchrill.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import vetchrill.control.Deployment;
import vetchrill.control.EndpointGroup;

/** Decodes what a fresh instance is told, on the wire and on sockets alike. */
public final class DeploymentReader {
    public static final ObjectMapper JSON = new ObjectMapper();

    /** What another version may tell anew of a group. */
    private static final List<String> RETOLD = List.of("aimMs", "aimStretch", "deadlineMs", "gain", "lateShare");

    public final Deployment deployment = new Deployment();
    /** Where each gauge stands in a row of gauges; -1 where it is not sent. */
    public final int cpuAt;
    public final int runnableAt;
    public final int connectionsAt;
    public final int memoryAt;
    /** Names by which the door knows groups and customers, in the order of the deployment. */
    public final List<String> groupNames = new ArrayList<>();
    public final List<String> customerNames = new ArrayList<>();

    public DeploymentReader(String options) {
        this(parsed(options));
    }

    public DeploymentReader(JsonNode root) {
        if (root == null || !root.isObject()) {
            throw new IllegalArgumentException("options are no JSON object");
        }
        list(root, "customers");
        list(root.path("familyInfo"), "meters");
        for (JsonNode told : root.path("categories")) {
            groupNames.add(told.path("name").asText());
        }
        JsonNode info = root.path("familyInfo");
        JsonNode rules = root.path("guarantees");
        Deployment d = deployment;
        d.groups = groups(root, info);
        JsonNode customers = root.path("customers");
        d.allowance = new double[customers.size()];
        for (int i = 0; i < d.allowance.length; i++) {
            customerNames.add(customers.get(i).path("name").asText());
            d.allowance[i] = customers.get(i).path("allowancePerS").asDouble();
        }
        d.benefitBeyondShare = root.path("overShareWorth").asDouble(1);
        d.benefitByWork = "work".equals(root.path("valueBy").asText());
        d.servers = Math.max(1, root.path("servers").asInt(1));
        d.callers = Math.max(1, info.path("callers").asInt(1));
        d.marksFurtherTries = root.path("clients").path("marksRetry").asBoolean();
        d.below = root.path("tier").asInt() > 0;
        d.cores = Math.max(1, info.path("cores").asInt(1));
        d.memoryKb = info.path("ramKb").asDouble(Double.MAX_VALUE);
        d.runGrowth = Math.max(1, info.path("runMemFactor").asDouble(1));
        d.keyKb = info.path("keyKb").asDouble();
        d.callerIdleTime = tenths(info, "idleMs", 15_000);
        d.tick = tenths(root, "quantumMs", 5);
        d.preemption = switch (info.path("preemption").asText("off")) {
            case "drop" -> Deployment.Preemption.DROP;
            case "pause" -> Deployment.Preemption.PAUSE;
            default -> Deployment.Preemption.NONE;
        };
        d.say = switch (info.path("say").asText("off")) {
            case "min_rank" -> Deployment.Say.LEAST_RANK;
            case "tokens" -> Deployment.Say.TOKENS;
            default -> Deployment.Say.NOTHING;
        };
        d.callsShared = "common".equals(info.path("below").asText());
        d.callsOut = info.path("callsOut").asDouble();
        d.callsWindow = tenths(info, "depWindowMs", 0);
        d.callLingers = tenths(info, "staysForMs", 0);
        d.listFollowsHealth = info.path("listFollows").asBoolean();
        d.cold = info.path("cold").asBoolean();
        d.coldShare = rules.path("coldShare").asDouble(1);
        d.warmUp = tenths(rules, "coldMs", 0);
        d.crowdPerCore = rules.path("fallMultiple").asDouble(2);
        d.drainGrace = tenths(rules, "stopSendingWithinMs", 0);
        d.longestAway = tenths(root.path("limits"), "maxRetryAfterMs", 0);
        JsonNode meters = info.path("meters");
        cpuAt = position(meters, "cpu_busy");
        runnableAt = position(meters, "runnable");
        connectionsAt = position(meters, "sockets");
        memoryAt = position(meters, "mem_used");
    }

    /** The groups as another version tells of them, with what was measured of them here. */
    public List<EndpointGroup> retold(DeploymentReader by) {
        List<EndpointGroup> again = new ArrayList<>();
        for (int i = 0; i < deployment.groups.size(); i++) {
            EndpointGroup told = by.deployment.groups.get(i);
            EndpointGroup group = new EndpointGroup(deployment.groups.get(i));
            group.effect = told.effect;
            group.sloTime = told.sloTime;
            group.sloStretch = told.sloStretch;
            group.asyncTimeout = told.asyncTimeout;
            group.benefit = told.benefit;
            group.lateShare = told.lateShare;
            group.window = told.window;
            group.mayCall = told.mayCall;
            group.benefitWithoutCall = told.benefitWithoutCall;
            again.add(group);
        }
        return again;
    }

    /**
     * Null where an instance that runs by {@code own} settings could take {@code other} without a start, else what
     * differs that it can't. Times, benefits and what being late costs may change; what the instance is, and its
     * groups and customers by number, name and effect, may not.
     */
    public static String notRetold(JsonNode own, JsonNode other) {
        if (other == null || !other.isObject()) {
            return "settings are no JSON object";
        }
        for (JsonNode group : other.path("categories")) {
            for (String key : RETOLD) {
                boolean least = key.equals("aimMs") || key.equals("deadlineMs");
                double value = group.path(key).asDouble(-1);
                if (group.has(key) && !(group.path(key).isNumber() && (least ? value > 0 : value >= 0))) {
                    return key + " of " + group.path("name").asText() + " is " + group.path(key)
                            + ", should be a number " + (least ? "above 0" : "of 0 or more");
                }
            }
        }
        JsonNode mine = own.deepCopy();
        JsonNode theirs = other.deepCopy();
        for (JsonNode root : List.of(mine, theirs)) {
            for (JsonNode group : root.path("categories")) {
                if (group instanceof com.fasterxml.jackson.databind.node.ObjectNode told) {
                    told.remove(RETOLD);
                }
            }
        }
        if (mine.equals(theirs)) {
            return null;
        }
        var names = new java.util.TreeSet<String>();
        mine.fieldNames().forEachRemaining(names::add);
        theirs.fieldNames().forEachRemaining(names::add);
        names.removeIf(name -> mine.path(name).equals(theirs.path(name)));
        return "only a start can change " + String.join(", ", names);
    }

    /** What stands in for a list by its size alone has no places to look at. */
    private static void list(JsonNode node, String key) {
        if (node.path(key).isObject()) {
            throw new IllegalArgumentException(key + " is no list");
        }
    }

    private static JsonNode parsed(String options) {
        try {
            return JSON.readTree(options);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("options are no JSON: " + e.getOriginalMessage());
        }
    }

    private static List<EndpointGroup> groups(JsonNode root, JsonNode info) {
        List<EndpointGroup> groups = new ArrayList<>();
        for (JsonNode told : root.path("categories")) {
            EndpointGroup group = new EndpointGroup();
            group.effect = switch (told.path("effect").asText()) {
                case "free" -> EndpointGroup.Effect.REPEATABLE;
                case "guarded" -> EndpointGroup.Effect.DEDUPLICATED;
                case "single_shot" -> EndpointGroup.Effect.MUTATING;
                default -> throw new IllegalArgumentException(
                        "unknown effect '" + told.path("effect").asText() + "' in options");
            };
            group.asyncTimeout = tenths(told, "deadlineMs", 60_000);
            group.sloTime = tenths(told, "aimMs", group.asyncTimeout / 10.0);
            group.sloStretch = told.path("aimStretch").asDouble();
            group.benefit = told.path("gain").asDouble(1);
            group.lateShare = told.path("lateShare").asDouble();
            group.window = tenths(told, "keyTtlMs", 0);
            int at = groups.size();
            group.mayCall = info.path("callsByClass").path(at).asBoolean();
            group.benefitWithoutCall = info.path("worthWithout").path(at).asDouble();
            groups.add(group);
        }
        if (groups.isEmpty()) {
            throw new IllegalArgumentException("options name no categories");
        }
        return groups;
    }

    private static long tenths(JsonNode node, String key, double otherwise) {
        return Math.round(node.path(key).asDouble(otherwise) * 10);
    }

    private static int position(JsonNode names, String name) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).asText().equals(name)) {
                return i;
            }
        }
        return -1;
    }
}
