package vetchrill.planner;

import java.util.ArrayList;
import java.util.List;

/** What is said to a question: remarks, tables and charts, to be shown as text, JSON or a page. */
public final class Report {
    /** Cells are texts, or numbers that each showing rounds. */
    public record Table(String title, List<String> columns, List<List<Object>> rows) {
        public void addRow(Object... cells) {
            rows.add(List.of(cells));
        }
    }

    /** One line of a chart; {@code low} and {@code high} hold it nine times of ten, or are null. */
    public record Series(String name, double[] x, double[] y, double[] low, double[] high) {
    }

    public record Chart(String title, String xLabel, String yLabel, List<Series> series) {
    }

    public final String title;
    public final List<String> remarks = new ArrayList<>();
    public final List<Table> tables = new ArrayList<>();
    public final List<Chart> charts = new ArrayList<>();
    /** What was asked for holds; false where a goal can't be met. */
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

    public void addRemark(String text) {
        if (!remarks.contains(text)) {
            remarks.add(text);
        }
    }
}
