package io.coltsfootwheel.settings;

import java.util.Arrays;
import java.util.List;

/**
 * All settings of a daemon, with type, unit, default and bounds.
 *
 * <p>{@code docs/CONFIG.md} documents the same values; a test compares the two.
 */
enum Setting {
  CLUSTER_NAME("", "cluster-name", SettingType.TEXT, "name", "required"),
  ALLOW_ALL_INTERFACES("", "allow-all-interfaces", SettingType.BOOLEAN, "-", "false"),
  DATA_FOLDER("", "data-folder", SettingType.TEXT, "path", "absent"),
  SHARED_KEY_FILE("", "shared-key-file", SettingType.TEXT, "path", "required"),
  OPERATOR_TOKEN_FILE("", "operator-token-file", SettingType.TEXT, "path", "required"),
  LOG_FORMAT("", "log-format", SettingType.TEXT, "text or json", "text"),
  INITIAL_MEMBERS("", "initial-members", SettingType.STRING_ARRAY, "instance ids", "required"),
  INSTANCE("", "instance", SettingType.TABLE, "-", "required"),
  LISTEN("", "listen", SettingType.TABLE, "-", "absent"),
  ADVERTISE("", "advertise", SettingType.TABLE, "-", "absent"),
  LIMITS("", "limits", SettingType.TABLE, "-", "absent"),
  CONTROL_MEMBERS("", "control-members", SettingType.TABLE_ARRAY, "-", "required"),
  SERVICES("", "services", SettingType.TABLE_ARRAY, "-", "required"),

  INSTANCE_ID("instance", "id", SettingType.TEXT, "name", "required"),
  INSTANCE_ZONE("instance", "zone", SettingType.TEXT, "name", "required"),

  LISTEN_LINK("listen", "link", SettingType.TEXT, "IP:port", "127.0.0.1:7400"),
  LISTEN_HTTP("listen", "http", SettingType.TEXT, "IP:port", "127.0.0.1:7401"),
  LISTEN_OPERATOR("listen", "operator", SettingType.TEXT, "IP:port", "127.0.0.1:7402"),
  ADVERTISE_LINK("advertise", "link", SettingType.TEXT, "IP:port", "listen.link"),
  ADVERTISE_HTTP("advertise", "http", SettingType.TEXT, "IP:port", "listen.http"),

  MEMBER_ID("control-members[]", "instance-id", SettingType.TEXT, "name", "required"),
  MEMBER_LINK("control-members[]", "link-address", SettingType.TEXT, "IP:port", "required"),

  SERVICE_NAME("services[]", "name", SettingType.TEXT, "name", "required"),
  SERVICE_KEYED("services[]", "keyed", SettingType.BOOLEAN, "-", "required"),
  SERVICE_HASH_SLOTS("services[]", "hash-slots", "hash slots", "1024", 1, 65_536),
  SERVICE_MOVE_POLICY(
      "services[]", "move-policy", SettingType.TEXT, "availability or churn", "availability"),
  SERVICE_OBJECTIVES("services[]", "objectives", SettingType.TABLE, "-", "absent"),

  ANSWERED_IN_TIME_SHARE(
      "services[].objectives", "answered-in-time-share", SettingType.DECIMAL, "share", "required"),
  IN_TIME_MILLIS("services[].objectives", "in-time-millis", "milliseconds", "required", 1, 60_000),
  UNAVAILABLE_SECONDS_PER_DAY(
      "services[].objectives", "unavailable-seconds-per-day", "seconds", "required", 1, 86_400),
  CHURN_PER_HOUR("services[].objectives", "churn-per-hour", "hash slots", "required", 1, 1_000_000),

  BODY_BYTES("limits", "body-bytes", "bytes", "1048576", 0, 4_194_304),
  QUEUE_FACTOR("limits", "queue-factor", "multiple of slots", "8", 1, 1_024),
  CONCURRENT_REQUESTS("limits", "concurrent-requests", "requests", "4096", 1, 1_000_000),
  DEADLINE_DEFAULT_MILLIS("limits", "deadline-default-millis", "milliseconds", "10000", 1, 60_000),
  DEADLINE_MAXIMUM_MILLIS("limits", "deadline-maximum-millis", "milliseconds", "60000", 1, 60_000);

  private final String table;
  private final String key;
  private final SettingType type;
  private final String unit;
  private final String defaultText;
  private final long minimum;
  private final long maximum;

  Setting(String table, String key, SettingType type, String unit, String defaultText) {
    this(table, key, type, unit, defaultText, 0, Long.MAX_VALUE);
  }

  Setting(String table, String key, String unit, String defaultText, long minimum, long maximum) {
    this(table, key, SettingType.INTEGER, unit, defaultText, minimum, maximum);
  }

  Setting(
      String table,
      String key,
      SettingType type,
      String unit,
      String defaultText,
      long minimum,
      long maximum) {
    this.table = table;
    this.key = key;
    this.type = type;
    this.unit = unit;
    this.defaultText = defaultText;
    this.minimum = minimum;
    this.maximum = maximum;
  }

  static List<Setting> ofTable(String table) {
    return Arrays.stream(values()).filter(setting -> setting.table.equals(table)).toList();
  }

  String key() {
    return key;
  }

  String path() {
    return table.isEmpty() ? key : table + "." + key;
  }

  SettingType type() {
    return type;
  }

  String unit() {
    return unit;
  }

  String defaultText() {
    return defaultText;
  }

  boolean isRequired() {
    return defaultText.equals("required");
  }

  long minimum() {
    return minimum;
  }

  long maximum() {
    return maximum;
  }

  String boundsText() {
    return type == SettingType.INTEGER ? minimum + " to " + maximum : "-";
  }
}
