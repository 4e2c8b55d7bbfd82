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

/** Codecs of the data-plane messages; fields are written in record order without names. */
final class DataCodec {
  private static final ErrorKind[] KINDS = ErrorKind.values();
  private static final int SMALL_BYTES = 64;
  private static final int HEAD_BYTES = 1024;

  /** Header count above which a message is refused before memory is reserved for it. */
  private static final int MAX_HEADERS = 4096;

  private static final MessagePack.PackerConfig SMALL =
      new MessagePack.PackerConfig().withBufferSize(SMALL_BYTES);
  private static final MessagePack.PackerConfig LARGE =
      new MessagePack.PackerConfig().withBufferSize(HEAD_BYTES);

  private DataCodec() {}

  static byte[] encode(ForwardFrame frame) {
    return write(
        LARGE,
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
        in ->
            new ForwardFrame(
                in.unpackLong(),
                in.unpackString(),
                in.unpackString(),
                in.unpackLong(),
                in.unpackInt(),
                unpackOptional(in),
                unpackOptional(in),
                in.unpackBoolean(),
                in.unpackLong(),
                in.unpackString(),
                in.unpackString(),
                unpackHeaders(in),
                unpackBytes(in)));
  }

  static byte[] encode(ResponseHeadFrame frame) {
    return write(
        LARGE,
        packer -> {
          packer.packLong(frame.requestId()).packString(frame.target()).packInt(frame.status());
          packHeaders(packer, frame.headers());
        });
  }

  static ResponseHeadFrame decodeHead(byte[] payload) {
    return read(
        payload,
        in ->
            new ResponseHeadFrame(
                in.unpackLong(), in.unpackString(), in.unpackInt(), unpackHeaders(in)));
  }

  static byte[] encode(ResponseChunkFrame frame) {
    return write(
        SMALL,
        packer -> {
          packer.packLong(frame.requestId());
          packBytes(packer, frame.bytes());
        });
  }

  static ResponseChunkFrame decodeChunk(byte[] payload) {
    return read(payload, in -> new ResponseChunkFrame(in.unpackLong(), unpackBytes(in)));
  }

  static byte[] encode(ResponseRefusedFrame frame) {
    return write(
        SMALL,
        packer -> {
          packer.packLong(frame.requestId()).packString(frame.kind().name());
          packer.packString(frame.outcome().text()).packString(frame.detail());
          packer.packLong(frame.retryAfterMillis());
        });
  }

  static ResponseRefusedFrame decodeRefused(byte[] payload) {
    return read(
        payload,
        in ->
            new ResponseRefusedFrame(
                in.unpackLong(),
                errorKind(in.unpackString()),
                Outcome.parse(in.unpackString()).orElse(Outcome.UNKNOWN),
                in.unpackString(),
                in.unpackLong()));
  }

  static byte[] encode(ResponseAbortFrame frame) {
    return write(SMALL, p -> p.packLong(frame.requestId()).packString(frame.cause()));
  }

  static ResponseAbortFrame decodeAbort(byte[] payload) {
    return read(payload, in -> new ResponseAbortFrame(in.unpackLong(), in.unpackString()));
  }

  static byte[] encode(CreditFrame frame) {
    return write(SMALL, p -> p.packLong(frame.requestId()).packInt(frame.bytes()));
  }

  static CreditFrame decodeCredit(byte[] payload) {
    return read(payload, in -> new CreditFrame(in.unpackLong(), in.unpackInt()));
  }

  static byte[] encode(RequestIdFrame frame) {
    return write(SMALL, p -> p.packLong(frame.requestId()));
  }

  static RequestIdFrame decodeRequestId(byte[] payload) {
    return read(payload, in -> new RequestIdFrame(in.unpackLong()));
  }

  private static ErrorKind errorKind(String name) {
    for (ErrorKind kind : KINDS) {
      if (kind.name().equals(name)) {
        return kind;
      }
    }
    // A kind of a newer version: the outcome travels separately, so the generic kind is safe.
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

  private static Optional<String> unpackOptional(MessageUnpacker in) throws IOException {
    return in.tryUnpackNil() ? Optional.empty() : Optional.of(in.unpackString());
  }

  private static void packHeaders(MessageBufferPacker packer, List<Header> headers)
      throws IOException {
    packer.packArrayHeader(headers.size());
    for (Header header : headers) {
      packer.packString(header.name()).packString(header.value());
    }
  }

  private static List<Header> unpackHeaders(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    if (count > MAX_HEADERS) {
      throw new IOException(count + " headers");
    }
    List<Header> headers = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      headers.add(new Header(in.unpackString(), in.unpackString()));
    }
    return headers;
  }

  private static void packBytes(MessageBufferPacker packer, byte[] bytes) throws IOException {
    packer.packBinaryHeader(bytes.length).addPayload(bytes);
  }

  private static byte[] unpackBytes(MessageUnpacker in) throws IOException {
    int length = in.unpackBinaryHeader();
    if (length > Frame.MAX_PAYLOAD_BYTES) {
      throw new IOException(length + " bytes");
    }
    return in.readPayload(length);
  }

  private static byte[] write(MessagePack.PackerConfig config, Writer writer) {
    try (MessageBufferPacker packer = config.newBufferPacker()) {
      writer.write(packer);
      return packer.toByteArray();
    } catch (IOException e) {
      throw ColtsfootwheelException.of(ErrorKind.INVALID_VALUE, "message does not encode", e);
    }
  }

  private static <T> T read(byte[] payload, Reader<T> reader) {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(payload)) {
      return reader.read(in);
    } catch (IOException | MessagePackException e) {
      throw ColtsfootwheelException.of(ErrorKind.INVALID_VALUE, "message does not decode", e);
    }
  }

  private interface Writer {
    void write(MessageBufferPacker packer) throws IOException;
  }

  private interface Reader<T> {
    T read(MessageUnpacker in) throws IOException;
  }
}
