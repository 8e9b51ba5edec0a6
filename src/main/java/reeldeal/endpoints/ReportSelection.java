package reeldeal.endpoints;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import reeldeal.core.Searcher;

/**
 * The result of rule 5, which selects among several valid reports of one name in one source.
 * Stateless.
 *
 * @param report the selected report
 * @param address the selected address
 * @param cell the selected cell
 * @param note text that names the selected address and cell, "" if there were no others
 */
record ReportSelection(EndpointReport report, String address, int cell, String note) {
    private record Candidate(EndpointReport report, String address) {}

    /**
     * Selects one report, one address and one cell.
     *
     * <p>Among all pairs of a report and one of its addresses, this order of criteria decides: the
     * lowest priority number, the address that is published now, the highest weight, and the lowest
     * address ({@link #compareAddresses}). The cell is selected separately among the cells of all
     * reports: the published one if a report has it, otherwise the lowest.
     *
     * @param reports valid reports, at least one
     * @param published the searcher as it is published now; null if the name is not published, so
     *     that no address or cell is preferred for being published
     */
    static ReportSelection select(List<EndpointReport> reports, Searcher published) {
        Candidate best = bestCandidate(reports, published == null ? "" : published.address());
        Set<String> addresses = new TreeSet<>();
        Set<Integer> cells = new TreeSet<>();
        for (EndpointReport report : reports) {
            addresses.addAll(report.addresses());
            cells.addAll(report.cells());
        }
        int cell =
                published != null && cells.contains(published.cell())
                        ? published.cell()
                        : cells.iterator().next();
        return new ReportSelection(
                best.report(), best.address(), cell, note(addresses, best.address(), cells, cell));
    }

    private static Candidate bestCandidate(List<EndpointReport> reports, String publishedAddress) {
        return reports.stream()
                .flatMap(report -> report.addresses().stream().map(a -> new Candidate(report, a)))
                .min(
                        Comparator.<Candidate>comparingInt(c -> c.report().priority())
                                .thenComparing(c -> c.address().equals(publishedAddress) ? 0 : 1)
                                .thenComparing(c -> -c.report().weight())
                                .thenComparing(
                                        Candidate::address, ReportSelection::compareAddresses))
                .orElseThrow();
    }

    private static String note(
            Set<String> addresses, String address, Set<Integer> cells, int cell) {
        String note = "";
        if (addresses.size() > 1) {
            note +=
                    "; of the addresses "
                            + String.join(", ", addresses)
                            + " "
                            + address
                            + " counts";
        }
        if (cells.size() > 1) {
            note += "; of the cells " + cells + " " + cell + " counts";
        }
        return note;
    }

    /**
     * Compares numerically if both addresses consist of an IPv4 address and a port, otherwise as
     * text.
     */
    static int compareAddresses(String first, String second) {
        String[] firstParts = first.split("[.:]");
        String[] secondParts = second.split("[.:]");
        if (firstParts.length == 5 && secondParts.length == 5) {
            for (int i = 0; i < 5; i++) {
                if (isNumber(firstParts[i])
                        && isNumber(secondParts[i])
                        && !firstParts[i].equals(secondParts[i])) {
                    return Integer.compare(
                            Integer.parseInt(firstParts[i]), Integer.parseInt(secondParts[i]));
                }
            }
        }
        return first.compareTo(second);
    }

    private static boolean isNumber(String text) {
        return text.matches("[0-9]{1,5}");
    }
}
