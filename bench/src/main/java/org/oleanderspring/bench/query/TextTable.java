package org.oleanderspring.bench.query;

import java.util.ArrayList;
import java.util.List;

/** A table with right-aligned columns, as plain text and as CSV. */
public final class TextTable {
    private static final String GAP = "  ";

    private final List<List<String>> mRows = new ArrayList<>();

    /**
     * Creates a table.
     *
     * @param headers the names of the columns
     */
    public TextTable(String... headers) {
        mRows.add(List.of(headers));
    }

    /**
     * Appends a row.
     *
     * @param cells as many as there are columns
     */
    public void add(String... cells) {
        if (cells.length != mRows.get(0).size()) {
            throw new IllegalArgumentException("row has " + cells.length + " cells");
        }
        mRows.add(List.of(cells));
    }

    /** Returns the table as lines of equal width. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (List<String> row : mRows) {
            for (int column = 0; column < row.size(); column++) {
                String cell = row.get(column);
                text.append(column == 0 ? "" : GAP);
                text.append(" ".repeat(width(column) - cell.length())).append(cell);
            }
            text.append('\n');
        }
        return text.toString();
    }

    /** Returns the table as comma-separated values; cells must not contain commas. */
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
