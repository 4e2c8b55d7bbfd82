package io.coltsfootwheel.tool;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Table with aligned columns. */
final class TextTable {
  private final List<List<String>> rows = new ArrayList<>();

  private TextTable(List<String> head) {
    rows.add(head);
  }

  static TextTable of(String... head) {
    return new TextTable(List.of(head));
  }

  TextTable row(Object... cells) {
    List<String> texts = new ArrayList<>();
    for (Object cell : cells) {
      String text = cell instanceof Double ? "%.2f".formatted(cell) : String.valueOf(cell);
      texts.add(text.isEmpty() ? "-" : text);
    }
    rows.add(texts);
    return this;
  }

  @Override
  public String toString() {
    return rows.stream().map(this::line).collect(Collectors.joining(System.lineSeparator()));
  }

  private String line(List<String> row) {
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
