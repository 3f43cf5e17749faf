package org.oleanderspring.bench.query;

import java.util.ArrayList;
import java.util.List;

/** A table that is printed as plain text with right-aligned columns, or as CSV. */
public final class TextTable {
    private static final String COLUMN_SEPARATOR = "  ";

    private final List<List<String>> mRows = new ArrayList<>();

    /**
     * Creates a table.
     *
     * @param headers the column headers
     */
    public TextTable(String... headers) {
        mRows.add(List.of(headers));
    }

    /**
     * Appends a row.
     *
     * @param cells one cell for each column; any other number is rejected
     */
    public void addRow(String... cells) {
        if (cells.length != mRows.get(0).size()) {
            throw new IllegalArgumentException(
                    "row has "
                            + cells.length
                            + " cells, but the table has "
                            + mRows.get(0).size()
                            + " columns");
        }
        mRows.add(List.of(cells));
    }

    /** Returns the table as lines of equal width, the header first. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (List<String> row : mRows) {
            for (int column = 0; column < row.size(); column++) {
                String cell = row.get(column);
                text.append(column == 0 ? "" : COLUMN_SEPARATOR);
                text.append(" ".repeat(width(column) - cell.length())).append(cell);
            }
            text.append('\n');
        }
        return text.toString();
    }

    /**
     * Returns the table as comma-separated values without quoting; cells must not contain commas.
     */
    public String csv() {
        StringBuilder csv = new StringBuilder();
        for (List<String> row : mRows) {
            csv.append(String.join(",", row)).append('\n');
        }
        return csv.toString();
    }

    private int width(int column) {
        int width = 0;
        for (List<String> row : mRows) {
            width = Math.max(width, row.get(column).length());
        }
        return width;
    }
}
