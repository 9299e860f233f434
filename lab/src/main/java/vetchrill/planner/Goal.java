package vetchrill.planner;

import java.util.ArrayList;
import java.util.List;
import vetchrill.fleet.Fleet;
import vetchrill.hcl.Block;

/** What service is wanted, at what load, and with what gone. */
public record Goal(String name, double service, double load, double perS, boolean anyZone, List<String> zones) {
    /** All goals of a file; throws Mistakes with all that is wrong. */
    public static List<Goal> read(Block root, Fleet fleet) {
        List<Goal> goals = new ArrayList<>();
        List<String> known = fleet.zones.stream().map(Fleet.Zone::name).toList();
        for (Block block : root.blocks("goal")) {
            double service = block.number("service", 0.01, 1);
            double load = block.number("load", 0.01, 100, 1);
            double perS = block.number("per_s", 0.001, 1e6, Double.NaN);
            if (block.has("load") && block.has("per_s")) {
                block.mistake("per_s", "goes without load: one of them says how much is asked for");
            }
            boolean any = block.flag("any_zone_lost", false);
            List<String> zones = block.words("zones_lost");
            for (String zone : zones) {
                if (!known.contains(zone)) {
                    block.mistake("zones_lost", "'" + zone + "' is no zone of the fleet, which has "
                            + String.join(", ", known));
                }
            }
            if (any && !zones.isEmpty()) {
                block.mistake("zones_lost", "goes without any_zone_lost");
            }
            goals.add(new Goal(block.label(), service, load, perS, any, zones));
        }
        if (goals.isEmpty()) {
            root.mistake("goal", "one block at least is needed");
        }
        root.check();
        return goals;
    }

    /** The load as a multiple of that of now. */
    double factor(double nowPerS) {
        return Double.isNaN(perS) ? load : perS / nowPerS;
    }
}
