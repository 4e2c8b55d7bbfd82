package io.coltsfootwheel.bench;

import com.fasterxml.jackson.databind.JsonNode;
import io.coltsfootwheel.bench.FleetSettings.Node;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Failure induced in a running fleet under load. */
enum Scenario {
  NONE {
    @Override
    void induce(Fleet fleet) {}
  },
  TARGET_KILL {
    @Override
    void induce(Fleet fleet) throws Exception {
      fleet.processes().signal(VICTIM, "KILL");
    }
  },
  TARGET_FREEZE {
    @Override
    void induce(Fleet fleet) throws Exception {
      freeze(fleet, VICTIM);
    }
  },
  TARGET_FREEZE_UNFENCED(false) {
    @Override
    void induce(Fleet fleet) throws Exception {
      freeze(fleet, VICTIM);
    }
  },
  TARGET_KILL_UNFENCED(false) {
    @Override
    void induce(Fleet fleet) throws Exception {
      fleet.processes().signal(VICTIM, "KILL");
      fleet.processes().awaitExit(VICTIM, CONDITION_SECONDS);
      fleet.startTargets(VICTIM, List.of(VICTIM));
    }
  },
  TARGET_DRAIN {
    @Override
    void induce(Fleet fleet) throws Exception {
      Node entry = fleet.settings().nodes().get(0);
      long beganMillis = System.currentTimeMillis();
      int status = fleet.post(entry.http(), "/v1/targets/" + VICTIM + "/drain");
      System.out.println("drain answered with status " + status);
      fleet.await("end of the drain", CONDITION_SECONDS, () -> owned(fleet, VICTIM) == 0);
      System.out.printf(
          "hash slots moved off after %d ms%n", System.currentTimeMillis() - beganMillis);
      drainBeganMillis = beganMillis;
    }
  },
  TARGET_JOIN {
    @Override
    void induce(Fleet fleet) throws Exception {
      String joining =
          fleet.plan().keyedService().name() + "-" + (fleet.plan().keyedService().targets() + 1);
      fleet.startTargets(joining, List.of(joining));
      fleet.await("slots of the new target", CONDITION_SECONDS, () -> owned(fleet, joining) > 0);
    }
  },
  LEADER_KILL {
    @Override
    Optional<String> instance(Fleet fleet) throws Exception {
      return Optional.of(fleet.leader(fleet.settings().nodes().get(0)));
    }

    @Override
    void induce(Fleet fleet) throws Exception {
      killAndRestart(fleet, failed);
    }
  },
  MEMBER_KILL {
    @Override
    Optional<String> instance(Fleet fleet) throws Exception {
      return Optional.of(otherMember(fleet));
    }

    @Override
    void induce(Fleet fleet) throws Exception {
      killAndRestart(fleet, failed);
    }
  },
  INSTANCE_KILL {
    @Override
    Optional<String> instance(Fleet fleet) {
      return Optional.of(diskless(fleet));
    }

    @Override
    void induce(Fleet fleet) throws Exception {
      killAndRestart(fleet, failed);
    }
  },
  INSTANCE_FREEZE {
    @Override
    Optional<String> instance(Fleet fleet) {
      return Optional.of(diskless(fleet));
    }

    @Override
    void induce(Fleet fleet) throws Exception {
      freeze(fleet, failed);
    }
  },
  LEADER_FREEZE {
    @Override
    Optional<String> instance(Fleet fleet) throws Exception {
      return Optional.of(fleet.leader(fleet.settings().nodes().get(0)));
    }

    @Override
    void induce(Fleet fleet) throws Exception {
      freeze(fleet, failed);
    }
  },
  INSTANCE_TERM {
    @Override
    Optional<String> instance(Fleet fleet) {
      return Optional.of(diskless(fleet));
    }

    @Override
    void induce(Fleet fleet) throws Exception {
      terminate(fleet, failed);
    }
  },
  LEADER_TERM {
    @Override
    Optional<String> instance(Fleet fleet) throws Exception {
      return Optional.of(fleet.leader(fleet.settings().nodes().get(0)));
    }

    @Override
    void induce(Fleet fleet) throws Exception {
      terminate(fleet, failed);
    }
  },
  DISK_LOSS {
    @Override
    Optional<String> instance(Fleet fleet) throws Exception {
      return Optional.of(otherMember(fleet));
    }

    @Override
    void induce(Fleet fleet) throws Exception {
      terminate(fleet, failed);
      DataFolderCorruption.delete(fleet.settings().dataFolder(failed));
      restartAsVoter(fleet, failed);
    }
  },
  LOG_TRUNCATED {
    @Override
    Optional<String> instance(Fleet fleet) throws Exception {
      return Optional.of(otherMember(fleet));
    }

    @Override
    void induce(Fleet fleet) throws Exception {
      kill(fleet, failed);
      System.out.println(DataFolderCorruption.truncateLog(fleet.settings().dataFolder(failed)));
      restartAsVoter(fleet, failed);
    }
  },
  LOG_BIT_FLIP {
    @Override
    Optional<String> instance(Fleet fleet) throws Exception {
      return Optional.of(otherMember(fleet));
    }

    @Override
    void induce(Fleet fleet) throws Exception {
      kill(fleet, failed);
      System.out.println(DataFolderCorruption.flipLogBit(fleet.settings().dataFolder(failed)));
      fleet.startDaemon(failed);
      int status = fleet.processes().awaitExit(failed, CONDITION_SECONDS);
      System.out.println(failed + " refused its log with status " + status);
      DataFolderCorruption.delete(fleet.settings().dataFolder(failed));
      restartAsVoter(fleet, failed);
    }
  };

