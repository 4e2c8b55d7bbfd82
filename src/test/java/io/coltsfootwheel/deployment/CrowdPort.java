package io.coltsfootwheel.deployment;

import io.coltsfootwheel.model.ControlCodec;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Port of a process that clients of a crowd may reach. */
enum CrowdPort {
  FRONT(false, Site.FRONT_PORT),
  READINESS(false, Site.READY_PORT),
  ENTRY_METRICS(false, Site.METRICS_PORT),
  ENTRY_LINK(false, Site.FIRST_INTERNAL_PORT + 1),
  CONTROL(true, Site.CONTROL_PORT),
  CONTROL_METRICS(true, Site.METRICS_PORT),
  CONTROL_LINK(true, Site.FIRST_INTERNAL_PORT);

  private static final int NONCE_BYTES = 32;
  private static final int LINK_VERSION = 1;
  private static final int FRAME_HEADER_BYTES = 5;

  private final boolean onControl;
  private final int number;

  CrowdPort(boolean onControl, int number) {
    this.onControl = onControl;
    this.number = number;
  }

  /** First message of a connection between processes. */
  private record Hello(
      String cluster,
      int version,
      String instance,
      String session,
      String channel,
      byte[] nonce,
      byte[] proof,
      boolean answersProbes) {}

  boolean isOnControl() {
    return onControl;
  }

  boolean isLink() {
    return this == ENTRY_LINK || this == CONTROL_LINK;
  }

  InetSocketAddress on(String ip) {
    return new InetSocketAddress(ip, number);
  }

  /** Returns the path of an ordinary request. */
  String path() {
    return switch (this) {
      case FRONT -> "/served/x";
      case READINESS -> "/api/readyz";
      case CONTROL -> "/api/rpc?call=config.get";
      default -> "/metrics";
    };
  }

  /** Returns whether an ordinary request is answered. */
  boolean answers(String ip) {
    if (isLink()) {
      byte[] answer = OrdinaryCaller.exchange(on(ip), openingFrame(), FRAME_HEADER_BYTES);
      return answer.length == FRAME_HEADER_BYTES;
    }
    String request =
        this == CONTROL
            ? OrdinaryCaller.post(path(), "", "")
            : OrdinaryCaller.get(CrowdSystem.HOST, path());
    return OrdinaryCaller.status(on(ip), request) == 200;
  }

  /** Returns the frame by which another process opens a connection. */
  static byte[] openingFrame() {
    byte[] hello =
        ControlCodec.encode(
            new Hello(
                "coltsfootwheel",
                LINK_VERSION,
                "127.0.0.1",
                "crowd",
                "CONTROL",
                new byte[NONCE_BYTES],
                new byte[0],
                true));
    return ByteBuffer.allocate(FRAME_HEADER_BYTES + hello.length)
        .putInt(1 + hello.length)
        .put((byte) 0)
        .put(hello)
        .array();
  }

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
