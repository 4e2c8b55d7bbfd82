package io.coltsfootwheel.control;

import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.PolicyLists;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.model.TargetId;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Snapshot of the control state: a 4-byte magic, a 4-byte format version, and MessagePack.
 *
 * <p>Each slot is written as two small numbers, positions in a list of owners and a list of fences,
 * because many slots share both.
 */
final class SnapshotFormat {
  static final int VERSION = 1;
  private static final int MAGIC = 0x43574354;
  private static final int HEADER_BYTES = 8;

  private SnapshotFormat() {}

  static byte[] encode(Content content) {
    Image image =
        new Image(
            content.index(),
            content.instances().values(),
            content.services().values().stream().map(SnapshotFormat::image).toList(),
            content.targets().values(),
            content.lists(),
            content.changes().results().entrySet().stream()
                .map(e -> new ChangeImage(e.getKey(), e.getValue()))
                .toList(),
            content.explanations().entries());
    byte[] body = ControlCodec.encode(image);
    return ByteBuffer.allocate(HEADER_BYTES + body.length)
        .putInt(MAGIC)
        .putInt(VERSION)
        .put(body)
        .array();
  }

  static Content decode(byte[] bytes) {
    if (bytes.length < HEADER_BYTES || ByteBuffer.wrap(bytes).getInt() != MAGIC) {
      throw ColtsfootwheelException.of(
          ErrorKind.INVALID_VALUE, "the bytes are not a snapshot of the control state");
    }
    int version = ByteBuffer.wrap(bytes).getInt(Integer.BYTES);
    if (version != VERSION) {
      throw ColtsfootwheelException.of(
          ErrorKind.UNSUPPORTED_VERSION,
          "snapshot has format version " + version + ", this program reads version " + VERSION);
    }
    byte[] body = Arrays.copyOfRange(bytes, HEADER_BYTES, bytes.length);
    return content(ControlCodec.decode(body, Image.class));
  }

  private static Content content(Image image) {
    SortedTable<InstanceId, InstanceState> instances = SortedTable.empty();
    for (InstanceState instance : image.instances()) {
      instances = instances.with(instance.spec().id(), instance);
    }
    SortedTable<TargetId, TargetState> targets = SortedTable.empty();
    for (TargetState target : image.targets()) {
      targets = targets.with(target.spec().id(), target);
    }
    SortedTable<ServiceName, ServiceState> services = SortedTable.empty();
    for (ServiceImage service : image.services()) {
      services = services.with(service.spec().name(), service(service, image.targets()));
    }
    Map<String, CommandResult> changes = new LinkedHashMap<>();
    image.changes().forEach(c -> changes.put(c.id(), c.result()));
    return new Content(
        image.index(),
        instances,
        services,
        targets,
        image.lists(),
        new ChangeMemory(Collections.unmodifiableMap(changes)),
        new Explanations(List.copyOf(image.explanations())));
  }

  private static ServiceState service(ServiceImage image, List<TargetState> targets) {
    SortedTable<TargetId, TargetEntry> entries = SortedTable.empty();
    for (TargetState target : targets) {
      if (target.spec().service().equals(image.spec().name())) {
        entries = entries.with(target.spec().id(), target.entry());
      }
    }
    return new ServiceState(image.spec(), entries, table(image));
  }

  private static ServiceImage image(ServiceState service) {
    SlotTable table = service.slots();
    Map<TargetId, Integer> owners = new LinkedHashMap<>();
    Map<Long, Integer> fences = new LinkedHashMap<>();
    int[] slots = new int[table.size() * 2];
    for (int slot = 0; slot < table.size(); slot++) {
      TargetId owner = table.ownerOrNull(slot);
      slots[2 * slot] = owner == null ? 0 : position(owners, owner) + 1;
      slots[2 * slot + 1] = position(fences, table.fence(slot));
    }
    List<HandoverImage> handovers = new ArrayList<>();
    for (int slot : table.handovers().keys()) {
      handovers.add(new HandoverImage(slot, table.handovers().getOrNull(slot)));
    }
    return new ServiceImage(
        service.spec(),
        List.copyOf(owners.keySet()),
        List.copyOf(fences.keySet()),
        slots,
        handovers,
        table.movedForLoad().keys());
  }

  private static <T> int position(Map<T, Integer> positions, T value) {
    Integer known = positions.get(value);
    if (known != null) {
      return known;
    }
    positions.put(value, positions.size());
    return positions.size() - 1;
  }

  private static SlotTable table(ServiceImage image) {
    int size = image.slots().length / 2;
    TargetId[] owners = new TargetId[size];
    long[] fences = new long[size];
    for (int slot = 0; slot < size; slot++) {
      int owner = image.slots()[2 * slot];
      owners[slot] = owner == 0 ? null : image.owners().get(owner - 1);
      fences[slot] = image.fences().get(image.slots()[2 * slot + 1]);
    }
    SlotTable table = SlotTable.of(owners, fences).withMovedForLoad(image.movedForLoad());
    for (HandoverImage handover : image.handovers()) {
      table = table.withHandover(List.of(handover.slot()), handover.handover());
    }
    return table;
  }

  /** Whole state. */
  record Image(
      long index,
      List<InstanceState> instances,
      List<ServiceImage> services,
      List<TargetState> targets,
      PolicyLists lists,
      List<ChangeImage> changes,
      List<Explanation> explanations) {}

  /** Service; {@code slots} holds owner position + 1 and fence position of each hash slot. */
  record ServiceImage(
      ServiceSpec spec,
      List<TargetId> owners,
      List<Long> fences,
      int[] slots,
      List<HandoverImage> handovers,
      List<Integer> movedForLoad) {}

  /** Hash slot in handover. */
  record HandoverImage(int slot, Handover handover) {}

  /** Change identity and its first result. */
  record ChangeImage(String id, CommandResult result) {}
}
