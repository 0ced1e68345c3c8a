package org.fieldtrestle.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.fieldtrestle.config.Settings;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.metrics.ControllerMetrics;
import org.fieldtrestle.metrics.JobQueryMetrics.Unanswered;
import org.fieldtrestle.protocol.CloudProtocol.MachineType;
import org.fieldtrestle.protocol.JobSpec;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.protocol.UserProtocol;
import org.fieldtrestle.protocol.UserProtocol.Stage;
import org.fieldtrestle.routing.JobSplitter;
import org.fieldtrestle.routing.ShardLoads;
import org.fieldtrestle.state.KeyValueClient;
import org.fieldtrestle.state.Records;
import org.fieldtrestle.state.StateCache;
import org.fieldtrestle.transport.Actor;
import org.fieldtrestle.transport.EventLoopMeter.Activity;
import org.fieldtrestle.transport.Http;
import org.fieldtrestle.transport.Reactor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes submissions, polls and cancellations. */
public final class UserApi extends Actor<UserApi.Message> {
  private static final Logger LOG = LoggerFactory.getLogger(UserApi.class);

  /** Submissions on their way to the state service; beyond these users are told to come back. */
  private static final int MOST_SUBMITTING = 24;

  /** When to come back, in seconds. */
  private static final int RETRY_AFTER_S = 1;

  /** Share of the time that a user waits for an answer after which there is one in any case. */
  private static final double PATIENCE = 0.9;

  private static final long PATIENCE_MS = Math.round(UserProtocol.POLL_TIMEOUT_MS * PATIENCE);

  /** What users ask. */
  public sealed interface Message {}

  public record Submit(byte[] body, Consumer<Http.Response> reply) implements Message {}

  public record Poll(String id, Consumer<Http.Response> reply) implements Message {}

  public record Cancel(String id, Consumer<Http.Response> reply) implements Message {}

  private final ControllerContext context;
  private final ReadBarrier barrier;
  private final ShardLoads loads;
  private final Running running;
  private final Peers peers;
  private final FinishedJobs ended;
  private int submitting;

  /** How many tasks of a job run here. */
  public interface Running {
    int of(String job);
  }

  /** What the other controllers say of the state service. */
  public interface Peers {
    /** Whether any that we hear of is answered by it. */
    boolean anyServed();

    /** Whether we hear of any at all. */
    boolean anyHeard();

    /** A job is cancelled for good. */
    void cancelled(String job);
  }

  public UserApi(ControllerContext context, Running running, Peers peers) {
    super(context.reactor());
    this.context = context;
    this.barrier = new ReadBarrier(context, PATIENCE_MS);
    this.ended = new FinishedJobs(context.store());
    this.loads = context.loads();
    this.running = running;
    this.peers = peers;
  }

  /** Whether this node can take requests. */
  public boolean ready() {
    return context.stateCache().ready() && !context.types().isEmpty() && !cutOff();
  }

  /**
   * Whether the state service does not answer us though it answers others: then users are better
   * off there. Where it answers nobody, leaving would only keep them away for longer, since the
   * load balancer takes its time to come back. Hearing of nobody tells neither; once our own lease
   * must have ended, we step aside.
   */
  private boolean cutOff() {
    long unanswered = context.store().unavailableForMs();
    long patience = context.settings().stateLeaseMs() / 12;
    return unanswered > patience
        && (peers.anyServed()
            || !peers.anyHeard() && unanswered > context.settings().stateLeaseMs());
  }

  /** Whether asking the state service once more only keeps a user waiting. */
  private boolean hopeless() {
    return !context.stateCache().ready()
        || context.store().unavailableForMs() > context.settings().stateLeaseMs() / 12;
  }

  @Override
  protected void receive(Message message) {
    context.metrics().work.run(kind(message), () -> answer(message));
  }

  private static Activity kind(Message message) {
    if (message instanceof Submit) {
      return Activity.USER_SUBMISSION;
    }
    return message instanceof Poll ? Activity.USER_QUERY : Activity.USER_CANCELLATION;
  }

  private void answer(Message message) {
    if (message instanceof Submit submit) {
      long began = context.now();
      submit(
          submit.body(),
          response -> {
            ControllerMetrics.record(context.metrics().submitMs, context.now() - began);
            submit.reply().accept(response);
          });
    } else if (message instanceof Poll poll) {
      long began = context.now();
      status(
          poll.id(),
          response -> {
            ControllerMetrics.record(context.metrics().pollMs, context.now() - began);
            if (response.status() != 503) {
              context.metrics().questions.answered(context.now());
            }
            poll.reply().accept(response);
          },
          false);
    } else if (message instanceof Cancel cancel) {
      cancel(cancel.id(), cancel.reply(), 3);
    }
  }

