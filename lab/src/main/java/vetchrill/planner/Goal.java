package vetchrill.planner;

import java.util.ArrayList;
import java.util.List;
import vetchrill.fleet.Fleet;
import vetchrill.hcl.ConfigBlock;

/**
 * A service goal: the share of the benefit that must arrive within the SLO time, at which load, with which zones lost.
 *
 * @param currentLoadMultiple the load as a multiple of the current load; used where {@code loadPerSecond} is NaN
 * @param loadPerSecond first attempts per second, or NaN
 * @param anyZoneLost the goal must hold with any single zone lost
 * @param zonesLost zones that are lost together
 */
public record Goal(String name, double service, double currentLoadMultiple, double loadPerSecond, boolean anyZoneLost,
        List<String> zonesLost) {
    /** Reads all goals of a file; throws ConfigErrors with every error in it. */
    public static List<Goal> read(ConfigBlock root, Fleet fleet) {
        List<Goal> goals = new ArrayList<>();
        List<String> knownZones = fleet.zones.stream().map(Fleet.Zone::name).toList();
        for (ConfigBlock block : root.blocks("goal")) {
            double service = block.number("service", 0.01, 1);
            double currentLoadMultiple = block.number("load", 0.01, 100, 1);
            double loadPerSecond = block.number("per_s", 0.001, 1e6, Double.NaN);
            if (block.has("load") && block.has("per_s")) {
                block.addError("per_s", "must not be given together with load: only one of them sets the load");
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
                block.addError("zones_lost", "must not be given together with any_zone_lost");
            }
            goals.add(new Goal(block.label(), service, currentLoadMultiple, loadPerSecond, anyZoneLost, zonesLost));
        }
        if (goals.isEmpty()) {
            root.addError("goal", "at least one block is required");
        }
        root.check();
        return goals;
    }

    /** The load of this goal as a multiple of the current load. */
    double loadFactor(double currentLoadPerSecond) {
        return Double.isNaN(loadPerSecond) ? currentLoadMultiple : loadPerSecond / currentLoadPerSecond;
    }
}
