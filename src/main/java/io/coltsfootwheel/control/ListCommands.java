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

/** Applies the operators' changes of the lists of plans and allowances. */
final class ListCommands {
  private static final int MAX_DIFFERENCES = 20;
  private static final int MAX_ERRORS = 100;
  private static final int MAX_CHANGE_ID_LENGTH = 128;

  private final StateEditor editor;

  ListCommands(StateEditor editor) {
    this.editor = editor;
  }

  CommandResult apply(Command.ApplyLists command) {
    String id = command.changeId();
    if (id == null || id.isBlank() || id.length() > MAX_CHANGE_ID_LENGTH) {
      return rejected(
          ErrorKind.INVALID_VALUE,
          "a change identity has 1 to " + MAX_CHANGE_ID_LENGTH + " characters");
    }
    Optional<CommandResult> previous = editor.changes().firstResult(id);
    if (previous.isPresent()) {
      return previous.get();
    }
    CommandResult result = applyNew(command);
    editor.recordResult(id, result);
    return result;
  }

  private CommandResult applyNew(Command.ApplyLists command) {
    long revision = editor.lists().revision();
    if (command.baseRevision() != revision) {
      return new CommandResult.Conflict(revision, command.baseRevision(), differences(command));
    }
    List<String> errors = errors(command);
    if (!errors.isEmpty()) {
      return rejected(ErrorKind.INVALID_VALUE, String.join("; ", errors));
    }
    editor.replaceLists(new PolicyLists(editor.index(), command.plans(), command.allowances()));
    return new CommandResult.Accepted(editor.index());
  }

  private List<String> errors(Command.ApplyLists command) {
    List<String> errors = new ArrayList<>();
    command.plans().entrySet().stream()
        .filter(entry -> !command.allowances().containsKey(entry.getValue()))
        .map(
            entry ->
                "customer " + entry.getKey() + ": plan " + entry.getValue() + " has no allowance")
        .forEach(errors::add);
    command.allowances().forEach((plan, allowance) -> addErrors(errors, plan, allowance));
    return errors.stream().sorted().limit(MAX_ERRORS).toList();
  }

  private void addErrors(List<String> errors, PlanName plan, Allowance allowance) {
    if (!(allowance.ratePerSecond() > 0) || Double.isInfinite(allowance.ratePerSecond())) {
      errors.add("plan " + plan + ": ratePerSecond must be above 0");
    }
    if (allowance.burst() < 1) {
      errors.add("plan " + plan + ": burst must be at least 1");
    }
    if (allowance.concurrency() < 1) {
      errors.add("plan " + plan + ": concurrency must be at least 1");
    }
    for (ServiceName service : allowance.services()) {
      if (!editor.services().contains(service)) {
        errors.add("plan " + plan + ": service " + service + " is not known");
      }
    }
  }

  private List<String> differences(Command.ApplyLists command) {
    List<String> lines = new ArrayList<>();
    addDifferences(lines, "customer ", editor.lists().plans(), command.plans());
    addDifferences(lines, "plan ", editor.lists().allowances(), command.allowances());
    return lines.size() <= MAX_DIFFERENCES ? lines : truncated(lines);
  }

  private static List<String> truncated(List<String> lines) {
    List<String> kept = new ArrayList<>(lines.subList(0, MAX_DIFFERENCES - 1));
    kept.add("and " + (lines.size() - kept.size()) + " more");
    return kept;
  }

  private static <K extends Comparable<K>, V> void addDifferences(
      List<String> lines, String kind, Map<K, V> current, Map<K, V> proposed) {
    TreeSet<K> keys = new TreeSet<>(current.keySet());
    keys.addAll(proposed.keySet());
    for (K key : keys) {
      V currentValue = current.get(key);
      V proposedValue = proposed.get(key);
      if (!Objects.equals(currentValue, proposedValue)) {
        lines.add(kind + key + ": " + display(currentValue) + " -> " + display(proposedValue));
      }
    }
  }

  private static String display(Object value) {
    return value == null ? "none" : value.toString();
  }
}
