package io.coltsfootwheel.deployment;

import static io.coltsfootwheel.deployment.CrowdPort.ascii;

import io.coltsfootwheel.deployment.CrowdScript.End;

/** What the clients of a crowd do that ordinary clients do not. */
enum CrowdKind {
  /** A complete head over the limit on each connection, which is opened again at once. */
  HEADS_OVER_LIMIT {
    @Override
    CrowdScript script(CrowdPort port) {
      return CrowdScript.of(ascii(openHead(port) + HEADER_LINE.repeat(64)), ascii("\r\n"), 1);
    }

    @Override
    int connections() {
      return 20 * clients();
    }
  },
  /** Header lines near and over the limit, from more clients than there may be connections. */
  LONG_HEADERS {
    @Override
    CrowdScript script(CrowdPort port) {
      String near = "X-Near: " + "a".repeat(15_000) + "\r\n";
      String over = "X-Over: " + "a".repeat(50_000);
      return CrowdScript.of(ascii(openHead(port) + near + over), ascii("\r\n\r\n"), 1);
    }

    @Override
    int clients() {
      return 1_000;
    }

    @Override
    int connections() {
      return 5 * clients();
    }
  },
  /** A head whose header lines never end. */
  HEAD_WITHOUT_END {
    @Override
    CrowdScript script(CrowdPort port) {
      return CrowdScript.of(ascii(openHead(port)), ascii(HEADER_LINE), MEGABYTE / KILOBYTE);
    }
  },
  /** A request line that never ends. */
  LINE_WITHOUT_END {
    @Override
    CrowdScript script(CrowdPort port) {
      return CrowdScript.of(ascii("GET /"), ascii("a".repeat(KILOBYTE)), MEGABYTE / KILOBYTE);
    }
  },
  /** Empty lines before a request that never comes. */
  EMPTY_LINES {
    @Override
    CrowdScript script(CrowdPort port) {
      return CrowdScript.of(ascii(""), ascii("\r\n".repeat(KILOBYTE / 2)), MEGABYTE / KILOBYTE);
    }
  },
  /** Heads within the limit whose end never comes, on more connections than there may be. */
  HALF_HEADS {
    @Override
    CrowdScript script(CrowdPort port) {
      return CrowdScript.of(ascii(openHead(port) + HEADER_LINE.repeat(7)), ascii(HEADER_LINE), 0);
    }

    @Override
    int clients() {
      return 1_000;
    }

    @Override
    int connections() {
      return clients();
    }
  },
  /** Connections without a byte, more than there may be. */
  IDLE {
    @Override
    boolean appliesTo(CrowdPort port) {
      return true;
    }

    @Override
    CrowdScript script(CrowdPort port) {
      return CrowdScript.of(ascii(""), ascii(""), 0);
    }

    @Override
    int clients() {
      return 400;
    }

    @Override
    int connections() {
      return clients();
    }
  },
  /** Many ordinary requests sent ahead, whose answers nobody reads. */
  AHEAD_ORDINARY {
    @Override
    CrowdScript script(CrowdPort port) {
      return ahead(port == CrowdPort.CONTROL ? call("config.get", "") : get(port.path()));
    }
  },
  /** The same for a path that is not known. */
  AHEAD_UNKNOWN_PATH {
    @Override
    CrowdScript script(CrowdPort port) {
      return ahead(get("/unknown"));
    }
  },
  /** The same for a change of the configuration that is refused. */
  AHEAD_REFUSED_CHANGE {
    @Override
    boolean appliesTo(CrowdPort port) {
      return port == CrowdPort.CONTROL;
    }

    @Override
    CrowdScript script(CrowdPort port) {
      return ahead(call("config.put", "{}"));
    }
  },
  /** The same, with the sending side closed at once. */
  AHEAD_THEN_HALF_CLOSE {
    @Override
    CrowdScript script(CrowdPort port) {
      return CrowdScript.of(ascii(get(port.path())), ascii(get(port.path())), 64)
          .withoutReading()
          .endingWith(End.HALF_CLOSE);
    }
  },
  /** Requests whose connections are reset at once, one connection after the other. */
  QUICK_RESETS {
    @Override
    CrowdScript script(CrowdPort port) {
      return CrowdScript.of(ascii(get(port.path())), ascii(openHead(port)), 1)
          .endingWith(End.RESET);
    }

    @Override
    int connections() {
      return 20 * clients();
    }
  },
  /** A head that arrives in small parts with pauses. */
  TRICKLE {
    @Override
    CrowdScript script(CrowdPort port) {
      return CrowdScript.of(ascii(openHead(port)), ascii("X-Pad: a\r\n"), 30).withPauses(100);
    }
  },
  /** A body longer than any limit. */
  BODY_WITHOUT_END(CrowdLimits.DEPLOYED) {
    @Override
    CrowdScript script(CrowdPort port) {
      String header = "Content-Length: 100000000000";
      return CrowdScript.of(
          ascii(post(port.path(), header)), ascii("a".repeat(KILOBYTE)), 10 * KILOBYTE);
    }
  },
  /** Chunks without end. */
  CHUNKS_WITHOUT_END(CrowdLimits.DEPLOYED) {
    @Override
    CrowdScript script(CrowdPort port) {
      return openBody(port, "", "400\r\n" + "a".repeat(KILOBYTE) + "\r\n");
    }
  },
  /** The extension of a chunk without end. */
  CHUNK_EXTENSION_WITHOUT_END(CrowdLimits.DEPLOYED) {
    @Override
    CrowdScript script(CrowdPort port) {
      return openBody(port, "1;a=", "a".repeat(KILOBYTE));
    }
  },
  /** Trailers without end. */
  TRAILERS_WITHOUT_END(CrowdLimits.DEPLOYED) {
    @Override
    CrowdScript script(CrowdPort port) {
      return openBody(port, "0\r\n", HEADER_LINE);
    }
  },
  /** Bodies of the largest size, all but their last byte, on many connections. */
  LARGEST_BODIES(CrowdLimits.DEPLOYED) {
    @Override
    boolean appliesTo(CrowdPort port) {
      return port == CrowdPort.FRONT || port == CrowdPort.CONTROL;
    }

    @Override
    CrowdScript script(CrowdPort port) {
      int bytes = port == CrowdPort.FRONT ? 8 * MEGABYTE : 4 * MEGABYTE;
      String path = port == CrowdPort.FRONT ? port.path() : "/api/rpc?call=config.put";
      return CrowdScript.of(
          ascii(post(path, "Content-Length: " + bytes)), new byte[bytes / 2 - 1], 2);
    }
  },
  /** Changes of the largest size on many connections. */
  LARGEST_CHANGES(CrowdLimits.DEPLOYED) {
    @Override
    boolean appliesTo(CrowdPort port) {
      return port == CrowdPort.CONTROL;
    }

    @Override
    CrowdScript script(CrowdPort port) {
      String body = "{\"version\":\"r2\"" + " ".repeat(4 * MEGABYTE - 20) + "}";
      return CrowdScript.of(ascii(call("config.put", body)), ascii(""), 0);
    }
  },
  /** Reports of the largest size on many connections. */
  LARGEST_REPORTS(CrowdLimits.DEPLOYED) {
    @Override
    boolean appliesTo(CrowdPort port) {
      return port == CrowdPort.CONTROL;
    }

    @Override
    CrowdScript script(CrowdPort port) {
      String body = "{\"version\":\"r2\"" + " ".repeat(256 * KILOBYTE - 20) + "}";
      return CrowdScript.of(ascii(""), ascii(call("instances.heartbeat&of=j", body)), 4)
          .withoutReading();
    }

    @Override
    int clients() {
      return 200;
    }
  },
  /** Bytes between processes that are no frame. */
  LINK_GARBAGE {
    @Override
    boolean appliesTo(CrowdPort port) {
      return port.isLink();
    }

    @Override
    CrowdScript script(CrowdPort port) {
      return CrowdScript.of(ascii(""), ascii("garbage!".repeat(128)), 64);
    }
  },
  /** Frames between processes whose length is huge. */
  LINK_HUGE_FRAME {
    @Override
    boolean appliesTo(CrowdPort port) {
      return port.isLink();
    }

    @Override
    CrowdScript script(CrowdPort port) {
      return CrowdScript.of(new byte[] {0x7f, -1, -1, -1}, new byte[KILOBYTE], KILOBYTE);
    }
  },
  /** Handshakes between processes that go no further, again and again. */
  LINK_OPENING_WITHOUT_END {
    @Override
    boolean appliesTo(CrowdPort port) {
      return port.isLink();
    }

    @Override
    CrowdScript script(CrowdPort port) {
      return CrowdScript.of(CrowdPort.openingFrame(), ascii(""), 0);
    }

    @Override
    int clients() {
      return 400;
    }
  };

