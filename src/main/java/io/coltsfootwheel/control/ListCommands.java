package io.coltsfootwheel.control;

import static io.coltsfootwheel.control.CommandApplier.rejected;

import io.coltsfootwheel.model.Allowance;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.PlanName;
import io.coltsfootwheel.model.PolicyLists;
import io.coltsfootwheel.model.ServiceName;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;

/** Operators' changes of the lists. */
final class ListCommands {
  private static final int MAX_DIFFERENCES = 20;
  private static final int MAX_FAULTS = 100;
  private static final int MAX_CHANGE_ID = 128;

  private final StateEditor editor;

  ListCommands(StateEditor editor) {
    this.editor = editor;
  }

  CommandResult apply(Command.ApplyLists command) {
    String id = command.changeId();
    if (id == null || id.isBlank() || id.length() > MAX_CHANGE_ID) {
      return rejected(
          ErrorKind.INVALID_VALUE, "a change identity has 1 to " + MAX_CHANGE_ID + " characters");
    }
    Optional<CommandResult> first = editor.changes().first(id);
    if (first.isPresent()) {
      return first.get();
    }
    CommandResult result = applyFirst(command);
    editor.remember(id, result);
    return result;
  }

  private CommandResult applyFirst(Command.ApplyLists command) {
    long revision = editor.lists().revision();
    if (command.baseRevision() != revision) {
      return new CommandResult.Conflict(revision, command.baseRevision(), differences(command));
    }
    List<String> faults = faults(command);
    if (!faults.isEmpty()) {
      return rejected(ErrorKind.INVALID_VALUE, String.join("; ", faults));
    }
    editor.replace(new PolicyLists(editor.index(), command.plans(), command.allowances()));
    return new CommandResult.Accepted(editor.index());
  }

  private List<String> faults(Command.ApplyLists command) {
    List<String> faults = new ArrayList<>();
    command.plans().entrySet().stream()
        .filter(e -> !command.allowances().containsKey(e.getValue()))
        .map(e -> "customer " + e.getKey() + ": plan " + e.getValue() + " has no allowance")
        .forEach(faults::add);
    command.allowances().forEach((plan, allowance) -> addFaults(faults, plan, allowance));
    return faults.stream().sorted().limit(MAX_FAULTS).toList();
  }

  private void addFaults(List<String> faults, PlanName plan, Allowance allowance) {
    if (!(allowance.ratePerSecond() > 0) || Double.isInfinite(allowance.ratePerSecond())) {
      faults.add("plan " + plan + ": ratePerSecond must be above 0");
    }
    if (allowance.burst() < 1) {
      faults.add("plan " + plan + ": burst must be at least 1");
    }
    if (allowance.concurrency() < 1) {
      faults.add("plan " + plan + ": concurrency must be at least 1");
    }
    for (ServiceName service : allowance.services()) {
      if (!editor.services().contains(service)) {
        faults.add("plan " + plan + ": service " + service + " is not known");
      }
    }
  }

  private List<String> differences(Command.ApplyLists command) {
    List<String> lines = new ArrayList<>();
    addDifferences(lines, "customer ", editor.lists().plans(), command.plans());
    addDifferences(lines, "plan ", editor.lists().allowances(), command.allowances());
    return lines.size() <= MAX_DIFFERENCES ? lines : shortened(lines);
  }

  private static List<String> shortened(List<String> lines) {
    List<String> kept = new ArrayList<>(lines.subList(0, MAX_DIFFERENCES - 1));
    kept.add("and " + (lines.size() - kept.size()) + " more");
    return kept;
  }

  private static <K extends Comparable<K>, V> void addDifferences(
      List<String> lines, String kind, Map<K, V> current, Map<K, V> proposed) {
    TreeSet<K> keys = new TreeSet<>(current.keySet());
    keys.addAll(proposed.keySet());
    for (K key : keys) {
      V was = current.get(key);
      V would = proposed.get(key);
      if (!Objects.equals(was, would)) {
        lines.add(kind + key + ": " + text(was) + " -> " + text(would));
      }
    }
  }

  private static String text(Object value) {
    return value == null ? "none" : value.toString();
  }
}
