package org.fieldtrestle.api;

import java.util.function.Consumer;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.metrics.ControllerMetrics;
import org.fieldtrestle.transport.Actor;
import org.fieldtrestle.transport.EventLoopMeter.Activity;
import org.fieldtrestle.transport.Http;

/**
 * Routes users' requests to the handlers of submissions, status queries and cancellations, and
 * measures them. Each request is answered exactly once, on the event loop.
 */
public final class UserApi extends Actor<UserApi.Message> {
  private final ControllerContext context;
  private final StoreAvailability availability;
  private final SubmissionHandler submissionHandler;
  private final StatusHandler statusHandler;
  private final CancellationHandler cancellationHandler;

  /** A user's request. */
  public sealed interface Message {}

  /** Submits the job that a JSON body describes. */
  @SuppressWarnings("ArrayRecordComponent") // messages are never compared
  public record Submit(byte[] body, Consumer<Http.Response> reply) implements Message {}

  /** Queries the status of a job. */
  public record Query(String id, Consumer<Http.Response> reply) implements Message {}

  /** Cancels a job. */
  public record Cancel(String id, Consumer<Http.Response> reply) implements Message {}

  /** Counts the running tasks in the shards that this controller leads. */
  public interface RunningTaskCounter {
    /** Returns the number of running tasks of a job. */
    int count(String job);
  }

  /** Access to the other controllers. */
  public interface Peers {
    /** Returns whether the key-value store answers any other controller that is alive. */
    boolean isStoreAvailableToAny();

    /** Returns whether any other controller is alive, that is, has sent a message recently. */
    boolean isAnyAlive();

    /** Notifies the other controllers that the cancellation of a job is committed. */
    void broadcastCancellation(String job);
  }

  /** Creates the user API of one controller. */
  public UserApi(ControllerContext context, RunningTaskCounter runningTaskCounter, Peers peers) {
    super(context.reactor());
    this.context = context;
    this.availability = new StoreAvailability(context, peers);
    FinishedJobs finishedJobs = new FinishedJobs(context.store());
    this.statusHandler = new StatusHandler(context, availability, finishedJobs, runningTaskCounter);
    this.submissionHandler =
        new SubmissionHandler(context, availability, statusHandler, finishedJobs);
    this.cancellationHandler =
        new CancellationHandler(context, availability, statusHandler, finishedJobs, peers);
  }

  /** Returns whether this controller is ready to serve users' requests. */
  public boolean isReady() {
    return context.stateCache().isReady()
        && !context.machineTypes().isEmpty()
        && !availability.isCutOff();
  }

  @Override
  protected void receive(Message message) {
    context.metrics().eventLoopMeter.run(activityOf(message), () -> route(message));
  }

  private static Activity activityOf(Message message) {
    if (message instanceof Submit) {
      return Activity.USER_SUBMISSION;
    }
    return message instanceof Query ? Activity.USER_QUERY : Activity.USER_CANCELLATION;
  }

  private void route(Message message) {
    if (message instanceof Submit submit) {
      submit(submit);
    } else if (message instanceof Query query) {
      query(query);
    } else if (message instanceof Cancel cancel) {
      cancellationHandler.cancel(
          cancel.id(),
          outcome -> cancel.reply().accept(HttpResponses.of(outcome, HttpResponses.Detail.STAGE)));
    }
  }

  private void submit(Submit submit) {
    long startedAtMs = context.nowMs();
    submissionHandler.submit(
        submit.body(),
        outcome -> {
          ControllerMetrics.record(context.metrics().submissionMs, context.nowMs() - startedAtMs);
          submit.reply().accept(HttpResponses.of(outcome, HttpResponses.Detail.STAGE));
        });
  }

  private void query(Query query) {
    long startedAtMs = context.nowMs();
    statusHandler.query(
        query.id(),
        outcome -> {
          ControllerMetrics.record(context.metrics().jobQueryMs, context.nowMs() - startedAtMs);
          if (!(outcome instanceof RequestOutcome.Unavailable)) {
            context.metrics().jobQueries.queryAnswered(context.nowMs());
          }
          query.reply().accept(HttpResponses.of(outcome, HttpResponses.Detail.PROGRESS));
        });
  }
}
