package io.coltsfootwheel.consensus;

import io.coltsfootwheel.model.InstanceId;

/**
 * Identity of a member of the replication group: an instance and its disk.
 *
 * <p>An instance whose disk was replaced is a different member, because the term, vote and entries
 * that it acknowledged are lost with the disk.
 *
 * @param instance name of the instance
 * @param diskId random identifier that was written when the data folder was created
 */
public record MemberId(InstanceId instance, String diskId) {
  @Override
  public String toString() {
    return instance + "/" + diskId;
  }
}
