package vetchrill.planner;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.awt.geom.Rectangle2D;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.DeviationRenderer;
import org.jfree.data.xy.YIntervalSeries;
import org.jfree.data.xy.YIntervalSeriesCollection;
import org.jfree.svg.SVGGraphics2D;

/** Renders reports as plain text, as JSON, or as one self-contained HTML page. */
public final class ReportRenderer {
    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final int CHART_WIDTH_PX = 860;
    private static final int CHART_HEIGHT_PX = 380;
    private static final Color[] SERIES_COLORS = {new Color(0x1b6ca8), new Color(0xc2571a), new Color(0x3a7d44),
        new Color(0x7b4b94), new Color(0xa3861b), new Color(0x4a5568), new Color(0xb83b5e), new Color(0x2a9d8f)};

    private ReportRenderer() {
    }

    private static String formatCell(Object value) {
        if (value instanceof Double number) {
            if (number.isNaN()) {
                return "-";
            }
            if (number.isInfinite()) {
                return number > 0 ? "more" : "less";
            }
            double magnitude = Math.abs(number);
            String format = magnitude >= 1_000 ? "%.0f" : magnitude >= 100 ? "%.1f" : magnitude >= 10 ? "%.2f" : "%.3f";
            return String.format(Locale.ROOT, format, number);
        }
        return String.valueOf(value);
    }

    /** Renders one report as plain text with aligned tables. */
    public static String toText(Report report) {
        StringBuilder text = new StringBuilder();
        text.append(report.title).append('\n').append("=".repeat(report.title.length())).append('\n');
        report.remarks.forEach(remark -> text.append("- ").append(remark).append('\n'));
        for (Report.Table table : report.tables) {
            text.append('\n').append(table.title()).append('\n');
            List<String[]> rows = new ArrayList<>();
            rows.add(table.columns().toArray(new String[0]));
            table.rows().forEach(row -> rows.add(row.stream().map(ReportRenderer::formatCell).toArray(String[]::new)));
            int[] widths = new int[table.columns().size()];
            for (String[] row : rows) {
                for (int column = 0; column < row.length; column++) {
                    widths[column] = Math.max(widths[column], row[column].length());
                }
            }
            for (int rowIndex = 0; rowIndex < rows.size(); rowIndex++) {
                StringBuilder line = new StringBuilder("  ");
                for (int column = 0; column < widths.length; column++) {
                    boolean number = rowIndex > 0 && table.rows().get(rowIndex - 1).get(column) instanceof Number;
                    String pad = " ".repeat(widths[column] - rows.get(rowIndex)[column].length());
                    line.append(number ? pad + rows.get(rowIndex)[column] : rows.get(rowIndex)[column] + pad)
                            .append("  ");
                }
                text.append(line.toString().stripTrailing()).append('\n');
            }
        }
        return text.toString();
    }

