package io.coltsfootwheel.control;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.coltsfootwheel.model.ErrorKind;
import java.util.List;

/** Result of a command, the same on each replica. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = CommandResult.Accepted.class, name = "accepted"),
  @JsonSubTypes.Type(value = CommandResult.Conflict.class, name = "conflict"),
  @JsonSubTypes.Type(value = CommandResult.Rejected.class, name = "rejected")
})
public sealed interface CommandResult {
  /**
   * Returns the length of the texts of the result.
   *
   * @return the characters
   */
  default long textLength() {
    return 0;
  }

  /**
   * The command was applied.
   *
   * @param index log index at which it was applied; for lists, this is also their revision
   */
  record Accepted(long index) implements CommandResult {}

  /**
   * The lists were refused because they were based on another revision than the current one.
   *
   * @param currentRevision revision of the current lists
   * @param baseRevision revision on which the refused lists were based
   * @param differences what the refused lists would have changed, at most 20 lines
   */
  record Conflict(long currentRevision, long baseRevision, List<String> differences)
      implements CommandResult {
    /** Copies the list. */
    public Conflict {
      differences = List.copyOf(differences);
    }

    @Override
    public long textLength() {
      return differences.stream().mapToLong(String::length).sum();
    }
  }

  /**
   * The command was invalid or outdated and changed nothing but the applied index.
   *
   * @param kind kind of the error
   * @param detail what is wrong
   */
  record Rejected(ErrorKind kind, String detail) implements CommandResult {
    @Override
    public long textLength() {
      return detail.length();
    }
  }
}
