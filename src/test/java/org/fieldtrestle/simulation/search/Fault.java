package org.fieldtrestle.simulation.search;

import org.fieldtrestle.simulation.SteppedCluster;
import org.fieldtrestle.simulation.SteppedCluster.Effect;
import org.fieldtrestle.simulation.SteppedCluster.Step;
import org.fieldtrestle.simulation.SteppedCluster.StepKind;

/** What can be done to the cluster before a step. */
enum Fault {
  /** The message of the step is lost. */
  MESSAGE_LOST(false),
  /** The message of the step is held back within its time-out. */
  MESSAGE_LATE(false),
  /** Transactions sent within the next moment get no answer and are executed late. */
  TRANSACTIONS_LATE(false),
  /** The key-value store refuses everybody. */
  STATE_OUTAGE(true),
  /** The key-value store refuses everybody, and its answers on their way to anybody are lost. */
  STATE_OUTAGE_LOSING_ANSWERS(true),
  /** The key-value store refuses the controller of the step. */
  CONTROLLER_REFUSED(true),
  /** The controller reaches neither the key-value store nor the other controllers. */
  CONTROLLER_CUT_OFF(true),
  /** The controller and all workers do not reach each other. */
  CONTROLLER_WITHOUT_WORKERS(true),
  /** No watch of the controller is answered. */
  WATCHES_LOST(true),
  /** The key-value store is slow. */
  STATE_SLOW(true),
  /** The controller stands still while its clocks run on. */
  CONTROLLER_FROZEN(true),
  /** The controller ends, and is back after a while. */
  CONTROLLER_ENDS(true),
  /** The controller ends, and is back within a fraction of a second. */
  CONTROLLER_RESTARTS(false),
  /** The machines with tasks of the scenario's first job hang. */
  MACHINES_HANG(true),
  /** The machines with tasks of the scenario's first job are lost. */
  MACHINES_LOST(false);

  /** For how long answers on their way are lost, and transactions are executed late, in ms. */
  private static final long MOMENT_MS = 100;

  /** A lost watch is given up after about so long, and nothing is heard by it until then, in ms. */
  private static final long MISSED_MS = 12_000;

  private static final long BACK_AT_ONCE_MS = 200;

  private final boolean hasLength;

  Fault(boolean hasLength) {
    this.hasLength = hasLength;
  }

  /** Whether it goes on for a length of time that is to be chosen. */
  boolean hasLength() {
    return hasLength;
  }

  /** Whether placing it before a step of this kind makes sense. */
  boolean appliesTo(Step step) {
    return switch (this) {
      case MESSAGE_LOST, MESSAGE_LATE -> step.kind() != StepKind.CLOUD_ANSWER;
      case TRANSACTIONS_LATE ->
          step.kind() == StepKind.STORE_REQUEST && step.detail().startsWith("/commit ");
      default -> true;
    };
  }

  /** Begins the fault before a step; returns what becomes of the step's own message. */
  Effect inject(SteppedCluster cluster, Step step, long lengthMs) {
    String controller = step.controller();
    switch (this) {
      case MESSAGE_LOST, MESSAGE_LATE -> cluster.noteFault(MISSED_MS);
      case TRANSACTIONS_LATE -> cluster.executeTransactionsLate(MOMENT_MS);
      case STATE_OUTAGE, STATE_OUTAGE_LOSING_ANSWERS -> cluster.storeOutage(lengthMs);
      case CONTROLLER_REFUSED -> cluster.refuseStoreRequests(controller, lengthMs);
      case CONTROLLER_CUT_OFF -> cluster.disconnectFromStoreAndPeers(controller, lengthMs);
      case CONTROLLER_WITHOUT_WORKERS -> cluster.disconnectFromWorkers(controller, lengthMs);
      case WATCHES_LOST -> cluster.noteFault(lengthMs);
      case STATE_SLOW -> cluster.slowStore(lengthMs);
      case CONTROLLER_FROZEN -> cluster.freeze(controller, lengthMs);
      case CONTROLLER_ENDS -> cluster.kill(controller, lengthMs);
      case CONTROLLER_RESTARTS -> cluster.kill(controller, BACK_AT_ONCE_MS);
      case MACHINES_HANG -> cluster.hangMachinesOf(Scenario.FIRST_JOB, lengthMs);
      case MACHINES_LOST -> cluster.loseMachinesOf(Scenario.FIRST_JOB);
    }
    return switch (this) {
      case MESSAGE_LOST -> Effect.LOST;
      case MESSAGE_LATE -> Effect.LATE;
      default -> Effect.NONE;
    };
  }

  /** What becomes of a later message while the fault goes on, beyond what the cluster does. */
  Effect effectOn(Step begun, Step later, long lengthMs) {
    long since = later.atMs() - begun.atMs();
    boolean answer = later.kind() == StepKind.STORE_ANSWER;
    boolean lost =
        switch (this) {
          case STATE_OUTAGE_LOSING_ANSWERS -> answer && since <= MOMENT_MS;
          case WATCHES_LOST ->
              answer
                  && since <= lengthMs
                  && later.controller().equals(begun.controller())
                  && later.detail().equals("/watch");
          default -> false;
        };
    return lost ? Effect.LOST : Effect.NONE;
  }
}
