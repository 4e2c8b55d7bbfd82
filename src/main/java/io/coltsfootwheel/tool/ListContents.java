package io.coltsfootwheel.tool;

import io.coltsfootwheel.api.OperatorApi;
import io.coltsfootwheel.model.Allowance;
import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.PlanName;
import io.coltsfootwheel.model.ServiceName;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Contents of the lists of plans and allowances, sorted by name.
 *
 * @param plans plan of each customer
 * @param allowances allowance of each plan
 */
record ListContents(Map<CustomerId, PlanName> plans, Map<PlanName, Allowance> allowances) {
  ListContents {
    plans = new TreeMap<>(plans);
    allowances = new TreeMap<>(allowances);
  }

  static ListContents of(OperatorApi.Lists lists) {
    return new ListContents(lists.plans(), lists.allowances());
  }

  /**
   * Returns one line for each entry that differs: {@code -} if only these lists have it, {@code +}
   * if only the other lists have it, {@code ~} if its value differs.
   */
  List<String> differencesTo(ListContents other) {
    List<String> lines = new ArrayList<>();
    addDifferences("plan of customer", plans, other.plans, PlanName::toString, lines);
    addDifferences("allowance of plan", allowances, other.allowances, ListContents::text, lines);
    return lines;
  }

  /**
   * Returns the SHA-256 digest of the contents and the base revision, in hexadecimal. Digests are
   * equal only if both the contents and the base revision are equal.
   */
  String digest(long baseRevision) {
    try {
      byte[] bytes = (baseRevision + "\n" + toml()).getBytes(StandardCharsets.UTF_8);
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns both lists as TOML. */
  String toml() {
    return plansToml() + "\n" + allowancesToml();
  }

  String plansToml() {
    StringBuilder text = new StringBuilder("[plans]\n");
    plans.forEach((customer, plan) -> text.append("\"%s\" = \"%s\"\n".formatted(customer, plan)));
    return text.toString();
  }

  String allowancesToml() {
    if (allowances.isEmpty()) {
      return "[allowances]\n";
    }
    return allowances.entrySet().stream()
        .map(entry -> allowanceToml(entry.getKey(), entry.getValue()))
        .collect(Collectors.joining("\n"));
  }

  private static String allowanceToml(PlanName plan, Allowance allowance) {
    return """
        [allowances."%s"]
        rate-per-second = %s
        burst = %d
        concurrency = %d
        services = [%s]
        """
        .formatted(
            plan,
            Double.toString(allowance.ratePerSecond()),
            allowance.burst(),
            allowance.concurrency(),
            sorted(allowance).stream()
                .map(service -> '"' + service.value() + '"')
                .collect(Collectors.joining(", ")));
  }

  private static String text(Allowance allowance) {
    return "%s/s, burst %d, concurrency %d, services %s"
        .formatted(
            allowance.ratePerSecond(),
            allowance.burst(),
            allowance.concurrency(),
            sorted(allowance));
  }

  private static SortedSet<ServiceName> sorted(Allowance allowance) {
    return new TreeSet<>(allowance.services());
  }

  private static <K, V> void addDifferences(
      String label, Map<K, V> left, Map<K, V> right, Function<V, String> text, List<String> lines) {
    left.forEach(
        (key, value) -> {
          V other = right.get(key);
          if (other == null) {
            lines.add("- %s %s: %s".formatted(label, key, text.apply(value)));
          } else if (!other.equals(value)) {
            lines.add(
                "~ %s %s: %s -> %s".formatted(label, key, text.apply(value), text.apply(other)));
          }
        });
    right.forEach(
        (key, value) -> {
          if (!left.containsKey(key)) {
            lines.add("+ %s %s: %s".formatted(label, key, text.apply(value)));
          }
        });
  }
}
