package reeldeal.searchers;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Parses a searcher's load report, {@code name=value} pairs joined by commas. */
final class LoadReport {
    /** The text that stands for no load report. */
    static final String NONE = "-";

    /** The result of parsing if the report is missing or malformed. */
    static final double[] NO_VALUES = {};

    private static final String ERROR = "err";

    /** Maps column names that the settings may use to the field names in searchers' reports. */
    private static final Map<String, String> FIELD_BY_COLUMN =
            Map.of(
                    "cpu",
                    "util",
                    "waiting",
                    "queue",
                    "active",
                    "inflight",
                    "avg_ms",
                    "latency_ms",
                    "rps",
                    "qps",
                    "err_rps",
                    "eps");

    private LoadReport() {}

    /**
     * Returns the values in the order of the columns, or {@link #NO_VALUES} if any is missing or
     * malformed.
     */
    static double[] parse(String report, List<String> columns) {
        if (columns.isEmpty() || report.equals(NONE) || report.equals(ERROR)) {
            return NO_VALUES;
        }
        Map<String, String> fields = parseFields(report);
        double[] values = new double[columns.size()];
        for (int i = 0; i < values.length; i++) {
            String text = fieldOf(columns.get(i), fields);
            if (text == null) {
                return NO_VALUES;
            }
            try {
                values[i] = Double.parseDouble(text);
            } catch (NumberFormatException e) {
                return NO_VALUES;
            }
        }
        return values;
    }

    private static Map<String, String> parseFields(String report) {
        Map<String, String> fields = new HashMap<>();
        for (String pair : report.split(",")) {
            int equalsSign = pair.indexOf('=');
            if (equalsSign > 0) {
                fields.put(pair.substring(0, equalsSign), pair.substring(equalsSign + 1));
            }
        }
        return fields;
    }

    private static String fieldOf(String column, Map<String, String> fields) {
        String text = fields.get(column);
        return text == null ? fields.get(FIELD_BY_COLUMN.get(column)) : text;
    }
}
