package vetchrill.auditing;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import vetchrill.audit.HybridLogicalClock;
import vetchrill.audit.AuditEvent;

/** One page to look at: a lane for each instance, by which version it decided, and what staff was told. */
public final class AuditPage {
    private static final int LEFT = 120;
    private static final int WIDTH = 1_400;
    private static final int LANE = 26;
    private static final int TOP = 40;
    private static final int ROUND = 7;

    private record Span(long from, long version, boolean barred) {
    }

    private AuditPage() {
    }

    /** HTML with a drawing in it that needs nothing else. */
    public static String of(Fleetwide fleet) throws IOException {
        List<Fleetwide.Told> all = fleet.timeline();
        Map<String, List<Fleetwide.Told>> lanes = new TreeMap<>();
        all.forEach(each -> lanes.computeIfAbsent(each.name(), any -> new ArrayList<>()).add(each));
        long first = all.isEmpty() ? 0 : HybridLogicalClock.toMillis(all.get(0).row().hybridTime());
        long last = all.isEmpty() ? 1 : HybridLogicalClock.toMillis(all.get(all.size() - 1).row().hybridTime());
        double scale = (double) (WIDTH - LEFT - 20) / Math.max(1, last - first);
        StringBuilder page = new StringBuilder("<!DOCTYPE html>\n<meta charset=\"utf-8\"><title>Versions</title>\n"
                + "<style>body{font:14px sans-serif}text{font:11px sans-serif}td{padding:1px 8px}</style>\n"
                + "<p>One lane an instance; a colour a version, hatched grey while it was shut out. Time is hybrid: a "
                + "clock that is ahead carries the others with it.</p>\n");
        int height = TOP + LANE * lanes.size() + 20;
        page.append(String.format("<svg width=\"%d\" height=\"%d\">%n", WIDTH, height));
        int y = TOP;
        for (Map.Entry<String, List<Fleetwide.Told>> lane : lanes.entrySet()) {
            page.append(String.format("<text x=\"4\" y=\"%d\">%s</text>%n", y + 14, plain(lane.getKey())));
            lane(page, lane.getValue(), first, last, scale, y);
            y += LANE;
        }
        page.append("</svg>\n<table>\n");
        for (Fleetwide.Told each : all) {
            AuditEvent row = each.row();
            if (row.kind() == AuditEvent.Kind.EVENT && !row.text().equals("HEARD") && !row.text().equals("TAKEN")) {
                page.append(String.format(Locale.ROOT, "<tr><td>%.3f s<td>%s<td>%s<td>version %d<td>%s%n",
                        (HybridLogicalClock.toMillis(row.hybridTime()) - first) / 1e3, plain(each.name()),
                        plain(row.text()),
                        row.version(), plain(row.detail())));
            }
        }
        return page.append("</table>\n").toString();
    }

    private static void lane(StringBuilder page, List<Fleetwide.Told> told, long first, long last, double scale,
            int y) {
        List<Span> spans = new ArrayList<>();
        long version = 0;
        boolean barred = false;
        for (Fleetwide.Told each : told) {
            AuditEvent row = each.row();
            long at = HybridLogicalClock.toMillis(row.hybridTime());
            if (row.kind() == AuditEvent.Kind.LIFE || row.kind() == AuditEvent.Kind.END) {
                barred = true;
            } else if (row.kind() == AuditEvent.Kind.TAKEN) {
                version = row.version();
            } else if (row.kind() == AuditEvent.Kind.EVENT && row.text().equals("BARRED")) {
                barred = true;
            } else if (row.kind() == AuditEvent.Kind.EVENT && row.text().equals("FREE")) {
                barred = false;
            } else {
                continue;
            }
            spans.add(new Span(at, version, barred));
        }
        for (int i = 0; i < spans.size(); i++) {
            Span span = spans.get(i);
            long to = i + 1 < spans.size() ? spans.get(i + 1).from() : last;
            page.append(String.format(Locale.ROOT, "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\">"
                    + "<title>version %d%s</title></rect>%n", LEFT + (span.from() - first) * scale, y,
                    Math.max(0.5, (to - span.from()) * scale), LANE - 8, span.barred() ? "#bbb" : "hsl("
                    + span.version() * 67 % 360 + ",60%,65%)", span.version(), span.barred() ? ", shut out" : ""));
            if (!span.barred() && (to - span.from()) * scale > 14) {
                page.append(String.format(Locale.ROOT, "<text x=\"%.1f\" y=\"%d\">%d</text>%n", LEFT + 3
                        + (span.from() - first) * scale, y + 13, span.version()));
            }
        }
        for (Fleetwide.Told each : told) {
            AuditEvent row = each.row();
            boolean bad = row.kind() == AuditEvent.Kind.EVENT && List.of("FORK", "STOPPED", "REFUSED", "DISK", "BEHIND")
                    .contains(row.text());
            if (bad || row.kind() == AuditEvent.Kind.LIFE || row.kind() == AuditEvent.Kind.LEFT_OUT) {
                page.append(String.format(Locale.ROOT, "<circle cx=\"%.1f\" cy=\"%d\" r=\"%d\" fill=\"%s\"><title>%s "
                        + "%s</title></circle>%n", LEFT + (HybridLogicalClock.toMillis(row.hybridTime()) - first)
                        * scale,
                        y + LANE - 6, ROUND / 2, bad ? "#c00" : row.kind() == AuditEvent.Kind.LIFE ? "#060" : "#c80",
                        row.kind() == AuditEvent.Kind.EVENT ? plain(row.text()) : row.kind(), plain(row.detail())));
            }
        }
    }

    private static String plain(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace("\"", "&quot;");
    }
}
