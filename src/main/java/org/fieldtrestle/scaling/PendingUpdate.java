package org.fieldtrestle.scaling;

import org.fieldtrestle.state.MachineRecord;

/** A change of one machine's entry in the inventory that is not written yet. */
sealed interface PendingUpdate {
  /**
   * Adds a machine.
   *
   * @param machine the entry; its part of the inventory is chosen when it is written
   * @param adopted whether the machine was not rented by this shard, so that another shard may add
   *     it at the same time
   * @param decided called once the machine is added, or is known not to be
   */
  record Add(MachineRecord machine, boolean adopted, Runnable decided) implements PendingUpdate {}

  /** Marks a machine as up, so that tasks may have been started on it. */
  record MarkUp() implements PendingUpdate {}

  /** Removes a machine. */
  record Remove() implements PendingUpdate {}
}
