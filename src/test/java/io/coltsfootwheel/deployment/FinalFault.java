package io.coltsfootwheel.deployment;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;

/** Faults at the end of a run, right after a confirmation. */
enum FinalFault {
  /** All processes are killed. */
  KILL {
    @Override
    void induce(FaultContext context) throws InterruptedException {
      Fault.killTogether(context, context.deployment().all(), List.of(), CAUSE);
    }
  },

  /**
   * All processes are killed, and as many control machines as may be lost have no disk any more.
   */
  KILL_WIPE {
    @Override
    void induce(FaultContext context) throws InterruptedException {
      Fault.killTogether(context, context.deployment().all(), losable(context), CAUSE);
    }
  },

  /** As many control machines as may be lost are killed and have no disk any more. */
  WIPE {
    @Override
    void induce(FaultContext context) throws InterruptedException {
      List<Machine> lost = losable(context);
      Fault.killTogether(context, lost, lost, CAUSE);
    }
  };

  private static final String CAUSE = "final";

  /** Induces the fault and starts the processes again. */
  abstract void induce(FaultContext context) throws InterruptedException;

  /** Reads a list of names with commas between them; {@code all} is a list. */
  static List<FinalFault> parse(String names) {
    return names.equals("all")
        ? List.of(values())
        : Arrays.stream(names.split(","))
            .map(name -> valueOf(name.toUpperCase(Locale.ROOT)))
            .toList();
  }

  private static List<Machine> losable(FaultContext context) {
    List<Machine> shuffled = new ArrayList<>(context.deployment().core());
    Collections.shuffle(shuffled, context.random());
    return shuffled.subList(0, Deployment.MAX_LOST);
  }
}
