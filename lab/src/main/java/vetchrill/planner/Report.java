package vetchrill.planner;

import java.util.ArrayList;
import java.util.List;

/** The result of one planning question: remarks, tables and charts. {@link ReportRenderer} writes it out. */
public final class Report {
    /** Cells are strings, or numbers, which are rounded only when a table is rendered as text or HTML. */
    public record Table(String title, List<String> columns, List<List<Object>> rows) {
        public void addRow(Object... cells) {
            rows.add(List.of(cells));
        }
    }

    /** One line of a chart; {@code low} and {@code high} are its 90% confidence limits, or null. */
    public record Series(String name, double[] x, double[] y, double[] low, double[] high) {
    }

    public record Chart(String title, String xLabel, String yLabel, List<Series> series) {
    }

    public final String title;
    public final List<String> remarks = new ArrayList<>();
    public final List<Table> tables = new ArrayList<>();
    public final List<Chart> charts = new ArrayList<>();
    /** Whether the plan meets its goal; true for reports without one. */
    public boolean goalMet = true;

    public Report(String title) {
        this.title = title;
    }

    public Table addTable(String title, String... columns) {
        Table table = new Table(title, List.of(columns), new ArrayList<>());
        tables.add(table);
        return table;
    }

    public Chart addChart(String title, String xLabel, String yLabel) {
        Chart chart = new Chart(title, xLabel, yLabel, new ArrayList<>());
        charts.add(chart);
        return chart;
    }

    /** Adds a remark unless the report already has the same text. */
    public void addRemark(String text) {
        if (!remarks.contains(text)) {
            remarks.add(text);
        }
    }
}
