package io.coltsfootwheel.model;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes control values as MessagePack.
 *
 * <p>Usage: {@code ControlCodec.decode(ControlCodec.encode(renewal), Renewal.class)}.
 */
public final class ControlCodec {
  private static final ObjectMapper MAPPER =
      new ObjectMapper(new MessagePackFactory())
          .registerModule(new Jdk8Module())
          .setSerializationInclusion(JsonInclude.Include.NON_ABSENT)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private ControlCodec() {}

  /**
   * Encodes a value.
   *
   * @param value a record that Jackson can write
   * @return the MessagePack bytes
   */
  public static byte[] encode(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Decodes a value.
   *
   * @param bytes the MessagePack bytes
   * @param type the type to read
   * @param <T> the type to read
   * @return the value
   * @throws ColtsfootwheelException with {@link ErrorKind#INVALID_VALUE} when the bytes do not fit
   */
  public static <T> T decode(byte[] bytes, Class<T> type) {
    try {
      return MAPPER.readValue(bytes, type);
    } catch (IOException e) {
      throw ColtsfootwheelException.of(
          ErrorKind.INVALID_VALUE, "bytes do not decode to " + type.getSimpleName(), e);
    }
  }
}
