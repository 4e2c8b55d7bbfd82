package io.coltsfootwheel.bench;

import com.fasterxml.jackson.databind.JsonNode;
import io.coltsfootwheel.bench.FleetSettings.DaemonAddresses;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Fault that is injected into a running fleet under load. */
enum FaultScenario {
  NONE {
    @Override
    void injectFault(Fleet fleet) {}
  },
  TARGET_KILL {
    @Override
    void injectFault(Fleet fleet) throws Exception {
      fleet.processes().signal(FAULTY_TARGET, "KILL");
    }
  },
  TARGET_FREEZE {
    @Override
    void injectFault(Fleet fleet) throws Exception {
      freeze(fleet, FAULTY_TARGET);
    }
  },
  TARGET_FREEZE_UNFENCED(false) {
    @Override
    void injectFault(Fleet fleet) throws Exception {
      freeze(fleet, FAULTY_TARGET);
    }
  },
  TARGET_KILL_UNFENCED(false) {
    @Override
    void injectFault(Fleet fleet) throws Exception {
      fleet.processes().signal(FAULTY_TARGET, "KILL");
      fleet.processes().awaitExit(FAULTY_TARGET, TIMEOUT_SECONDS);
      fleet.startTargets(FAULTY_TARGET, List.of(FAULTY_TARGET));
    }
  },
  TARGET_DRAIN {
    @Override
    void injectFault(Fleet fleet) throws Exception {
      DaemonAddresses entry = fleet.settings().daemons().get(0);
      long startMillis = System.currentTimeMillis();
      int status = fleet.post(entry.http(), "/v1/targets/" + FAULTY_TARGET + "/drain");
      System.out.println("drain request answered with status " + status);
      fleet.await(
          "drain of all hash slots",
          TIMEOUT_SECONDS,
          () -> ownedHashSlots(fleet, FAULTY_TARGET) == 0);
      System.out.printf(
          "hash slots moved off the drained target after %d ms%n",
          System.currentTimeMillis() - startMillis);
      drainStartMillis = startMillis;
    }
  },
  TARGET_JOIN {
    @Override
    void injectFault(Fleet fleet) throws Exception {
      String joiningTarget =
          fleet.spec().keyedService().name() + "-" + (fleet.spec().keyedService().targets() + 1);
      fleet.startTargets(joiningTarget, List.of(joiningTarget));
      fleet.await(
          "ownership of hash slots by the new target",
          TIMEOUT_SECONDS,
          () -> ownedHashSlots(fleet, joiningTarget) > 0);
    }
  },
  LEADER_KILL {
    @Override
    Optional<String> instance(Fleet fleet) throws Exception {
      return Optional.of(fleet.leader(fleet.settings().daemons().get(0)));
    }

    @Override
    void injectFault(Fleet fleet) throws Exception {
      killAndRestart(fleet, failedInstance);
    }
  },
  MEMBER_KILL {
    @Override
    Optional<String> instance(Fleet fleet) throws Exception {
      return Optional.of(nonLeaderMember(fleet));
    }

    @Override
    void injectFault(Fleet fleet) throws Exception {
      killAndRestart(fleet, failedInstance);
    }
  },
  INSTANCE_KILL {
    @Override
    Optional<String> instance(Fleet fleet) {
      return Optional.of(disklessInstance(fleet));
    }

    @Override
    void injectFault(Fleet fleet) throws Exception {
      killAndRestart(fleet, failedInstance);
    }
  },
  INSTANCE_FREEZE {
    @Override
    Optional<String> instance(Fleet fleet) {
      return Optional.of(disklessInstance(fleet));
    }

    @Override
    void injectFault(Fleet fleet) throws Exception {
      freeze(fleet, failedInstance);
    }
  },
  LEADER_FREEZE {
    @Override
    Optional<String> instance(Fleet fleet) throws Exception {
      return Optional.of(fleet.leader(fleet.settings().daemons().get(0)));
    }

    @Override
    void injectFault(Fleet fleet) throws Exception {
      freeze(fleet, failedInstance);
    }
  },
  INSTANCE_TERM {
    @Override
    Optional<String> instance(Fleet fleet) {
      return Optional.of(disklessInstance(fleet));
    }

    @Override
    void injectFault(Fleet fleet) throws Exception {
      terminate(fleet, failedInstance);
    }
  },
  LEADER_TERM {
    @Override
    Optional<String> instance(Fleet fleet) throws Exception {
      return Optional.of(fleet.leader(fleet.settings().daemons().get(0)));
    }

    @Override
    void injectFault(Fleet fleet) throws Exception {
      terminate(fleet, failedInstance);
    }
  },
  DISK_LOSS {
    @Override
    Optional<String> instance(Fleet fleet) throws Exception {
      return Optional.of(nonLeaderMember(fleet));
    }

    @Override
    void injectFault(Fleet fleet) throws Exception {
      terminate(fleet, failedInstance);
      DataFolderCorruption.delete(fleet.settings().dataFolder(failedInstance));
      restartAndAwaitVoter(fleet, failedInstance);
    }
  },
  LOG_TRUNCATED {
    @Override
    Optional<String> instance(Fleet fleet) throws Exception {
      return Optional.of(nonLeaderMember(fleet));
    }

    @Override
    void injectFault(Fleet fleet) throws Exception {
      kill(fleet, failedInstance);
      System.out.println(
          DataFolderCorruption.truncateLog(fleet.settings().dataFolder(failedInstance)));
      restartAndAwaitVoter(fleet, failedInstance);
    }
  },
  LOG_BIT_FLIP {
    @Override
    Optional<String> instance(Fleet fleet) throws Exception {
      return Optional.of(nonLeaderMember(fleet));
    }

    @Override
    void injectFault(Fleet fleet) throws Exception {
      kill(fleet, failedInstance);
      System.out.println(
          DataFolderCorruption.flipLogBit(fleet.settings().dataFolder(failedInstance)));
      fleet.startDaemon(failedInstance);
      int status = fleet.processes().awaitExit(failedInstance, TIMEOUT_SECONDS);
      System.out.println(
          failedInstance + " refused its corrupted log and exited with status " + status);
      DataFolderCorruption.delete(fleet.settings().dataFolder(failedInstance));
      restartAndAwaitVoter(fleet, failedInstance);
    }
  };