  static final int KILOBYTE = 1_024;
  static final int MEGABYTE = 1_024 * KILOBYTE;

  /** A header line of a kilobyte, shorter than any limit. */
  private static final String HEADER_LINE = "X-Pad: " + "a".repeat(KILOBYTE - 9) + "\r\n";

  private static final String CHUNKED = "Transfer-Encoding: chunked";

  private final CrowdLimits limits;

  CrowdKind() {
    this(CrowdLimits.LOWERED);
  }

  CrowdKind(CrowdLimits limits) {
    this.limits = limits;
  }

  /** Returns whether clients can do this at a port. */
  boolean appliesTo(CrowdPort port) {
    return !port.isLink();
  }

  /** Returns what each connection does. */
  abstract CrowdScript script(CrowdPort port);

  CrowdLimits limits() {
    return limits;
  }

  /** Returns how many clients there are at the same time. */
  int clients() {
    return limits == CrowdLimits.LOWERED ? 200 : 40;
  }

  /** Returns how many connections are opened in all. */
  int connections() {
    return 3 * clients();
  }

  private static CrowdScript ahead(String request) {
    return CrowdScript.of(ascii(""), ascii(request), MEGABYTE / request.length()).withoutReading();
  }

  /** Returns what sends ten megabytes of a body in chunks. */
  private static CrowdScript openBody(CrowdPort port, String begin, String repeated) {
    return CrowdScript.of(
        ascii(post(port.path(), CHUNKED) + begin),
        ascii(repeated),
        10 * MEGABYTE / repeated.length());
  }

  private static String post(String path, String header) {
    return "POST %s HTTP/1.1\r\nHost: %s\r\n%s\r\n\r\n".formatted(path, CrowdSystem.HOST, header);
  }

  private static String openHead(CrowdPort port) {
    return "GET %s HTTP/1.1\r\nHost: %s\r\n".formatted(port.path(), CrowdSystem.HOST);
  }

  private static String get(String path) {
    return "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n".formatted(path, CrowdSystem.HOST);
  }

  private static String call(String name, String body) {
    return "POST /api/rpc?call=%s HTTP/1.1\r\nHost: c\r\nIf-Match: 9\r\nContent-Length: %d\r\n\r\n%s"
        .formatted(name, body.length(), body);
  }
}
