package io.coltsfootwheel.daemon;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Main class of {@code bin/random-run}; exits with 1 on a violation and with 2 on wrong arguments.
 */
final class RandomRunMain {
  private RandomRunMain() {}

  public static void main(String[] arguments) {
    Options options = new Options();
    for (String name : new String[] {"seed", "events", "seeds"}) {
      options.addOption(Option.builder().longOpt(name).hasArg().build());
    }
    try {
      CommandLine line = new DefaultParser().parse(options, arguments);
      long first = Long.parseLong(line.getOptionValue("seed", "1"));
      long events = Long.parseLong(line.getOptionValue("events", "50000"));
      long seeds = Long.parseLong(line.getOptionValue("seeds", "1"));
      System.exit(run(first, seeds, events) ? 1 : 0);
    } catch (ParseException | NumberFormatException e) {
      System.err.println(
          "usage: random-run --seed N --events M [--seeds COUNT]: " + e.getMessage());
      System.exit(2);
    }
  }

  private static boolean run(long first, long seeds, long events) {
    boolean violated = false;
    for (long seed = first; seed < first + seeds; seed++) {
      RandomRun.Result result = new RandomRun(seed, events).run();
      if (result.violation().isPresent()) {
        violated = true;
        result.trace().forEach(System.out::println);
        System.out.println("violation: " + result.violation().get());
      }
      System.out.printf(
          "seed=%d events=%d violations=%d digest=%016x%n",
          seed, result.events(), result.violation().isPresent() ? 1 : 0, result.digest());
    }
    return violated;
  }
}
