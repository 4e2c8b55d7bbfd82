package io.coltsfootwheel.model;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.AnnotatedClass;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.stream.Stream;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes messages and state of the control group as MessagePack.
 *
 * <p>Records are written as arrays without component names, which reduces a lease renewal to a
 * third of its size as a map. Components are therefore identified by position, and new components
 * are added only at the end of a record.
 *
 * <p>Usage: {@code ControlCodec.decode(ControlCodec.encode(renewal), Renewal.class)}.
 */
public final class ControlCodec {
  private static final ObjectMapper MAPPER =
      new ObjectMapper(new MessagePackFactory())
          .registerModule(new Jdk8Module())
          .setSerializationInclusion(JsonInclude.Include.NON_ABSENT)
          .setAnnotationIntrospector(new RecordsAsArrays())
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  /** Selects the array format for records, except those with a {@link JsonValue}. */
  private static final class RecordsAsArrays extends JacksonAnnotationIntrospector {
    private static final long serialVersionUID = 1L;

    @Override
    public JsonFormat.Value findFormat(Annotated annotated) {
      JsonFormat.Value present = super.findFormat(annotated);
      boolean isArray =
          present == null
              && annotated instanceof AnnotatedClass
              && annotated.getRawType().isRecord()
              && !isSingleValue(annotated.getRawType());
      return isArray ? JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY) : present;
    }

    private static boolean isSingleValue(Class<?> type) {
      return Stream.concat(
              Arrays.stream(type.getDeclaredMethods()), Arrays.stream(type.getDeclaredFields()))
          .anyMatch(member -> member.isAnnotationPresent(JsonValue.class));
    }
  }

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
   * @throws ColtsfootwheelException with {@link ErrorKind#INVALID_VALUE} when the bytes are not an
   *     encoding of the type
   */
  public static <T> T decode(byte[] bytes, Class<T> type) {
    try {
      return MAPPER.readValue(bytes, type);
    } catch (IOException e) {
      throw invalid(type, e);
    }
  }

  /**
   * Decodes a value of which only the parts are kept in memory.
   *
   * @param input the MessagePack bytes; it is closed
   * @param type the type to read
   * @param <T> the type to read
   * @return the value
   * @throws ColtsfootwheelException with {@link ErrorKind#INVALID_VALUE} when the bytes are not an
   *     encoding of the type, or cannot be read
   */
  public static <T> T decode(InputStream input, Class<T> type) {
    try {
      return MAPPER.readValue(input, type);
    } catch (IOException e) {
      throw invalid(type, e);
    }
  }

  private static ColtsfootwheelException invalid(Class<?> type, IOException cause) {
    return ColtsfootwheelException.of(
        ErrorKind.INVALID_VALUE, "bytes do not decode to " + type.getSimpleName(), cause);
  }
}
