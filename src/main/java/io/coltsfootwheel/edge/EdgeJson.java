package io.coltsfootwheel.edge;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.Outcome;
import java.io.IOException;
import java.io.UncheckedIOException;

/** JSON serialization of the HTTP interfaces. */
final class EdgeJson {
  static final ObjectMapper MAPPER =
      new ObjectMapper()
          .registerModule(new Jdk8Module())
          .setSerializationInclusion(JsonInclude.Include.NON_ABSENT);

  private EdgeJson() {}

  static byte[] write(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static byte[] error(ErrorKind kind, Outcome outcome, String detail) {
    return write(new ErrorBody(kind.code(), outcome.text(), detail, kind.remedy()));
  }

  /**
   * Body of an error response of the router.
   *
   * @param code stable code of the error
   * @param outcome whether the request was executed, if known
   * @param detail what is wrong
   * @param remedy what the caller can do
   */
  record ErrorBody(String code, String outcome, String detail, String remedy) {}
}
