package vetchrill.planner;

import java.util.ArrayList;
import java.util.List;
import vetchrill.fleet.Fleet;
import vetchrill.hcl.ConfigBlock;

/** What service is wanted, at what load, and with what gone. */
public record Goal(String name, double service, double currentLoadMultiple, double loadPerSecond, boolean anyZoneLost,
        List<String> zonesLost) {
    /** All goals of a file; throws Mistakes with all that is wrong. */
    public static List<Goal> read(ConfigBlock root, Fleet fleet) {
        List<Goal> goals = new ArrayList<>();
        List<String> knownZones = fleet.zones.stream().map(Fleet.Zone::name).toList();
        for (ConfigBlock block : root.blocks("goal")) {
            double service = block.number("service", 0.01, 1);
            double currentLoadMultiple = block.number("load", 0.01, 100, 1);
            double loadPerSecond = block.number("per_s", 0.001, 1e6, Double.NaN);
            if (block.has("load") && block.has("per_s")) {
                block.addError("per_s", "goes without load: one of them says how much is asked for");
            }
            boolean anyZoneLost = block.bool("any_zone_lost", false);
            List<String> zonesLost = block.texts("zones_lost");
            for (String zone : zonesLost) {
                if (!knownZones.contains(zone)) {
                    block.addError("zones_lost", "'" + zone + "' is no zone of the fleet, which has "
                            + String.join(", ", knownZones));
                }
            }
            if (anyZoneLost && !zonesLost.isEmpty()) {
                block.addError("zones_lost", "goes without any_zone_lost");
            }
            goals.add(new Goal(block.label(), service, currentLoadMultiple, loadPerSecond, anyZoneLost, zonesLost));
        }
        if (goals.isEmpty()) {
            root.addError("goal", "one block at least is needed");
        }
        root.check();
        return goals;
    }

    /** The load as a multiple of that of now. */
    double loadFactor(double currentLoadPerSecond) {
        return Double.isNaN(loadPerSecond) ? currentLoadMultiple : loadPerSecond / currentLoadPerSecond;
    }
}
