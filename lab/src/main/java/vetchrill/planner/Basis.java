package vetchrill.planner;

import java.util.ArrayList;
import java.util.List;
import vetchrill.fleet.Fleet;
import vetchrill.model.Demand;

/** What a plan is made from: the fleet whole, its demand, and where each of its figures comes from. */
public final class Basis {
    public final Fleet fleet;
    /** Of the table that each answer ends with. */
    public static final String TITLE = "What this rests on";

    private final Fit fit;
    public final List<Told> lines = new ArrayList<>();
    public final List<String> remarks = new ArrayList<>();

    /** From the fleet file alone, which must tell everything. */
    public Basis(Fleet fleet) {
        this.fleet = fleet;
        fit = null;
        for (Fleet.Group group : fleet.groups) {
            lines.add(Told.file("share of " + group.name(), group.share(), ""));
            lines.add(Told.file("work of " + group.name(), group.work() / 10, "ms"));
            lines.add(Told.file("spread of the work of " + group.name(), group.workSpread(), ""));
        }
        for (Fleet.Kind kind : fleet.kinds) {
            lines.add(Told.file("reading, " + kind.name(), kind.reading() / 10, "ms"));
            lines.add(Told.file("speed lost by " + kind.name() + " for each job past " + kind.crowdFrom() + " a core",
                    kind.crowdLoss(), ""));
        }
        lines.add(Told.file("first tries", fleet.load.perS(), "1/s"));
        lines.add(Told.file("skew of subjects", fleet.subjects.skew(), ""));
        remarks.add("no capture: everything is as the fleet file says");
    }

    public Basis(Fit fit) {
        fleet = fit.fleet;
        this.fit = fit;
        lines.addAll(fit.lines);
        remarks.addAll(fit.remarks);
    }

    /** The demand with {@code factor} times as many first tries. */
    public Demand demand(double factor) {
        return fit == null ? new Demand.Told(fleet.withLoad(fleet.load.perS() * factor)) : fit.times(factor);
    }

    public double perS() {
        return fleet.load.perS();
    }

    /** All that it rests on, as a table. */
    void tell(Answer answer) {
        Answer.Table table = answer.table(TITLE, "what", "value", "from", "to", "unit", "source");
        for (Told line : lines) {
            table.row(line.what(), line.value(), line.low(), line.high(), line.unit(), line.source());
        }
        remarks.forEach(answer::remark);
    }
}
