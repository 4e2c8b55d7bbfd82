package io.coltsfootwheel.platform;

import io.coltsfootwheel.relay.ProtocolHeaderNames;

/** Names of headers, paths, calls and the environment variable that the platform defines. */
final class PlatformNames {
  static final String SETTINGS_VARIABLE = "COLTSFOOTWHEEL_NODE_FILE";

  /** Contract by which targets share their machines, and slow down before they are full. */
  static final String PRESSURE_CONTRACT = "pressure";

  static final String READINESS_PATH = "/api/readyz";
  static final String CALL_PATH = "/api/rpc";
  static final String REPORT_CALL = "instances.heartbeat";
  static final String LEAVE_CALL = "instances.leave";
  static final String PUT_CALL = "config.put";
  static final String PATCH_CALL = "config.patch";
  static final String GET_CALL = "config.get";
  static final String EVACUATION_START_CALL = "evacuations.start";
  static final String EVACUATION_END_CALL = "evacuations.end";
  static final String GRANT_PATH = "/api/grant";
  static final String RELEASE_PATH = "/api/release";
  static final String HANDOVER_HEADER = "X-Coltsfootwheel-Handover";

  static final ProtocolHeaderNames HEADERS =
      new ProtocolHeaderNames(
          "X-Coltsfootwheel-Request-Id",
          "X-Coltsfootwheel-Request-Deadline-Ms",
          "X-Coltsfootwheel-Shard-Key",
          "X-Coltsfootwheel-Expect-Instance",
          "X-Coltsfootwheel-Response-Signature",
          "X-Coltsfootwheel-Not-Executed",
          "Server-Leaving",
          "X-Coltsfootwheel-Backend-Load");

  private PlatformNames() {}
}
