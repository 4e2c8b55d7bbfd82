package io.coltsfootwheel.deployment;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/**
 * Kinds of configurations that are invalid by the platform's page, or cannot be read in full. Each
 * has a route that no valid configuration has.
 */
enum InvalidConfiguration {
  UNKNOWN_SERVICE {
    @Override
    void spoil(ObjectNode configuration) {
      spec(configuration).put("service", "nobody");
    }
  },
  WEIGHTS_WITHOUT_SUM {
    @Override
    void spoil(ObjectNode configuration) {
      split(configuration, 0, 0);
    }
  },
  NEGATIVE_WEIGHT {
    @Override
    void spoil(ObjectNode configuration) {
      split(configuration, -1, 5);
    }
  },
  LONG_TIMEOUT {
    @Override
    void spoil(ObjectNode configuration) {
      spec(configuration).put("timeoutMs", 600_001);
    }
  },
  LONG_TARGET_LATENCY {
    @Override
    void spoil(ObjectNode configuration) {
      spec(configuration).put("targetLatencyMs", 61_000);
    }
  },
  VERSION_NOT_ABOVE {
    @Override
    void spoil(ObjectNode configuration) {
      configuration.put("version", "r1");
    }
  },
  VERSION_UNREADABLE {
    @Override
    void spoil(ObjectNode configuration) {
      configuration.put("version", "rx");
    }
  },
  TIMEOUT_TEXT {
    @Override
    void spoil(ObjectNode configuration) {
      spec(configuration).put("timeoutMs", "1000");
    }
  },
  KIND_MISSING {
    @Override
    void spoil(ObjectNode configuration) {
      spec(configuration).remove("kind");
    }
  },
  SPLIT_TEXT {
    @Override
    void spoil(ObjectNode configuration) {
      spec(configuration).put("split", "all");
    }
  },
  SHARDED_TEXT {
    @Override
    void spoil(ObjectNode configuration) {
      service(configuration).put("sharded", "yes");
    }
  },
  TLS_TEXT {
    @Override
    void spoil(ObjectNode configuration) {
      service(configuration).put("tls", "no");
    }
  },
  PROTOCOL_NUMBER {
    @Override
    void spoil(ObjectNode configuration) {
      service(configuration).put("protocol", 1);
    }
  },
  RESOURCES_OBJECT {
    @Override
    void spoil(ObjectNode configuration) {
      configuration.putObject("resources");
    }
  },
  CUT_OFF {
    @Override
    void spoil(ObjectNode configuration) {}

    @Override
    String text(ObjectNode configuration) {
      String text = configuration.toString();
      return text.substring(0, text.length() - 5);
    }
  },
  RESOURCES_TWICE {
    @Override
    void spoil(ObjectNode configuration) {}

    @Override
    String text(ObjectNode configuration) {
      String text = configuration.toString();
      return text.substring(0, text.length() - 1) + ",\"resources\":[]}";
    }
  };

  /** Returns the body of an invalid change. */
  String body(long version, Map<String, String> routes) {
    ObjectNode configuration = Configurations.complete(version, routes);
    spoil(configuration);
    return text(configuration);
  }

  abstract void spoil(ObjectNode configuration);

  String text(ObjectNode configuration) {
    return configuration.toString();
  }

  private static ObjectNode spec(ObjectNode configuration) {
    return (ObjectNode) configuration.path("resources").get(0).path("spec");
  }

  private static ObjectNode service(ObjectNode configuration) {
    for (var resource : configuration.path("resources")) {
      if (resource.path("resourceType").asText().equals("services")) {
        return (ObjectNode) resource.path("spec");
      }
    }
    throw new IllegalStateException("configuration without a service");
  }

  private static void split(ObjectNode configuration, int plainWeight, int keyedWeight) {
    ObjectNode spec = spec(configuration);
    spec.remove("service");
    var split = spec.putArray("split");
    split.addObject().put("service", Configurations.PLAIN_SERVICE).put("weight", plainWeight);
    split.addObject().put("service", Configurations.KEYED_SERVICE).put("weight", keyedWeight);
  }
}
