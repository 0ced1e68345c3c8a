package org.fieldtrestle.controller;

import java.util.function.Consumer;
import org.fieldtrestle.api.UserApi;
import org.fieldtrestle.context.ControllerContext;
import org.fieldtrestle.protocol.UserProtocol;
import org.fieldtrestle.protocol.WorkerProtocol;
import org.fieldtrestle.transport.EventLoopMeter;
import org.fieldtrestle.transport.EventLoopMeter.Activity;
import org.fieldtrestle.transport.Http;

/** Routes the HTTP requests of users, workers and operators by path and method. */
final class RequestRouter implements Http.Handler {
  private static final int STATUS_OK = 200;
  private static final int NOT_READY_RETRY_AFTER_S = 1;
  private static final String JOB_PREFIX = UserProtocol.JOBS_PATH + "/";

  private static final Http.Response READY = new Http.Response(STATUS_OK, Http.Response.EMPTY);
  private static final Http.Response NOT_READY =
      new Http.Response(503, Http.Response.EMPTY, NOT_READY_RETRY_AFTER_S);
  private static final Http.Response NOT_FOUND = new Http.Response(404, Http.Response.EMPTY);
  private static final Http.Response METHOD_NOT_ALLOWED =
      new Http.Response(405, Http.Response.EMPTY);

  private final ControllerContext context;
  private final EventLoopMeter meter;
  private final UserApi userApi;
  private final HeartbeatRouter heartbeatRouter;
  private final LocalShards shards;

  RequestRouter(
      ControllerContext context,
      EventLoopMeter meter,
      UserApi userApi,
      HeartbeatRouter heartbeatRouter,
      LocalShards shards) {
    this.context = context;
    this.meter = meter;
    this.userApi = userApi;
    this.heartbeatRouter = heartbeatRouter;
    this.shards = shards;
  }

  @Override
  public void handle(Http.Request request, Consumer<Http.Response> reply) {
    if (request.path().equals(WorkerProtocol.HEARTBEAT_PATH)) {
      meter.run(Activity.WORKER_REPORT, () -> routeHeartbeat(request, reply));
    } else {
      meter.run(Activity.OTHER_REQUEST, () -> route(request, reply));
    }
  }

  private void routeHeartbeat(Http.Request request, Consumer<Http.Response> reply) {
    if (isPost(request)) {
      heartbeatRouter.route(request.body(), reply);
    } else {
      reply.accept(METHOD_NOT_ALLOWED);
    }
  }

  private void route(Http.Request request, Consumer<Http.Response> reply) {
    String path = request.path();
    if (path.equals(UserProtocol.READY_PATH)) {
      reply.accept(userApi.isReady() ? READY : NOT_READY);
    } else if (path.equals(UserProtocol.STATS_PATH) && isGet(request)) {
      reply.accept(new Http.Response(STATUS_OK, StatsPage.render(context, shards.all())));
    } else if (path.equals(UserProtocol.JOBS_PATH)) {
      routeSubmission(request, reply);
    } else if (path.startsWith(JOB_PREFIX)) {
      routeJob(request, path.substring(JOB_PREFIX.length()), reply);
    } else {
      reply.accept(NOT_FOUND);
    }
  }

  private void routeSubmission(Http.Request request, Consumer<Http.Response> reply) {
    if (isPost(request)) {
      userApi.tell(new UserApi.Submit(request.body(), reply));
    } else {
      reply.accept(METHOD_NOT_ALLOWED);
    }
  }

  /**
   * Routes a request about one job.
   *
   * @param jobPath the path after {@link #JOB_PREFIX}: a job's id, optionally followed by an action
   */
  private void routeJob(Http.Request request, String jobPath, Consumer<Http.Response> reply) {
    int slash = jobPath.indexOf('/');
    if (slash < 0) {
      if (isGet(request)) {
        userApi.tell(new UserApi.Query(jobPath, reply));
      } else {
        reply.accept(METHOD_NOT_ALLOWED);
      }
    } else if (!jobPath.substring(slash + 1).equals(UserProtocol.CANCEL_SEGMENT)) {
      reply.accept(NOT_FOUND);
    } else if (isPost(request)) {
      userApi.tell(new UserApi.Cancel(jobPath.substring(0, slash), reply));
    } else {
      reply.accept(METHOD_NOT_ALLOWED);
    }
  }

  private static boolean isGet(Http.Request request) {
    return request.method().equals("GET");
  }

  private static boolean isPost(Http.Request request) {
    return request.method().equals("POST");
  }
}