  private Http.Response later() {
    return new Http.Response(503, Http.Response.EMPTY, RETRY_AFTER_S, cutOff());
  }

  /**
   * A question that cannot be answered now. Where only this controller may be behind, the user had
   * better come back on another connection, which may lead to another controller: open ones are
   * never moved.
   */
  private Http.Response unanswered(Unanswered reason) {
    context.metrics().questions.unanswered(reason, context.now());
    boolean elsewhere = reason != Unanswered.STATE_SERVICE_SILENT || cutOff();
    return new Http.Response(503, Http.Response.EMPTY, RETRY_AFTER_S, elsewhere);
  }

  private static Http.Response refuse(int status, String reason) {
    return new Http.Response(status, UserProtocol.error(reason));
  }

  // ---- submissions

  private void submit(byte[] body, Consumer<Http.Response> reply) {
    JobSpec spec;
    try {
      spec = UserProtocol.readJob(body);
    } catch (Json.MalformedJsonException e) {
      reply.accept(refuse(400, e.getMessage()));
      return;
    }
    if (hopeless()) {
      reply.accept(later());
      return;
    }
    if (ended.remembered(spec.id()) != null || context.stateCache().job(spec.id()) != null) {
      status(spec.id(), reply, true);
      return;
    }
    if (context.types().isEmpty()) {
      reply.accept(later());
      return;
    }
    String never = never(spec);
    if (never != null) {
      refuseUnlessAccepted(spec.id(), refuse(422, never), reply);
      return;
    }
    if (submitting >= MOST_SUBMITTING || context.store().isCongested()) {
      context.metrics().countRefusedSubmission();
      reply.accept(new Http.Response(429, Http.Response.EMPTY, 1));
      return;
    }
    submitting++;
    accept(
        spec,
        response -> {
          submitting--;
          reply.accept(response);
        },
        3);
  }

  private String never(JobSpec spec) {
    Settings.Team team = context.settings().team(spec.team());
    if (team == null) {
      return "unknown team";
    }
    int together = spec.whole() ? spec.tasks() : 1;
    if (team.cpusMax() > 0 && spec.cpus() * together > team.cpusMax()
        || team.gpusMax() > 0 && spec.gpus() * together > team.gpusMax()) {
      return "needs more than the team's limit";
    }
    for (MachineType type : context.types()) {
      if (type.allowedFor(spec)) {
        return null;
      }
    }
    return "a task fits no allowed machine type";
  }

  /** What no other answer may hide: a job that was accepted stays so, whatever is so today. */
  private void refuseUnlessAccepted(
      String id, Http.Response refusal, Consumer<Http.Response> reply) {
    status(id, response -> reply.accept(response.status() == 404 ? refusal : response), true);
  }