    /** Renders reports as a JSON array; numbers are not rounded, NaN and infinite values become null. */
    public static String toJson(List<Report> reports) {
        ArrayNode reportNodes = JSON.createArrayNode();
        for (Report report : reports) {
            ObjectNode reportNode = reportNodes.addObject();
            reportNode.put("title", report.title).put("holds", report.goalMet);
            report.remarks.forEach(reportNode.putArray("remarks")::add);
            ArrayNode tables = reportNode.putArray("tables");
            for (Report.Table table : report.tables) {
                ObjectNode tableNode = tables.addObject();
                tableNode.put("title", table.title());
                ArrayNode rows = tableNode.putArray("rows");
                for (List<Object> row : table.rows()) {
                    ObjectNode rowNode = rows.addObject();
                    for (int column = 0; column < row.size(); column++) {
                        Object value = row.get(column);
                        if (value instanceof Double number) {
                            if (number.isNaN() || number.isInfinite()) {
                                rowNode.putNull(table.columns().get(column));
                            } else {
                                rowNode.put(table.columns().get(column), number);
                            }
                        } else if (value instanceof Integer number) {
                            rowNode.put(table.columns().get(column), number);
                        } else {
                            rowNode.put(table.columns().get(column), String.valueOf(value));
                        }
                    }
                }
            }
        }
        try {
            return JSON.writeValueAsString(reportNodes) + "\n";
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Renders reports as an HTML page; charts are embedded as SVG. */
    public static String toHtml(String title, List<Report> reports) {
        StringBuilder html = new StringBuilder();
        html.append("<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(escapeHtml(title))
                .append("</title>\n<style>\n"
                + "body{font:15px/1.45 system-ui,sans-serif;color:#222;max-width:60rem;margin:2rem "
                + "auto;padding:0 1rem}\n"
                + "h1{font-size:1.6rem}h2{font-size:1.25rem;margin-top:2.5rem;border-bottom:1px solid #ccc}\n"
                + "h3{font-size:1rem;margin-bottom:.3rem}\n"
                + "table{border-collapse:collapse;font-size:.85rem;font-variant-numeric:tabular-nums}\n"
                + "th,td{padding:.2rem .6rem;border-bottom:1px solid #e3e3e3;text-align:left;vertical-align:top}\n"
                + "th{background:#f3f5f7}td.n{text-align:right}\n.w{overflow-x:auto}svg{max-width:100%;height:auto}\n"
                + "</style></head><body>\n<h1>").append(escapeHtml(title)).append("</h1>\n");
        for (Report report : reports) {
            html.append("<h2>").append(escapeHtml(report.title)).append("</h2>\n<ul>\n");
            report.remarks.forEach(remark -> html.append("<li>").append(escapeHtml(remark)).append("</li>\n"));
            html.append("</ul>\n");
            for (Report.Chart chart : report.charts) {
                html.append("<figure>").append(toSvg(chart)).append("</figure>\n");
            }
            for (Report.Table table : report.tables) {
                html.append("<h3>").append(escapeHtml(table.title())).append("</h3>\n<div class=\"w\"><table><tr>");
                table.columns().forEach(column -> html.append("<th>").append(escapeHtml(column)).append("</th>"));
                html.append("</tr>\n");
                for (List<Object> row : table.rows()) {
                    html.append("<tr>");
                    for (Object value : row) {
                        html.append(value instanceof Number ? "<td class=\"n\">" : "<td>")
                                .append(escapeHtml(formatCell(value))).append("</td>");
                    }
                    html.append("</tr>\n");
                }
                html.append("</table></div>\n");
            }
        }
        return html.append("</body></html>\n").toString();
    }

    private static String escapeHtml(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
    }

    private static String toSvg(Report.Chart chart) {
        YIntervalSeriesCollection data = new YIntervalSeriesCollection();
        for (Report.Series series : chart.series()) {
            YIntervalSeries intervalSeries = new YIntervalSeries(series.name());
            for (int i = 0; i < series.x().length; i++) {
                double y = series.y()[i];
                intervalSeries.add(series.x()[i], y, series.low() == null ? y : series.low()[i],
                        series.high() == null ? y : series.high()[i]);
            }
            data.addSeries(intervalSeries);
        }
        JFreeChart jfreeChart = ChartFactory.createXYLineChart(chart.title(), chart.xLabel(), chart.yLabel(), data,
                PlotOrientation.VERTICAL, true, false, false);
        XYPlot plot = jfreeChart.getXYPlot();
        DeviationRenderer renderer = new DeviationRenderer(true, false);
        for (int i = 0; i < chart.series().size(); i++) {
            Color color = SERIES_COLORS[i % SERIES_COLORS.length];
            renderer.setSeriesPaint(i, color);
            renderer.setSeriesFillPaint(i, color);
            renderer.setSeriesStroke(i, new BasicStroke(2f));
        }
        renderer.setAlpha(0.15f);
        plot.setRenderer(renderer);
        plot.setBackgroundPaint(Color.WHITE);
        plot.setDomainGridlinePaint(new Color(0xdddddd));
        plot.setRangeGridlinePaint(new Color(0xdddddd));
        plot.setOutlineVisible(false);
        jfreeChart.setBackgroundPaint(Color.WHITE);
        jfreeChart.getTitle().setFont(new Font(Font.SANS_SERIF, Font.BOLD, 15));
        jfreeChart.getLegend().setFrame(org.jfree.chart.block.BlockBorder.NONE);
        plot.getRangeAxis().setUpperMargin(0.02);
        SVGGraphics2D canvas = new SVGGraphics2D(CHART_WIDTH_PX, CHART_HEIGHT_PX);
        jfreeChart.draw(canvas, new Rectangle2D.Double(0, 0, CHART_WIDTH_PX, CHART_HEIGHT_PX));
        return canvas.getSVGElement("c" + Integer.toHexString(chart.title().hashCode()));
    }
}
