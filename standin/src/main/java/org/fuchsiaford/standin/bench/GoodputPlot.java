package org.fuchsiaford.standin.bench;

import java.util.List;
import java.util.Locale;

/** Draws goodput as grouped bars in SVG. Stateless, hence thread-safe. */
final class GoodputPlot {
    private static final int BAR_WIDTH = 14;
    private static final int GROUP_GAP = 24;
    private static final int HEIGHT = 260;
    private static final int MARGIN = 40;
    private static final int LABEL_SPACE = 90;
    private static final List<String> COLORS = List.of("#9aa5b1", "#c3a36b", "#6b9ac3", "#b0305c");

    private GoodputPlot() {}

    static String svg(List<PlacementBench.Row> rows) {
        int policies = PlacementBench.policies().size();
        double highest =
                rows.stream().mapToDouble(r -> r.result().goodputPerSecond()).max().orElse(1);
        int groups = rows.size() / policies;
        int width = 2 * MARGIN + groups * (policies * BAR_WIDTH + GROUP_GAP);
        StringBuilder svg = new StringBuilder();
        svg.append(
                String.format(
                        "<svg xmlns='http://www.w3.org/2000/svg' width='%d' height='%d'"
                                + " font-family='sans-serif' font-size='10'>%n",
                        width, HEIGHT + MARGIN + LABEL_SPACE));
        svg.append(String.format("<text x='%d' y='14'>goodput, answers a second</text>%n", MARGIN));
        for (int i = 0; i < rows.size(); i++) {
            svg.append(bar(rows.get(i), i, policies, highest));
        }
        svg.append(legend(rows, policies));
        return svg.append("</svg>\n").toString();
    }

    private static String bar(PlacementBench.Row row, int index, int policies, double highest) {
        int group = index / policies;
        int inGroup = index % policies;
        int x = MARGIN + group * (policies * BAR_WIDTH + GROUP_GAP) + inGroup * BAR_WIDTH;
        double goodput = row.result().goodputPerSecond();
        int height = (int) Math.round((HEIGHT - MARGIN) * goodput / highest);
        String bar =
                String.format(
                        Locale.ROOT,
                        "<rect x='%d' y='%d' width='%d' height='%d' fill='%s'>"
                                + "<title>%.2f</title></rect>%n",
                        x,
                        HEIGHT - height,
                        BAR_WIDTH - 2,
                        height,
                        COLORS.get(inGroup % COLORS.size()),
                        goodput);
        String label =
                inGroup == 0
                        ? String.format(
                                "<text x='%d' y='%d'>%s</text>%n",
                                x, HEIGHT + 14, row.result().scenario().name())
                        : "";
        return bar + label;
    }

    private static String legend(List<PlacementBench.Row> rows, int policies) {
        StringBuilder legend = new StringBuilder();
        for (int i = 0; i < policies; i++) {
            int y = HEIGHT + 30 + 12 * i;
            legend.append(
                    String.format(
                            "<rect x='%d' y='%d' width='10' height='10' fill='%s'/>"
                                    + "<text x='%d' y='%d'>%s</text>%n",
                            MARGIN, y, COLORS.get(i), MARGIN + 14, y + 9, rows.get(i).policy()));
        }
        return legend.toString();
    }
}
