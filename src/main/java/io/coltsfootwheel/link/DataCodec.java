package io.coltsfootwheel.link;

import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.Outcome;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Codecs of the data-plane messages; fields are written in record order, without names. */
final class DataCodec {
  private static final ErrorKind[] ERROR_KINDS = ErrorKind.values();
  private static final int SMALL_BUFFER_BYTES = 64;
  private static final int LARGE_BUFFER_BYTES = 1024;

  /** Maximum number of headers; a larger count is rejected before memory is allocated for it. */
  private static final int MAX_HEADERS = 4096;

  private static final MessagePack.PackerConfig SMALL_BUFFER =
      new MessagePack.PackerConfig().withBufferSize(SMALL_BUFFER_BYTES);
  private static final MessagePack.PackerConfig LARGE_BUFFER =
      new MessagePack.PackerConfig().withBufferSize(LARGE_BUFFER_BYTES);

  private DataCodec() {}

  static byte[] encode(ForwardFrame frame) {
    return write(
        LARGE_BUFFER,
        packer -> {
          packer.packLong(frame.requestId()).packString(frame.service());
          packer.packString(frame.target()).packLong(frame.fence()).packInt(frame.hashSlot());
          packOptional(packer, frame.customer());
          packOptional(packer, frame.identity());
          packer.packBoolean(frame.idempotent()).packLong(frame.deadlineMillis());
          packer.packString(frame.method()).packString(frame.uri());
          packHeaders(packer, frame.headers());
          packBytes(packer, frame.body());
        });
  }

  static ForwardFrame decodeForward(byte[] payload) {
    return read(
        payload,
        unpacker ->
            new ForwardFrame(
                unpacker.unpackLong(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackLong(),
                unpacker.unpackInt(),
                unpackOptional(unpacker),
                unpackOptional(unpacker),
                unpacker.unpackBoolean(),
                unpacker.unpackLong(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpackHeaders(unpacker),
                unpackBytes(unpacker)));
  }

  static byte[] encode(ResponseHeadFrame frame) {
    return write(
        LARGE_BUFFER,
        packer -> {
          packer.packLong(frame.requestId()).packString(frame.target()).packInt(frame.status());
          packHeaders(packer, frame.headers());
        });
  }

  static ResponseHeadFrame decodeHead(byte[] payload) {
    return read(
        payload,
        unpacker ->
            new ResponseHeadFrame(
                unpacker.unpackLong(),
                unpacker.unpackString(),
                unpacker.unpackInt(),
                unpackHeaders(unpacker)));
  }

  static byte[] encode(ResponseChunkFrame frame) {
    return write(
        SMALL_BUFFER,
        packer -> {
          packer.packLong(frame.requestId());
          packBytes(packer, frame.bytes());
        });
  }

  static ResponseChunkFrame decodeChunk(byte[] payload) {
    return read(
        payload, unpacker -> new ResponseChunkFrame(unpacker.unpackLong(), unpackBytes(unpacker)));
  }

  static byte[] encode(ResponseRefusedFrame frame) {
    return write(
        SMALL_BUFFER,
        packer -> {
          packer.packLong(frame.requestId()).packString(frame.kind().name());
          packer.packString(frame.outcome().text()).packString(frame.detail());
          packer.packLong(frame.retryAfterMillis());
        });
  }

  static ResponseRefusedFrame decodeRefused(byte[] payload) {
    return read(
        payload,
        unpacker ->
            new ResponseRefusedFrame(
                unpacker.unpackLong(),
                errorKind(unpacker.unpackString()),
                Outcome.parse(unpacker.unpackString()).orElse(Outcome.UNKNOWN),
                unpacker.unpackString(),
                unpacker.unpackLong()));
  }

  static byte[] encode(ResponseAbortFrame frame) {
    return write(
        SMALL_BUFFER, packer -> packer.packLong(frame.requestId()).packString(frame.cause()));
  }

  static ResponseAbortFrame decodeAbort(byte[] payload) {
    return read(
        payload,
        unpacker -> new ResponseAbortFrame(unpacker.unpackLong(), unpacker.unpackString()));
  }

  static byte[] encode(CreditFrame frame) {
    return write(SMALL_BUFFER, packer -> packer.packLong(frame.requestId()).packInt(frame.bytes()));
  }

  static CreditFrame decodeCredit(byte[] payload) {
    return read(payload, unpacker -> new CreditFrame(unpacker.unpackLong(), unpacker.unpackInt()));
  }

  static byte[] encode(RequestIdFrame frame) {
    return write(SMALL_BUFFER, packer -> packer.packLong(frame.requestId()));
  }

  static RequestIdFrame decodeRequestId(byte[] payload) {
    return read(payload, unpacker -> new RequestIdFrame(unpacker.unpackLong()));
  }

  private static ErrorKind errorKind(String name) {
    for (ErrorKind kind : ERROR_KINDS) {
      if (kind.name().equals(name)) {
        return kind;
      }
    }
    // The kind was added in a newer version. The generic kind is safe, because the outcome is a
    // separate field.
    return ErrorKind.TARGET_FAILED;
  }

  private static void packOptional(MessageBufferPacker packer, Optional<String> value)
      throws IOException {
    if (value.isPresent()) {
      packer.packString(value.get());
    } else {
      packer.packNil();
    }
  }

  private static Optional<String> unpackOptional(MessageUnpacker unpacker) throws IOException {
    return unpacker.tryUnpackNil() ? Optional.empty() : Optional.of(unpacker.unpackString());
  }

  private static void packHeaders(MessageBufferPacker packer, List<Header> headers)
      throws IOException {
    packer.packArrayHeader(headers.size());
    for (Header header : headers) {
      packer.packString(header.name()).packString(header.value());
    }
  }

  private static List<Header> unpackHeaders(MessageUnpacker unpacker) throws IOException {
    int count = unpacker.unpackArrayHeader();
    if (count > MAX_HEADERS) {
      throw new IOException(count + " headers exceed the maximum number of headers in a message");
    }
    List<Header> headers = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      headers.add(new Header(unpacker.unpackString(), unpacker.unpackString()));
    }
    return headers;
  }

  private static void packBytes(MessageBufferPacker packer, byte[] bytes) throws IOException {
    packer.packBinaryHeader(bytes.length).addPayload(bytes);
  }

  private static byte[] unpackBytes(MessageUnpacker unpacker) throws IOException {
    int length = unpacker.unpackBinaryHeader();
    if (length > Frame.MAX_PAYLOAD_BYTES) {
      throw new IOException(length + " bytes exceed the maximum payload of a frame");
    }
    return unpacker.readPayload(length);
  }

  private static byte[] write(MessagePack.PackerConfig config, Writer writer) {
    try (MessageBufferPacker packer = config.newBufferPacker()) {
      writer.write(packer);
      return packer.toByteArray();
    } catch (IOException e) {
      throw ColtsfootwheelException.of(ErrorKind.INVALID_VALUE, "message cannot be encoded", e);
    }
  }

  private static <T> T read(byte[] payload, Reader<T> reader) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
      return reader.read(unpacker);
    } catch (IOException | MessagePackException e) {
      throw ColtsfootwheelException.of(ErrorKind.INVALID_VALUE, "message cannot be decoded", e);
    }
  }

  private interface Writer {
    void write(MessageBufferPacker packer) throws IOException;
  }

  private interface Reader<T> {
    T read(MessageUnpacker unpacker) throws IOException;
  }
}
