package io.coltsfootwheel.tool;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.coltsfootwheel.model.Allowance;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.PlanName;
import io.coltsfootwheel.model.ServiceName;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Reads the lists of plans and allowances from TOML files.
 *
 * <p>The plans are in the table {@code plans}, with one {@code customer = plan} for each customer;
 * the allowance of each plan is in the table {@code allowances.PLAN}.
 */
final class ListsFileReader {
  private static final String PLANS = "plans";
  private static final String ALLOWANCES = "allowances";
  private static final Set<String> ALLOWANCE_FIELDS =
      Set.of("rate-per-second", "burst", "concurrency", "services");
  private static final int MAX_COUNT = 1_000_000;

  private final List<String> faults = new ArrayList<>();
  private final Map<CustomerId, PlanName> plans = new TreeMap<>();
  private final Map<PlanName, Allowance> allowances = new TreeMap<>();
  private final Map<String, String> fileByList = new TreeMap<>();

  private ListsFileReader() {}

  /**
   * Reads and validates the files, which together hold each list once.
   *
   * @throws ToolException with {@link ExitCode#FAILED} and one line for each fault
   */
  static ListContents read(List<Path> files) {
    ListsFileReader reader = new ListsFileReader();
    files.forEach(reader::readFile);
    reader.checkConsistency();
    if (!reader.faults.isEmpty()) {
      throw ToolException.of(ExitCode.FAILED, String.join(System.lineSeparator(), reader.faults));
    }
    return new ListContents(reader.plans, reader.allowances);
  }

  private void readFile(Path file) {
    try {
      JsonNode root = new TomlMapper().readTree(Files.readString(file));
      root.fieldNames().forEachRemaining(name -> readTable(file, name, root.get(name)));
    } catch (JsonProcessingException e) {
      addFault(file, "line " + e.getLocation().getLineNr(), e.getOriginalMessage());
    } catch (IOException e) {
      addFault(file, "(file)", "cannot be read; check the path and its permissions");
    }
  }

  private void readTable(Path file, String name, JsonNode table) {
    if (!name.equals(PLANS) && !name.equals(ALLOWANCES)) {
      addFault(file, name, "is not known; use [plans] and [allowances.PLAN]");
      return;
    }
    if (!table.isObject()) {
      addFault(file, name, "is not a table");
      return;
    }
    String earlierFile = fileByList.putIfAbsent(name, file.toString());
    if (earlierFile != null) {
      addFault(file, name, "is also in " + earlierFile + "; keep each list in one file");
    }
    table
        .fieldNames()
        .forEachRemaining(
            key -> {
              if (name.equals(PLANS)) {
                readPlan(file, key, table.get(key));
              } else {
                readAllowance(file, key, table.get(key));
              }
            });
  }

  private void readPlan(Path file, String key, JsonNode value) {
    String setting = PLANS + "." + key;
    if (!value.isTextual()) {
      addFault(file, setting, value + " is not the name of a plan in quotes");
      return;
    }
    Optional<CustomerId> customer = name(file, setting, key, CustomerId::of);
    Optional<PlanName> plan = name(file, setting, value.asText(), PlanName::of);
    if (customer.isPresent() && plan.isPresent()) {
      plans.put(customer.get(), plan.get());
    }
  }

  private void readAllowance(Path file, String key, JsonNode value) {
    String setting = ALLOWANCES + "." + key;
    if (!value.isObject()) {
      addFault(file, setting, "is not a table");
      return;
    }
    value
        .fieldNames()
        .forEachRemaining(
            field -> {
              if (!ALLOWANCE_FIELDS.contains(field)) {
                addFault(
                    file,
                    setting + "." + field,
                    "is not known; use " + String.join(", ", ALLOWANCE_FIELDS));
              }
            });
    Optional<PlanName> plan = name(file, setting, key, PlanName::of);
    Allowance allowance =
        new Allowance(
            number(file, setting + ".rate-per-second", value.get("rate-per-second")),
            integer(file, setting + ".burst", value.get("burst"), 0),
            integer(file, setting + ".concurrency", value.get("concurrency"), 1),
            services(file, setting + ".services", value.get("services")));
    plan.ifPresent(name -> allowances.put(name, allowance));
  }

  private double number(Path file, String setting, JsonNode node) {
    if (node == null || !node.isNumber() || node.asDouble() <= 0 || node.asDouble() > MAX_COUNT) {
      addFault(file, setting, describe(node) + " is not a number above 0 and at most " + MAX_COUNT);
      return 1;
    }
    return node.asDouble();
  }

  private int integer(Path file, String setting, JsonNode node, int minimum) {
    boolean valid =
        node != null
            && node.isIntegralNumber()
            && node.canConvertToInt()
            && node.asInt() >= minimum
            && node.asInt() <= MAX_COUNT;
    if (!valid) {
      addFault(
          file,
          setting,
          describe(node) + " is not an integer from " + minimum + " to " + MAX_COUNT);
      return minimum;
    }
    return node.asInt();
  }

  private Set<ServiceName> services(Path file, String setting, JsonNode node) {
    Set<ServiceName> services = new HashSet<>();
    if (node == null || !node.isArray() || node.isEmpty()) {
      addFault(file, setting, describe(node) + " is not an array with at least one service");
      return services;
    }
    node.forEach(element -> addService(file, setting, element, services));
    return services;
  }

  private void addService(Path file, String setting, JsonNode element, Set<ServiceName> services) {
    if (!element.isTextual()) {
      addFault(file, setting, element + " is not the name of a service in quotes");
      return;
    }
    name(file, setting, element.asText(), ServiceName::of)
        .filter(service -> !services.add(service))
        .ifPresent(service -> addFault(file, setting, "'" + service + "' is repeated"));
  }

  private <T> Optional<T> name(Path file, String setting, String text, Function<String, T> parse) {
    try {
      return Optional.of(parse.apply(text));
    } catch (ColtsfootwheelException e) {
      addFault(file, setting, e.getMessage());
      return Optional.empty();
    }
  }

  private void checkConsistency() {
    for (String list : List.of(PLANS, ALLOWANCES)) {
      if (!fileByList.containsKey(list) && faults.isEmpty()) {
        faults.add(list + ": no file has it; name the files of both lists");
      }
    }
    plans.forEach(
        (customer, plan) -> {
          if (!allowances.containsKey(plan) && fileByList.containsKey(ALLOWANCES)) {
            faults.add(
                "%s: %s.%s: plan '%s' has no allowance; add [allowances.%s]"
                    .formatted(fileByList.get(PLANS), PLANS, customer, plan, plan));
          }
        });
  }

  private void addFault(Path file, String setting, String fault) {
    faults.add(file + ": " + setting + ": " + fault);
  }

  private static String describe(JsonNode node) {
    return node == null ? "a missing value" : node.toString();
  }
}