  /** Target that runs in a process of its own. */
  static final String VICTIM = "ledger-1";

  private static final int CONDITION_SECONDS = 30;
  private static final long FREEZE_MILLIS = 3_000;

  private final boolean checksFences;

  /** Instance that fails in this run, empty when none does. */
  String failed = "";

  /** Wall-clock time at which the drain began, 0 for none. */
  long drainBeganMillis;

  Scenario() {
    this(true);
  }

  Scenario(boolean checksFences) {
    this.checksFences = checksFences;
  }

  static Scenario of(String text) {
    return Arrays.stream(values()).filter(s -> s.text().equals(text)).findFirst().orElseThrow();
  }

  String text() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  boolean checksFences() {
    return checksFences;
  }

  Set<String> alone() {
    return Set.of(VICTIM);
  }

  /** Returns the instance that is going to fail. */
  Optional<String> instance(Fleet fleet) throws Exception {
    return Optional.empty();
  }

  /** Induces the failure and waits until its effects are visible. */
  abstract void induce(Fleet fleet) throws Exception;

  private static void freeze(Fleet fleet, String process) throws Exception {
    fleet.processes().signal(process, "STOP");
    TimeUnit.MILLISECONDS.sleep(FREEZE_MILLIS);
    fleet.processes().signal(process, "CONT");
  }

  private static void kill(Fleet fleet, String instance) throws Exception {
    fleet.processes().signal(instance, "KILL");
    fleet.processes().awaitExit(instance, CONDITION_SECONDS);
  }

  private static void terminate(Fleet fleet, String instance) throws Exception {
    fleet.processes().signal(instance, "TERM");
    int status = fleet.processes().awaitExit(instance, CONDITION_SECONDS);
    System.out.println(instance + " ended with status " + status);
  }

  /** Restarts only after the others took over, so that the restart does not hide the loss. */
  private static void killAndRestart(Fleet fleet, String instance) throws Exception {
    kill(fleet, instance);
    Node other = other(fleet, instance);
    fleet.await(
        "takeover",
        CONDITION_SECONDS,
        () ->
            !fleet.leader(other).isEmpty()
                && !fleet.leader(other).equals(instance)
                && Fleet.stream(fleet.get(other, "/v1/status").path("targets"))
                    .noneMatch(t -> t.path("dispatcher").asText().equals(instance)));
    fleet.startDaemon(instance);
    fleet.await("restart", CONDITION_SECONDS, () -> isLeased(fleet, instance));
  }

  private static void restartAsVoter(Fleet fleet, String member) throws Exception {
    fleet.startDaemon(member);
    fleet.await("membership of " + member, CONDITION_SECONDS, () -> isOnlyVoter(fleet, member));
    System.out.println(fleet.get(other(fleet, member), "/v1/members"));
  }

  private static boolean isOnlyVoter(Fleet fleet, String member) throws Exception {
    JsonNode members = fleet.get(other(fleet, member), "/v1/members").path("members");
    boolean voter =
        Fleet.stream(members)
            .anyMatch(
                m ->
                    m.path("instance").asText().equals(member)
                        && m.path("voter").asBoolean()
                        && m.path("matchIndex").asLong() > 0);
    return voter && members.size() == fleet.plan().members() && isLeased(fleet, member);
  }

  private static boolean isLeased(Fleet fleet, String instance) throws Exception {
    JsonNode instances = fleet.get(other(fleet, instance), "/v1/status").path("instances");
    return Fleet.stream(instances)
        .anyMatch(i -> i.path("id").asText().equals(instance) && i.path("leased").asBoolean());
  }

  private static int owned(Fleet fleet, String target) throws Exception {
    JsonNode targets = fleet.get(fleet.settings().nodes().get(0), "/v1/targets").path("targets");
    return Fleet.stream(targets)
        .filter(t -> t.path("id").asText().equals(target))
        .mapToInt(t -> t.path("ownedHashSlots").asInt())
        .findFirst()
        .orElse(0);
  }

  private static Node other(Fleet fleet, String instance) {
    return fleet.settings().nodes().stream()
        .filter(n -> !n.id().equals(instance))
        .findFirst()
        .orElseThrow();
  }

  private static String otherMember(Fleet fleet) throws Exception {
    String leader = fleet.leader(fleet.settings().nodes().get(0));
    return fleet.settings().nodes().stream()
        .limit(fleet.plan().members())
        .map(Node::id)
        .filter(id -> !id.equals(leader))
        .findFirst()
        .orElseThrow();
  }

  private static String diskless(Fleet fleet) {
    return fleet.settings().nodes().get(fleet.plan().daemons() - 1).id();
  }
}