  private void accept(JobSpec spec, Consumer<Http.Response> reply, int tries) {
    String zone = spec.oneZone() ? loads.roomiestZone(spec, zonesFor(spec)) : null;
    List<JobSplitter.Candidate> candidates = loads.candidates(spec, zone);
    int maxRanges = context.settings().state().txnOps() - 4;
    // A bitmap of done tasks has to fit a value; half of it is left for the rest.
    int maxPart = (int) (context.settings().state().valueKb() * 1024 / 2 * 6);
    List<JobSplitter.Part> parts =
        JobSplitter.split(spec, candidates, maxPart, context.settings().zones());
    if (parts.size() > maxRanges) {
      parts =
          JobSplitter.split(spec, candidates.subList(0, 1), maxPart, context.settings().zones());
    }
    List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
    conditions.add(new KeyValueProtocol.Condition(Records.job(spec.id()), 0));
    conditions.add(new KeyValueProtocol.Condition(Records.finished(spec.id()), 0));
    Map<String, Long> epochs = new TreeMap<>();
    for (JobSplitter.Part part : parts) {
      epochs.put(part.shard(), context.stateCache().version(Records.shard(part.shard())));
    }
    // Were a shard to change hands meanwhile, its new holder could not tell whether the old one
    // has started anything of these ranges.
    epochs.forEach(
        (shard, epoch) ->
            conditions.add(new KeyValueProtocol.Condition(Records.shard(shard), epoch)));
    List<Records.Part> given = new ArrayList<>();
    for (JobSplitter.Part part : parts) {
      given.add(
          new Records.Part(
              part.shard(), epochs.get(part.shard()), part.from(), part.to(), part.caps()));
    }
    // One write for the job and all its ranges: each gets a record of its own once it differs.
    JsonNode value = Records.write(new Records.Job(spec, reactor.wall(), zone, given));
    if (Json.bytes(value).length > context.settings().state().valueKb() * 1024) {
      // How it is split depends on how the shards stand now: it may have fitted before.
      refuseUnlessAccepted(spec.id(), refuse(400, "larger than what can be kept of a job"), reply);
      return;
    }
    List<KeyValueProtocol.Change> changes =
        List.of(new KeyValueProtocol.Put(Records.job(spec.id()), value, 0));
    List<JobSplitter.Part> taken = parts;
    context
        .store()
        .commit(
            new KeyValueClient.Transaction(conditions, changes),
            result -> {
              if (result instanceof KeyValueClient.Committed committed) {
                loads.taken(spec, taken);
                context.stateCache().committed(changes, committed.revision());
                LOG.debug(
                    "job {} of class {} accepted in {} ranges",
                    spec.id(),
                    spec.jobClass(),
                    taken.size());
                answerAccepted(spec.id(), reply);
              } else if (result instanceof KeyValueClient.Conflict conflict
                  && !conflict.keys().contains(Records.job(spec.id()))
                  && !conflict.keys().contains(Records.finished(spec.id()))) {
                if (tries > 0) {
                  context
                      .stateCache()
                      .await(
                          conflict.revision(),
                          context.stateCache().watchIntervalMs() * 4,
                          seen -> accept(spec, reply, tries - 1));
                } else {
                  reply.accept(later());
                }
              } else if (result instanceof KeyValueClient.Conflict) {
                status(spec.id(), reply, true);
              } else {
                context.metrics().countRefusedSubmission();
                reply.accept(later());
              }
            });
  }

  /** Where the answer to the commit was late, the job may have ended since it was accepted. */
  private void answerAccepted(String id, Consumer<Http.Response> reply) {
    if (context.stateCache().job(id) == null) {
      status(id, reply, true);
    } else {
      reply.accept(new Http.Response(201, UserProtocol.accepted(id, Stage.QUEUED)));
    }
  }

  private List<String> zonesFor(JobSpec spec) {
    TreeSet<String> zones = new TreeSet<>();
    for (MachineType type : context.types()) {
      if (type.allowedFor(spec)) {
        zones.addAll(type.zones());
      }
    }
    if (spec.zone() != null) {
      zones.retainAll(List.of(spec.zone()));
    }
    return List.copyOf(zones);
  }

  // ---- polls

  /** The job's state, no older than any that was told before; 404 where there is none. */
  private void status(String id, Consumer<Http.Response> reply, boolean brief) {
    Records.FinishedJob end = ended.remembered(id);
    if (end != null) {
      reply.accept(finalAnswer(id, end, brief));
    } else if (!UserProtocol.validId(id)) {
      reply.accept(refuse(404, "no such job"));
    } else if (hopeless()) {
      reply.accept(unanswered(Unanswered.STATE_SERVICE_SILENT));
    } else {
      askState(id, inTime(reply), brief);
    }
  }

  private void askState(String id, Consumer<Http.Response> reply, boolean brief) {
    barrier.pass(
        passed -> {
          if (!passed) {
            reply.accept(unanswered(Unanswered.NOT_FOLLOWED_IN_TIME));
            return;
          }
          StateCache.ActiveJob job = context.stateCache().job(id);
          if (job != null) {
            reply.accept(liveAnswer(id, job, brief));
          } else if (context.stateCache().version(Records.job(id)) != 0) {
            reply.accept(unreadableJob(id, brief));
          } else {
            readFinal(id, reply, brief);
          }
        });
  }

  /** A live job whose record this version cannot read; its ranges show that it was accepted. */
  private Http.Response unreadableJob(String id, boolean brief) {
    StateCache.ActiveJob rest = context.stateCache().all().get(id);
    return rest == null || rest.ranges().isEmpty()
        ? unanswered(Unanswered.RECORD_UNREADABLE)
        : liveAnswer(id, rest, brief);
  }

  /**
   * Sees to it that a user who asked is answered while waiting. What is read too late still serves
   * whoever asks next.
   */
  private Consumer<Http.Response> inTime(Consumer<Http.Response> reply) {
    boolean[] replied = {false};
    Reactor.Timer late =
        reactor.schedule(
            PATIENCE_MS,
            () -> {
              if (!replied[0]) {
                replied[0] = true;
                reply.accept(unanswered(Unanswered.LATE));
              }
            });
    return response -> {
      if (!replied[0]) {
        replied[0] = true;
        late.cancel();
        reply.accept(response);
      }
    };
  }

