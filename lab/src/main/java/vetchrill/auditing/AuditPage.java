package vetchrill.auditing;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import vetchrill.audit.AuditEvent;
import vetchrill.audit.HybridLogicalClock;

/** Renders an HTML page: by instance the active version over time, and the notices to staff. */
public final class AuditPage {
    private static final int LEFT_MARGIN_PX = 120;
    private static final int WIDTH_PX = 1_400;
    private static final int LANE_HEIGHT_PX = 26;
    private static final int TOP_MARGIN_PX = 40;
    private static final int MARKER_DIAMETER_PX = 7;

    /** From this time on the instance had that active version, and was fenced or not. */
    private record Span(long fromMs, long version, boolean fenced) {
    }

    private AuditPage() {
    }

    /** A self-contained HTML page with an SVG chart. */
    public static String render(FleetAudit fleet) throws IOException {
        List<FleetAudit.InstanceEvent> events = fleet.timeline();
        Map<String, List<FleetAudit.InstanceEvent>> lanes = new TreeMap<>();
        events.forEach(each -> lanes.computeIfAbsent(each.instance(), any -> new ArrayList<>()).add(each));
        long firstMs = events.isEmpty() ? 0 : HybridLogicalClock.toMillis(events.get(0).event().hybridTime());
        long lastMs = events.isEmpty() ? 1
                : HybridLogicalClock.toMillis(events.get(events.size() - 1).event().hybridTime());
        double pxPerMs = (double) (WIDTH_PX - LEFT_MARGIN_PX - 20) / Math.max(1, lastMs - firstMs);
        StringBuilder page = new StringBuilder("<!DOCTYPE html>\n<meta charset=\"utf-8\"><title>Versions</title>\n"
                + "<style>body{font:14px sans-serif}text{font:11px sans-serif}td{padding:1px 8px}</style>\n"
                + "<p>One lane per instance, one colour per version, grey while the instance was fenced or not "
                + "running. Times are hybrid: a clock that is ahead moves the others forward.</p>\n");
        int height = TOP_MARGIN_PX + LANE_HEIGHT_PX * lanes.size() + 20;
        page.append(String.format("<svg width=\"%d\" height=\"%d\">%n", WIDTH_PX, height));
        int y = TOP_MARGIN_PX;
        for (Map.Entry<String, List<FleetAudit.InstanceEvent>> lane : lanes.entrySet()) {
            page.append(String.format("<text x=\"4\" y=\"%d\">%s</text>%n", y + 14, escapeHtml(lane.getKey())));
            appendLane(page, lane.getValue(), firstMs, lastMs, pxPerMs, y);
            y += LANE_HEIGHT_PX;
        }
        page.append("</svg>\n<table>\n");
        for (FleetAudit.InstanceEvent each : events) {
            AuditEvent event = each.event();
            if (event.kind() == AuditEvent.Kind.EVENT && !event.text().equals("HEARD")
                    && !event.text().equals("TAKEN")) {
                page.append(String.format(Locale.ROOT, "<tr><td>%.3f s<td>%s<td>%s<td>version %d<td>%s%n",
                        (HybridLogicalClock.toMillis(event.hybridTime()) - firstMs) / 1e3, escapeHtml(each.instance()),
                        escapeHtml(event.text()), event.version(), escapeHtml(event.detail())));
            }
        }
        return page.append("</table>\n").toString();
    }

    private static void appendLane(StringBuilder page, List<FleetAudit.InstanceEvent> events, long firstMs,
            long lastMs, double pxPerMs, int y) {
        List<Span> spans = new ArrayList<>();
        long version = 0;
        boolean fenced = false;
        for (FleetAudit.InstanceEvent each : events) {
            AuditEvent event = each.event();
            long timeMs = HybridLogicalClock.toMillis(event.hybridTime());
            if (event.kind() == AuditEvent.Kind.LIFE || event.kind() == AuditEvent.Kind.END) {
                fenced = true;
            } else if (event.kind() == AuditEvent.Kind.TAKEN) {
                version = event.version();
            } else if (event.kind() == AuditEvent.Kind.EVENT && event.text().equals("BARRED")) {
                fenced = true;
            } else if (event.kind() == AuditEvent.Kind.EVENT && event.text().equals("FREE")) {
                fenced = false;
            } else {
                continue;
            }
            spans.add(new Span(timeMs, version, fenced));
        }
        for (int i = 0; i < spans.size(); i++) {
            Span span = spans.get(i);
            long endMs = i + 1 < spans.size() ? spans.get(i + 1).fromMs() : lastMs;
            page.append(String.format(Locale.ROOT, "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\">"
                    + "<title>version %d%s</title></rect>%n", LEFT_MARGIN_PX + (span.fromMs() - firstMs) * pxPerMs, y,
                    Math.max(0.5, (endMs - span.fromMs()) * pxPerMs), LANE_HEIGHT_PX - 8,
                    span.fenced() ? "#bbb" : "hsl(" + span.version() * 67 % 360 + ",60%,65%)", span.version(),
                    span.fenced() ? ", fenced" : ""));
            if (!span.fenced() && (endMs - span.fromMs()) * pxPerMs > 14) {
                page.append(String.format(Locale.ROOT, "<text x=\"%.1f\" y=\"%d\">%d</text>%n", LEFT_MARGIN_PX + 3
                        + (span.fromMs() - firstMs) * pxPerMs, y + 13, span.version()));
            }
        }
        for (FleetAudit.InstanceEvent each : events) {
            AuditEvent event = each.event();
            boolean failure = event.kind() == AuditEvent.Kind.EVENT
                    && List.of("FORK", "STOPPED", "REFUSED", "DISK", "BEHIND").contains(event.text());
            if (failure || event.kind() == AuditEvent.Kind.LIFE || event.kind() == AuditEvent.Kind.LEFT_OUT) {
                page.append(String.format(Locale.ROOT, "<circle cx=\"%.1f\" cy=\"%d\" r=\"%d\" fill=\"%s\"><title>%s "
                        + "%s</title></circle>%n",
                        LEFT_MARGIN_PX + (HybridLogicalClock.toMillis(event.hybridTime()) - firstMs) * pxPerMs,
                        y + LANE_HEIGHT_PX - 6, MARKER_DIAMETER_PX / 2,
                        failure ? "#c00" : event.kind() == AuditEvent.Kind.LIFE ? "#060" : "#c80",
                        event.kind() == AuditEvent.Kind.EVENT ? escapeHtml(event.text()) : event.kind(),
                        escapeHtml(event.detail())));
            }
        }
    }

    private static String escapeHtml(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace("\"", "&quot;");
    }
}
