package io.coltsfootwheel.tool;

import io.coltsfootwheel.model.Address;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.UUID;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Sends load to a cluster and prints a summary of the results. */
final class LoadCommand implements Subcommand {
  private static final int MAX_RATE = 40_000;
  private static final int MAX_DURATION_SECONDS = 3_600;
  private static final int MAX_REQUESTS = 5_000_000;
  private static final int MAX_KEYS = 1_000_000;
  private static final int MAX_DEADLINE_MILLIS = 60_000;

  private final Options options =
      new Options()
          .addOption(
              CommandOptions.option("entry", "IP:PORT", "HTTP address of an instance, repeatable"))
          .addOption(CommandOptions.option("keyed-service", "S", "keyed service to call"))
          .addOption(CommandOptions.option("unkeyed-service", "S", "unkeyed service to call"))
          .addOption(
              CommandOptions.option(
                  "unkeyed-share", "X", "share of unkeyed requests (default 0.2)"))
          .addOption(CommandOptions.option("rate", "N", "requests per second (default 100)"))
          .addOption(
              CommandOptions.option("duration-seconds", "N", "length of the run (default 10)"))
          .addOption(CommandOptions.option("keys", "N", "distinct keys (default 1000)"))
          .addOption(CommandOptions.option("zipf", "X", "skew of keys, 0 is uniform (default 0)"))
          .addOption(
              CommandOptions.option(
                  "non-idempotent-share",
                  "X",
                  "share of requests that carry an identity (default 0.5)"))
          .addOption(CommandOptions.option("deadline-millis", "N", "deadline (default 10000)"))
          .addOption(
              CommandOptions.option(
                  "in-time-millis", "N", "highest latency that is in time (default 1000)"))
          .addOption(
              CommandOptions.option(
                  "resend-not-run",
                  "N",
                  "maximum resends of a request that was not run (default 0)"))
          .addOption(CommandOptions.option("seed", "N", "seed of random choices (default 1)"))
          .addOption(CommandOptions.option("customer", "NAME", "customer of the requests"))
          .addOption(CommandOptions.option("record", "FILE", "write one JSON line per request"))
          .addOption(CommandOptions.flag(CommandOptions.JSON, "print the summary as JSON"));

  @Override
  public String name() {
    return "load";
  }

  @Override
  public String summary() {
    return "Sends requests at a fixed rate and prints a summary of the results.";
  }

  @Override
  public String arguments() {
    return "";
  }

  @Override
  public Options options() {
    return options;
  }

  @Override
  public ExitCode run(CommandLine line, Console console) {
    LoadPlan plan = plan(line);
    List<RequestRecord> records = runPlan(plan);
    if (line.hasOption("record")) {
      writeRecords(Path.of(line.getOptionValue("record")), records);
    }
    LoadSummary summary = LoadSummary.of(records);
    boolean json = line.hasOption(CommandOptions.JSON);
    console.out().println(json ? ToolJson.toPrettyJson(summary) : summary.text());
    return ExitCode.OK;
  }

  private static List<RequestRecord> runPlan(LoadPlan plan) {
    try {
      return new LoadDriver(plan).run();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw ToolException.of(ExitCode.FAILED, "the load run was interrupted");
    }
  }

  static LoadPlan plan(CommandLine line) {
    if (!line.getArgList().isEmpty() || !line.hasOption("entry")) {
      throw ToolException.usage("load takes at least one --entry and no arguments");
    }
    List<Address> entries =
        Arrays.stream(line.getOptionValues("entry")).map(CommandOptions::address).toList();
    LoadPlan plan =
        new LoadPlan(
            entries,
            line.getOptionValue("keyed-service", ""),
            line.getOptionValue("unkeyed-service", ""),
            CommandOptions.decimal(line, "unkeyed-share", 0.2, 1),
            CommandOptions.integer(line, "rate", 100, 1, MAX_RATE),
            CommandOptions.integer(line, "duration-seconds", 10, 1, MAX_DURATION_SECONDS),
            CommandOptions.integer(line, "keys", 1_000, 1, MAX_KEYS),
            CommandOptions.decimal(line, "zipf", 0, 10),
            CommandOptions.decimal(line, "non-idempotent-share", 0.5, 1),
            CommandOptions.integer(line, "deadline-millis", 10_000, 1, MAX_DEADLINE_MILLIS),
            CommandOptions.integer(line, "in-time-millis", 1_000, 1, MAX_DEADLINE_MILLIS),
            CommandOptions.integer(line, "resend-not-run", 0, 0, 1_000),
            CommandOptions.integer(line, "seed", 1, 0, Integer.MAX_VALUE),
            UUID.randomUUID().toString(),
            line.getOptionValue("customer", ""));
    if (plan.keyedService().isEmpty() && plan.unkeyedService().isEmpty()) {
      throw ToolException.usage("load takes --keyed-service, --unkeyed-service or both");
    }
    if ((long) plan.ratePerSecond() * plan.durationSeconds() > MAX_REQUESTS) {
      throw ToolException.usage("rate times duration is above " + MAX_REQUESTS + " requests");
    }
    return plan;
  }

  private static void writeRecords(Path file, List<RequestRecord> records) {
    try (BufferedWriter writer = Files.newBufferedWriter(file)) {
      for (RequestRecord record : records) {
        writer.write(ToolJson.line(record));
        writer.newLine();
      }
    } catch (IOException e) {
      throw ToolException.of(ExitCode.FAILED, file + " cannot be written: " + e);
    }
  }
}