  /** Target on which the target scenarios act; it has its own process. */
  static final String FAULTY_TARGET = "ledger-1";

  private static final int TIMEOUT_SECONDS = 30;
  private static final long FREEZE_MILLIS = 3_000;

  private final boolean checksFences;

  /** Instance on which the fault acts in this run, empty when it acts on none. */
  String failedInstance = "";

  /** Wall-clock time at which the drain started, 0 when the scenario drains no target. */
  long drainStartMillis;

  FaultScenario() {
    this(true);
  }

  FaultScenario(boolean checksFences) {
    this.checksFences = checksFences;
  }

  static FaultScenario of(String commandName) {
    return Arrays.stream(values())
        .filter(scenario -> scenario.commandName().equals(commandName))
        .findFirst()
        .orElseThrow();
  }

  String commandName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  boolean checksFences() {
    return checksFences;
  }

  Set<String> isolatedTargets() {
    return Set.of(FAULTY_TARGET);
  }

  /** Returns the instance on which the fault will act, empty when it acts on none. */
  Optional<String> instance(Fleet fleet) throws Exception {
    return Optional.empty();
  }

  /** Injects the fault and waits until its effects are visible. */
  abstract void injectFault(Fleet fleet) throws Exception;

  private static void freeze(Fleet fleet, String process) throws Exception {
    fleet.processes().signal(process, "STOP");
    TimeUnit.MILLISECONDS.sleep(FREEZE_MILLIS);
    fleet.processes().signal(process, "CONT");
  }

  private static void kill(Fleet fleet, String instance) throws Exception {
    fleet.processes().signal(instance, "KILL");
    fleet.processes().awaitExit(instance, TIMEOUT_SECONDS);
  }

  private static void terminate(Fleet fleet, String instance) throws Exception {
    fleet.processes().signal(instance, "TERM");
    int status = fleet.processes().awaitExit(instance, TIMEOUT_SECONDS);
    System.out.println(instance + " exited with status " + status);
  }

  /** Restarts only after others took over all roles, so that the restart does not mask the loss. */
  private static void killAndRestart(Fleet fleet, String instance) throws Exception {
    kill(fleet, instance);
    DaemonAddresses otherDaemon = otherDaemon(fleet, instance);
    fleet.await(
        "takeover by other instances",
        TIMEOUT_SECONDS,
        () ->
            !fleet.leader(otherDaemon).isEmpty()
                && !fleet.leader(otherDaemon).equals(instance)
                && Fleet.stream(fleet.get(otherDaemon, "/v1/status").path("targets"))
                    .noneMatch(t -> t.path("dispatcher").asText().equals(instance)));
    fleet.startDaemon(instance);
    fleet.await(
        "lease of the restarted instance", TIMEOUT_SECONDS, () -> isLeased(fleet, instance));
  }

  private static void restartAndAwaitVoter(Fleet fleet, String member) throws Exception {
    fleet.startDaemon(member);
    fleet.await(
        "membership of " + member, TIMEOUT_SECONDS, () -> hasRejoinedAsVoter(fleet, member));
    System.out.println(fleet.get(otherDaemon(fleet, member), "/v1/members"));
  }

  private static boolean hasRejoinedAsVoter(Fleet fleet, String member) throws Exception {
    JsonNode members = fleet.get(otherDaemon(fleet, member), "/v1/members").path("members");
    boolean isVoter =
        Fleet.stream(members)
            .anyMatch(
                m ->
                    m.path("instance").asText().equals(member)
                        && m.path("voter").asBoolean()
                        && m.path("matchIndex").asLong() > 0);
    return isVoter && members.size() == fleet.spec().controlMembers() && isLeased(fleet, member);
  }

  private static boolean isLeased(Fleet fleet, String instance) throws Exception {
    JsonNode instances = fleet.get(otherDaemon(fleet, instance), "/v1/status").path("instances");
    return Fleet.stream(instances)
        .anyMatch(i -> i.path("id").asText().equals(instance) && i.path("leased").asBoolean());
  }

  private static int ownedHashSlots(Fleet fleet, String target) throws Exception {
    JsonNode targets = fleet.get(fleet.settings().daemons().get(0), "/v1/targets").path("targets");
    return Fleet.stream(targets)
        .filter(t -> t.path("id").asText().equals(target))
        .mapToInt(t -> t.path("ownedHashSlots").asInt())
        .findFirst()
        .orElse(0);
  }

  private static DaemonAddresses otherDaemon(Fleet fleet, String instance) {
    return fleet.settings().daemons().stream()
        .filter(daemon -> !daemon.id().equals(instance))
        .findFirst()
        .orElseThrow();
  }

  private static String nonLeaderMember(Fleet fleet) throws Exception {
    String leader = fleet.leader(fleet.settings().daemons().get(0));
    return fleet.settings().daemons().stream()
        .limit(fleet.spec().controlMembers())
        .map(DaemonAddresses::id)
        .filter(id -> !id.equals(leader))
        .findFirst()
        .orElseThrow();
  }

  private static String disklessInstance(Fleet fleet) {
    return fleet.settings().daemons().get(fleet.spec().daemons() - 1).id();
  }
}
