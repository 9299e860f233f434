package vetchrill.planner;

import java.util.ArrayList;
import java.util.List;
import vetchrill.fleet.Fleet;
import vetchrill.model.Workload;

/** The inputs of a plan: the complete fleet, its workload, and the source of each value. */
public final class PlanInputs {
    /** Title of the table of inputs at the end of each report; readers of the JSON output find the table by it. */
    public static final String TABLE_TITLE = "What this rests on";

    public final Fleet fleet;
    private final FittedModel fittedModel;
    public final List<InputValue> values = new ArrayList<>();
    public final List<String> remarks = new ArrayList<>();

    /** Takes all values from the fleet file, which must be complete. */
    public PlanInputs(Fleet fleet) {
        this.fleet = fleet;
        fittedModel = null;
        for (Fleet.Group group : fleet.groups) {
            values.add(InputValue.fromFleetFile("share of " + group.name(), group.requestShare(), ""));
            values.add(InputValue.fromFleetFile("work of " + group.name(), group.coreTime() / 10, "ms"));
            values.add(InputValue.fromFleetFile("spread of the work of " + group.name(), group.coreTimeCv(), ""));
        }
        for (Fleet.MachineKind kind : fleet.kinds) {
            values.add(InputValue.fromFleetFile("reading, " + kind.name(), kind.readingTime() / 10, "ms"));
            values.add(InputValue.fromFleetFile("speed lost by " + kind.name() + " for each job past "
                    + kind.contentionThreshold() + " a core", kind.contentionLoss(), ""));
        }
        values.add(InputValue.fromFleetFile("first tries", fleet.load.perSecond(), "1/s"));
        values.add(InputValue.fromFleetFile("skew of subjects", fleet.subjects.skew(), ""));
        remarks.add("no capture: all values are those of the fleet file");
    }

    /** Takes the values that were fitted to captures, and the rest from the fleet file. */
    public PlanInputs(FittedModel fittedModel) {
        fleet = fittedModel.fleet;
        this.fittedModel = fittedModel;
        values.addAll(fittedModel.values);
        remarks.addAll(fittedModel.remarks);
    }

    /** The workload with {@code loadFactor} times as many first attempts. */
    public Workload workload(double loadFactor) {
        return fittedModel == null
                ? new Workload.ConfiguredWorkload(fleet.withLoad(fleet.load.perSecond() * loadFactor))
                : fittedModel.scaledBy(loadFactor);
    }

    /** First attempts per second at the current load. */
    public double loadPerSecond() {
        return fleet.load.perSecond();
    }

    /** Adds the table of inputs and the remarks on them to a report. */
    void addTo(Report report) {
        Report.Table table = report.addTable(TABLE_TITLE, "what", "value", "from", "to", "unit", "source");
        for (InputValue value : values) {
            table.addRow(value.name(), value.value(), value.low(), value.high(), value.unit(), value.source());
        }
        remarks.forEach(report::addRemark);
    }
}
