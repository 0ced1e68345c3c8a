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
  public record Poll(String id, Consumer<Http.Response> reply) implements Message {}

  /** Cancels a job. */
  public record Cancel(String id, Consumer<Http.Response> reply) implements Message {}

  /** Counts the tasks that run under this controller. */
  public interface Running {
    /** Returns the number of running tasks of a job. */
    int of(String job);
  }

  /** The other controllers. */
  public interface Peers {
    /** Returns whether the key-value store answers any controller heard of recently. */
    boolean anyServed();

    /** Returns whether any other controller was heard of recently. */
    boolean anyHeard();

    /** Notifies the other controllers that the cancellation of a job is committed. */
    void cancelled(String job);
  }

  /** Creates the interface of one controller. */
  public UserApi(ControllerContext context, Running running, Peers peers) {
    super(context.reactor());
    this.context = context;
    this.availability = new StoreAvailability(context, peers);
    FinishedJobs finishedJobs = new FinishedJobs(context.store());
    this.statusHandler = new StatusHandler(context, availability, finishedJobs, running);
    this.submissionHandler =
        new SubmissionHandler(context, availability, statusHandler, finishedJobs);
    this.cancellationHandler =
        new CancellationHandler(context, availability, statusHandler, finishedJobs, peers);
  }

  /** Returns whether this controller can take users' requests. */
  public boolean ready() {
    return context.stateCache().isReady()
        && !context.machineTypes().isEmpty()
        && !availability.isCutOff();
  }

  @Override
  protected void receive(Message message) {
    context.metrics().work.run(activityOf(message), () -> route(message));
  }

  private static Activity activityOf(Message message) {
    if (message instanceof Submit) {
      return Activity.USER_SUBMISSION;
    }
    return message instanceof Poll ? Activity.USER_QUERY : Activity.USER_CANCELLATION;
  }

  private void route(Message message) {
    if (message instanceof Submit submit) {
      submit(submit);
    } else if (message instanceof Poll poll) {
      query(poll);
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
          ControllerMetrics.record(context.metrics().submitMs, context.nowMs() - startedAtMs);
          submit.reply().accept(HttpResponses.of(outcome, HttpResponses.Detail.STAGE));
        });
  }

  private void query(Poll poll) {
    long startedAtMs = context.nowMs();
    statusHandler.query(
        poll.id(),
        outcome -> {
          ControllerMetrics.record(context.metrics().pollMs, context.nowMs() - startedAtMs);
          if (!(outcome instanceof RequestOutcome.Unavailable)) {
            context.metrics().questions.answered(context.nowMs());
          }
          poll.reply().accept(HttpResponses.of(outcome, HttpResponses.Detail.PROGRESS));
        });
  }
}
