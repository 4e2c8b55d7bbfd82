package io.coltsfootwheel.tool;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Text table with left-aligned columns; empty cells are shown as {@code -}. */
final class TextTable {
  private final List<List<String>> rows = new ArrayList<>();

  private TextTable(List<String> header) {
    rows.add(header);
  }

  static TextTable of(String... header) {
    return new TextTable(List.of(header));
  }

  TextTable row(Object... cells) {
    List<String> cellTexts = new ArrayList<>();
    for (Object cell : cells) {
      String text = cell instanceof Double ? "%.2f".formatted(cell) : String.valueOf(cell);
      cellTexts.add(text.isEmpty() ? "-" : text);
    }
    rows.add(cellTexts);
    return this;
  }

  @Override
  public String toString() {
    return rows.stream().map(this::formatRow).collect(Collectors.joining(System.lineSeparator()));
  }

  private String formatRow(List<String> row) {
    StringBuilder line = new StringBuilder();
    for (int column = 0; column < row.size(); column++) {
      int width = width(column);
      line.append(row.get(column)).append(" ".repeat(width - row.get(column).length() + 2));
    }
    return line.toString().stripTrailing();
  }

  private int width(int column) {
    return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
  }
}
