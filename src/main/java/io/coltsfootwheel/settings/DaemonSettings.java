package io.coltsfootwheel.settings;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.ServiceSpec;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Settings of one daemon, read from a TOML file and validated.
 *
 * <p>Usage: {@code DaemonSettings settings = SettingsFile.read(Path.of("daemon.toml"));}
 *
 * @param clusterName name that all instances of the cluster share
 * @param instance name of this instance
 * @param zone availability zone of this instance
 * @param linkAddress address to listen on for connections from other instances
 * @param httpAddress address to listen on for HTTP requests of callers and targets
 * @param operatorAddress address to listen on for HTTP requests of operators
 * @param advertisedLinkAddress address that other instances connect to, in place of {@code
 *     linkAddress}
 * @param advertisedHttpAddress address that callers and targets connect to, in place of {@code
 *     httpAddress}
 * @param dataFolder folder of the journal; present if and only if the instance is a control member
 * @param controlMembers instances that may become voters of the control group, with their link
 *     addresses
 * @param initialMembers members of the initial configuration of the consensus group
 * @param sharedKeyFile file with the secret key shared by all instances
 * @param operatorTokenFile file with the bearer token of the operators
 * @param services services that targets offer
 * @param limits limits on requests
 * @param logFormat format of log lines
 * @param objectives service-level objective of each service that has one
 */
public record DaemonSettings(
    String clusterName,
    InstanceId instance,
    AvailabilityZone zone,
    Address linkAddress,
    Address httpAddress,
    Address operatorAddress,
    Address advertisedLinkAddress,
    Address advertisedHttpAddress,
    Optional<Path> dataFolder,
    List<ControlMember> controlMembers,
    List<InstanceId> initialMembers,
    Path sharedKeyFile,
    Path operatorTokenFile,
    List<ServiceSpec> services,
    RequestLimits limits,
    LogFormat logFormat,
    Map<ServiceName, Objective> objectives) {
  /** Copies the collections. */
  public DaemonSettings {
    controlMembers = List.copyOf(controlMembers);
    initialMembers = List.copyOf(initialMembers);
    services = List.copyOf(services);
    objectives = Map.copyOf(objectives);
  }

  /**
   * Returns whether this instance is a control member.
   *
   * @return true if the instance is listed under {@code control-members}
   */
  public boolean isControlMember() {
    return controlMembers.stream().anyMatch(member -> member.instance().equals(instance));
  }
}