  private void readFinal(String id, Consumer<Http.Response> reply, boolean brief) {
    ended.read(
        id,
        outcome -> {
          if (outcome instanceof FinishedJobs.Ended found) {
            reply.accept(finalAnswer(id, found.end(), brief));
          } else if (outcome instanceof FinishedJobs.NotEnded) {
            // It may have been accepted since we passed the barrier.
            StateCache.ActiveJob job = context.stateCache().job(id);
            reply.accept(job != null ? liveAnswer(id, job, brief) : refuse(404, "no such job"));
          } else {
            reply.accept(unanswered(Unanswered.END_NOT_READ));
          }
        });
  }

  private Http.Response liveAnswer(String id, StateCache.ActiveJob job, boolean brief) {
    int runs = running.of(id);
    int done = job.done();
    Stage stage = runs > 0 || done > 0 ? Stage.RUNNING : Stage.QUEUED;
    return new Http.Response(
        200, brief ? UserProtocol.accepted(id, stage) : UserProtocol.status(id, stage, done, runs));
  }

  private static Http.Response finalAnswer(String id, Records.FinishedJob end, boolean brief) {
    Stage stage = end.done() ? Stage.DONE : Stage.CANCELLED;
    return new Http.Response(
        200,
        brief
            ? UserProtocol.accepted(id, stage)
            : UserProtocol.status(id, stage, end.finished(), 0));
  }

  // ---- cancellations

  private void cancel(String id, Consumer<Http.Response> reply, int tries) {
    Records.FinishedJob end = ended.remembered(id);
    if (end != null) {
      reply.accept(finalAnswer(id, end, true));
      return;
    }
    if (hopeless()) {
      reply.accept(later());
      return;
    }
    StateCache.ActiveJob job = context.stateCache().job(id);
    if (job == null && context.stateCache().version(Records.job(id)) != 0) {
      reply.accept(later()); // a record that we cannot read is not ours to end
      return;
    }
    if (job == null) {
      status(id, reply, true);
      return;
    }
    Records.FinishedJob cancelled =
        new Records.FinishedJob(false, job.job().record().spec().tasks(), job.done());
    List<KeyValueProtocol.Condition> conditions = new ArrayList<>();
    conditions.add(new KeyValueProtocol.Condition(Records.job(id), job.job().version()));
    conditions.add(new KeyValueProtocol.Condition(Records.finished(id), 0));
    List<KeyValueProtocol.Change> changes = new ArrayList<>();
    changes.add(new KeyValueProtocol.Delete(Records.job(id)));
    changes.add(new KeyValueProtocol.Put(Records.finished(id), Records.write(cancelled), 0));
    // Ranges that only the job's record names outlive it by records of their own: their tasks count
    // against the team's limit until they are gone.
    job.ranges()
        .forEach(
            (index, range) -> {
              if (range.version() == 0) {
                String key = Records.range(new Records.RangeKey(id, index));
                conditions.add(new KeyValueProtocol.Condition(key, 0));
                changes.add(new KeyValueProtocol.Put(key, Records.write(range.record()), 0));
              }
            });
    context
        .store()
        .commit(
            new KeyValueClient.Transaction(conditions, changes),
            result -> {
              if (result instanceof KeyValueClient.Committed committed) {
                ended.remember(id, cancelled);
                context.stateCache().committed(changes, committed.revision());
                confirmed(id, committed.revision());
                peers.cancelled(id);
                reply.accept(finalAnswer(id, cancelled, true));
              } else if (result instanceof KeyValueClient.Conflict conflict && tries > 0) {
                context
                    .stateCache()
                    .await(
                        conflict.revision(),
                        context.stateCache().watchIntervalMs() * 8,
                        seen -> {
                          if (seen) {
                            cancel(id, reply, tries - 1);
                          } else {
                            reply.accept(later());
                          }
                        });
              } else {
                reply.accept(later());
              }
            });
  }

  /** The view has the end of the job already, so that no part of this controller acts on it. */
  private void confirmed(String id, long revision) {
    context.cancellations().confirmed(revision);
    LOG.atInfo()
        .addKeyValue("job", id)
        .addKeyValue("revision", revision)
        .addKeyValue("followed", context.stateCache().appliedRevision())
        .log("cancellation confirmed");
  }
}
