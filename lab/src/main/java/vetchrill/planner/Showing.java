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

/** Shows answers as text, as JSON, or as one page with nothing outside of it. */
public final class Showing {
    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final int WIDTH = 860;
    private static final int HEIGHT = 380;
    private static final Color[] COLORS = {new Color(0x1b6ca8), new Color(0xc2571a), new Color(0x3a7d44),
        new Color(0x7b4b94), new Color(0xa3861b), new Color(0x4a5568), new Color(0xb83b5e), new Color(0x2a9d8f)};

    private Showing() {
    }

    private static String cell(Object value) {
        if (value instanceof Double number) {
            if (number.isNaN()) {
                return "-";
            }
            if (number.isInfinite()) {
                return number > 0 ? "more" : "less";
            }
            double size = Math.abs(number);
            String digits = size >= 1_000 ? "%.0f" : size >= 100 ? "%.1f" : size >= 10 ? "%.2f" : "%.3f";
            return String.format(Locale.ROOT, digits, number);
        }
        return String.valueOf(value);
    }

    public static String text(Answer answer) {
        StringBuilder text = new StringBuilder();
        text.append(answer.title).append('\n').append("=".repeat(answer.title.length())).append('\n');
        answer.remarks.forEach(remark -> text.append("- ").append(remark).append('\n'));
        for (Answer.Table table : answer.tables) {
            text.append('\n').append(table.title()).append('\n');
            List<String[]> rows = new ArrayList<>();
            rows.add(table.columns().toArray(new String[0]));
            table.rows().forEach(row -> rows.add(row.stream().map(Showing::cell).toArray(String[]::new)));
            int[] widths = new int[table.columns().size()];
            for (String[] row : rows) {
                for (int i = 0; i < row.length; i++) {
                    widths[i] = Math.max(widths[i], row[i].length());
                }
            }
            for (int r = 0; r < rows.size(); r++) {
                StringBuilder line = new StringBuilder("  ");
                for (int i = 0; i < widths.length; i++) {
                    boolean number = r > 0 && table.rows().get(r - 1).get(i) instanceof Number;
                    String pad = " ".repeat(widths[i] - rows.get(r)[i].length());
                    line.append(number ? pad + rows.get(r)[i] : rows.get(r)[i] + pad).append("  ");
                }
                text.append(line.toString().stripTrailing()).append('\n');
            }
        }
        return text.toString();
    }

    public static String json(List<Answer> answers) {
        ArrayNode all = JSON.createArrayNode();
        for (Answer answer : answers) {
            ObjectNode one = all.addObject();
            one.put("title", answer.title).put("holds", answer.holds);
            answer.remarks.forEach(one.putArray("remarks")::add);
            ArrayNode tables = one.putArray("tables");
            for (Answer.Table table : answer.tables) {
                ObjectNode node = tables.addObject();
                node.put("title", table.title());
                ArrayNode rows = node.putArray("rows");
                for (List<Object> row : table.rows()) {
                    ObjectNode cells = rows.addObject();
                    for (int i = 0; i < row.size(); i++) {
                        Object value = row.get(i);
                        if (value instanceof Double number) {
                            if (number.isNaN() || number.isInfinite()) {
                                cells.putNull(table.columns().get(i));
                            } else {
                                cells.put(table.columns().get(i), number);
                            }
                        } else if (value instanceof Integer number) {
                            cells.put(table.columns().get(i), number);
                        } else {
                            cells.put(table.columns().get(i), String.valueOf(value));
                        }
                    }
                }
            }
        }
        try {
            return JSON.writeValueAsString(all) + "\n";
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public static String page(String title, List<Answer> answers) {
        StringBuilder page = new StringBuilder();
        page.append("<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>").append(escaped(title))
                .append("</title>\n<style>\n"
                + "body{font:15px/1.45 system-ui,sans-serif;color:#222;max-width:60rem;margin:2rem "
                + "auto;padding:0 1rem}\n"
                + "h1{font-size:1.6rem}h2{font-size:1.25rem;margin-top:2.5rem;border-bottom:1px solid #ccc}\n"
                + "h3{font-size:1rem;margin-bottom:.3rem}\n"
                + "table{border-collapse:collapse;font-size:.85rem;font-variant-numeric:tabular-nums}\n"
                + "th,td{padding:.2rem .6rem;border-bottom:1px solid #e3e3e3;text-align:left;vertical-align:top}\n"
                + "th{background:#f3f5f7}td.n{text-align:right}\n.w{overflow-x:auto}svg{max-width:100%;height:auto}\n"
                + "</style></head><body>\n<h1>").append(escaped(title)).append("</h1>\n");
        for (Answer answer : answers) {
            page.append("<h2>").append(escaped(answer.title)).append("</h2>\n<ul>\n");
            answer.remarks.forEach(remark -> page.append("<li>").append(escaped(remark)).append("</li>\n"));
            page.append("</ul>\n");
            for (Answer.Chart chart : answer.charts) {
                page.append("<figure>").append(svg(chart)).append("</figure>\n");
            }
            for (Answer.Table table : answer.tables) {
                page.append("<h3>").append(escaped(table.title())).append("</h3>\n<div class=\"w\"><table><tr>");
                table.columns().forEach(column -> page.append("<th>").append(escaped(column)).append("</th>"));
                page.append("</tr>\n");
                for (List<Object> row : table.rows()) {
                    page.append("<tr>");
                    for (Object value : row) {
                        page.append(value instanceof Number ? "<td class=\"n\">" : "<td>")
                                .append(escaped(cell(value))).append("</td>");
                    }
                    page.append("</tr>\n");
                }
                page.append("</table></div>\n");
            }
        }
        return page.append("</body></html>\n").toString();
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
    }

    private static String svg(Answer.Chart chart) {
        YIntervalSeriesCollection data = new YIntervalSeriesCollection();
        for (Answer.Series each : chart.series()) {
            YIntervalSeries line = new YIntervalSeries(each.name());
            for (int i = 0; i < each.x().length; i++) {
                double y = each.y()[i];
                line.add(each.x()[i], y, each.low() == null ? y : each.low()[i], each.high() == null ? y
                        : each.high()[i]);
            }
            data.addSeries(line);
        }
        JFreeChart drawn = ChartFactory.createXYLineChart(chart.title(), chart.xLabel(), chart.yLabel(), data,
                PlotOrientation.VERTICAL, true, false, false);
        XYPlot plot = drawn.getXYPlot();
        DeviationRenderer renderer = new DeviationRenderer(true, false);
        for (int i = 0; i < chart.series().size(); i++) {
            Color color = COLORS[i % COLORS.length];
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
        drawn.setBackgroundPaint(Color.WHITE);
        drawn.getTitle().setFont(new Font(Font.SANS_SERIF, Font.BOLD, 15));
        drawn.getLegend().setFrame(org.jfree.chart.block.BlockBorder.NONE);
        plot.getRangeAxis().setUpperMargin(0.02);
        SVGGraphics2D canvas = new SVGGraphics2D(WIDTH, HEIGHT);
        drawn.draw(canvas, new Rectangle2D.Double(0, 0, WIDTH, HEIGHT));
        return canvas.getSVGElement("c" + Integer.toHexString(chart.title().hashCode()));
    }
}
