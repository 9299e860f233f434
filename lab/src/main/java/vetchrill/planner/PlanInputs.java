package vetchrill.planner;

import java.util.ArrayList;
import java.util.List;
import vetchrill.fleet.Fleet;
import vetchrill.model.Workload;

/** What a plan is made from: the fleet whole, its demand, and where each of its figures comes from. */
public final class PlanInputs {
    public final Fleet fleet;
    /** Of the table that each answer ends with. */
    public static final String TABLE_TITLE = "What this rests on";

    private final FittedModel fittedModel;
    public final List<InputValue> values = new ArrayList<>();
    public final List<String> remarks = new ArrayList<>();

    /** From the fleet file alone, which must tell everything. */
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
                    + kind.contentionThreshold() + " a core",
                    kind.contentionLoss(), ""));
        }
        values.add(InputValue.fromFleetFile("first tries", fleet.load.perSecond(), "1/s"));
        values.add(InputValue.fromFleetFile("skew of subjects", fleet.subjects.skew(), ""));
        remarks.add("no capture: everything is as the fleet file says");
    }

    public PlanInputs(FittedModel fittedModel) {
        fleet = fittedModel.fleet;
        this.fittedModel = fittedModel;
        values.addAll(fittedModel.values);
        remarks.addAll(fittedModel.remarks);
    }

    /** The demand with {@code factor} times as many first tries. */
    public Workload demand(double loadFactor) {
        return fittedModel == null
                ? new Workload.ConfiguredWorkload(fleet.withLoad(fleet.load.perSecond() * loadFactor))
                : fittedModel.scaledBy(loadFactor);
    }

    public double loadPerSecond() {
        return fleet.load.perSecond();
    }

    /** All that it rests on, as a table. */
    void addTo(Report report) {
        Report.Table table = report.addTable(TABLE_TITLE, "what", "value", "from", "to", "unit", "source");
        for (InputValue value : values) {
            table.addRow(value.name(), value.value(), value.low(), value.high(), value.unit(), value.source());
        }
        remarks.forEach(report::addRemark);
    }
}
