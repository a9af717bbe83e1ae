package org.fuchsiaford.standin.bench;

import java.util.List;
import java.util.Locale;

/** Draws goodput as a grouped bar chart in SVG. Thread-safe. */
final class GoodputPlot {
    private static final int BAR_WIDTH_PX = 14;
    private static final int GROUP_GAP_PX = 24;
    private static final int HEIGHT_PX = 260;
    private static final int MARGIN_PX = 40;
    private static final int LABEL_HEIGHT_PX = 90;
    private static final List<String> COLORS = List.of("#9aa5b1", "#c3a36b", "#6b9ac3", "#b0305c");

    private GoodputPlot() {}

    static String svg(List<PlacementBench.Row> rows) {
        int policies = PlacementBench.policies().size();
        double maxGoodput =
                rows.stream().mapToDouble(r -> r.result().goodputPerSecond()).max().orElse(1);
        int groups = rows.size() / policies;
        int width = 2 * MARGIN_PX + groups * (policies * BAR_WIDTH_PX + GROUP_GAP_PX);
        StringBuilder svg = new StringBuilder();
        svg.append(
                String.format(
                        "<svg xmlns='http://www.w3.org/2000/svg' width='%d' height='%d'"
                                + " font-family='sans-serif' font-size='10'>%n",
                        width, HEIGHT_PX + MARGIN_PX + LABEL_HEIGHT_PX));
        svg.append(
                String.format(
                        "<text x='%d' y='14'>goodput, responses per second</text>%n", MARGIN_PX));
        for (int i = 0; i < rows.size(); i++) {
            svg.append(bar(rows.get(i), i, policies, maxGoodput));
        }
        svg.append(legend(rows, policies));
        return svg.append("</svg>\n").toString();
    }

    private static String bar(PlacementBench.Row row, int index, int policies, double maxGoodput) {
        int group = index / policies;
        int indexInGroup = index % policies;
        int x =
                MARGIN_PX
                        + group * (policies * BAR_WIDTH_PX + GROUP_GAP_PX)
                        + indexInGroup * BAR_WIDTH_PX;
        double goodput = row.result().goodputPerSecond();
        int height = (int) Math.round((HEIGHT_PX - MARGIN_PX) * goodput / maxGoodput);
        String bar =
                String.format(
                        Locale.ROOT,
                        "<rect x='%d' y='%d' width='%d' height='%d' fill='%s'>"
                                + "<title>%.2f</title></rect>%n",
                        x,
                        HEIGHT_PX - height,
                        BAR_WIDTH_PX - 2,
                        height,
                        COLORS.get(indexInGroup % COLORS.size()),
                        goodput);
        String label =
                indexInGroup == 0
                        ? String.format(
                                "<text x='%d' y='%d'>%s</text>%n",
                                x, HEIGHT_PX + 14, row.result().scenario().name())
                        : "";
        return bar + label;
    }

    private static String legend(List<PlacementBench.Row> rows, int policies) {
        StringBuilder legend = new StringBuilder();
        for (int i = 0; i < policies; i++) {
            int y = HEIGHT_PX + 30 + 12 * i;
            legend.append(
                    String.format(
                            "<rect x='%d' y='%d' width='10' height='10' fill='%s'/>"
                                    + "<text x='%d' y='%d'>%s</text>%n",
                            MARGIN_PX,
                            y,
                            COLORS.get(i),
                            MARGIN_PX + 14,
                            y + 9,
                            rows.get(i).policy()));
        }
        return legend.toString();
    }
}
