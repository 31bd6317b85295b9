#include "tests/soak/upstream.h"

#include <jansson.h>

#include <cinttypes>
#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace soak {

const lc_resources UPSTREAM_CAPACITY = {16000, 65536, 0};

namespace {

const int64_t TICK_MS = 2;
const int64_t HEARTBEAT_MS = 300;

struct DelayedOrder {
    uv_timer_t timer;
    Upstream *upstream;
    std::string path;
    std::string body;
    std::string expected;
};

bool
parse_task(const char *text, lc_run_id *id)
{
    unsigned long long job;

    memset(id, 0, sizeof(*id));
    if (text == nullptr ||
        sscanf(text, "%16llx.%u.%u.%u", &job, &id->occurrence, &id->step,
               &id->index) != 4) {
        return false;
    }
    id->job = job;
    return true;
}

std::string
task_name(const lc_run_id &id)
{
    char text[64];

    snprintf(text, sizeof(text), "%016" PRIx64 ".%u.%u.%u", (uint64_t)id.job,
             id.occurrence, id.step, id.index);
    return text;
}

void
on_delayed_order_closed(uv_handle_t *handle)
{
    delete (DelayedOrder *)handle->data;
}

} // namespace

Upstream::Upstream(uv_loop_t *event_loop, HttpClient *http_client,
                   std::string upstream_name, Address address,
                   Address companion_address)
    : model(upstream_name, 0.98 + 0.0001 * (rand() % 200)),
      name(upstream_name), loop(event_loop), client(http_client),
      companion(companion_address),
      begin_ms((int64_t)uv_now(event_loop) - 1000)
{
    static const HttpServer_Route routes[] = {{"/", serve},
                                              {nullptr, nullptr}};
    Status status;

    server = HttpServer_New(loop, address, routes, this, &status);
    if (server == nullptr) {
        fprintf(stderr, "%s: %s\n", name.c_str(), status.message);
        exit(2); /* could not run */
    }
    uv_timer_init(loop, &tick);
    tick.data = this;
    uv_timer_start(&tick, on_tick, TICK_MS, TICK_MS);
    uv_timer_init(loop, &heartbeat_timer);
    heartbeat_timer.data = this;
    uv_timer_start(&heartbeat_timer, on_heartbeat,
                   (uint64_t)(rand() % HEARTBEAT_MS), HEARTBEAT_MS);
}

void
Upstream::crash()
{
    crashed_instance = model.instance();
    crashed_born_ms = model.born();
    crashed_heartbeats = heartbeats;
    heartbeats_since_crash = 0;
    model.crash(now(), false);
    pending_polls.clear();
}

void
Upstream::start_incarnation()
{
    /* Every second incarnation keeps the instance name of the previous one. */
    if (incarnations++ % 2 == 1) {
        model.bring_up_same_name(now());
    }
    else {
        model.bring_up(now());
    }
    heartbeats = 0;
}

void
Upstream::respond(uint64_t request, Runner_OrderResult result,
                  const std::string &extra_fields)
{
    static const struct {
        Runner_OrderResult result;
        int status;
        const char *reason;
    } rows[] = {
        {RUNNER_ORDER_ACCEPTED, 200, nullptr},
        {RUNNER_ORDER_SUPERSEDED, 409, "old"},
        {RUNNER_ORDER_EXPIRED, 409, "late"},
        {RUNNER_ORDER_FENCED, 409, "fence"},
        {RUNNER_ORDER_OTHER_INCARNATION, 421, nullptr},
    };
    std::string body = "{\"clock_ms\":" + std::to_string(model.clock(now()));
    HttpServer_Response response = {};

    response.status = 400;
    for (const auto &row : rows) {
        if (row.result == result) {
            response.status = row.status;
            if (row.reason != nullptr) {
                body += std::string(",\"reason\":\"") + row.reason + "\"";
            }
        }
    }
    body += extra_fields + "}";
    response.body = body.data();
    response.length = body.size();
    HttpServer_Respond(server, request, &response);
}

bool
Upstream::answer_poll(PendingPoll &pending)
{
    std::vector<Runner_ActiveRun> running;
    std::vector<Runner_EndedRun> ended;
    std::string extra_fields = ",\"born\":" + std::to_string(model.born()) +
                               ",\"running\":[";
    static const char *const ends[] = {"done", "failed", "stopped", "lapsed"};

    pending.poll.instance = pending.instance.c_str();
    Runner_OrderResult result = model.poll(now(), pending.poll, &running,
                                           &ended);
    pending.poll.deadline_ms = 0; /* a poll extends the hold once */
    if (result == RUNNER_ORDER_ACCEPTED && ended.empty() &&
        now() < pending.until_ms) {
        return false;
    }
    for (size_t i = 0; i < running.size(); i++) {
        extra_fields += std::string(i == 0 ? "" : ",") + "[\"" +
                        task_name(running[i].id) + "\"," +
                        std::to_string(running[i].id.run) + ",\"\"," +
                        std::to_string(running[i].percent) + "]";
    }
    extra_fields += "],\"ended\":[";
    for (size_t i = 0; i < ended.size(); i++) {
        extra_fields += std::string(i == 0 ? "" : ",") + "[" +
                        std::to_string(ended[i].number) + ",\"" +
                        task_name(ended[i].id) + "\"," +
                        std::to_string(ended[i].id.run) + ",\"" +
                        ends[ended[i].end] + "\",\"\"]";
    }
    respond(pending.request, result, extra_fields + "]");
    return true;
}

void
Upstream::handle(uint64_t request, const std::string &path,
                 const std::string &text, const std::string &expected)
{
    json_t *body = json_loads(text.c_str(), 0, nullptr);
    int64_t token = json_integer_value(json_object_get(body, "fencing_token"));
    Runner_Start start;
    PendingPoll poll;
    lc_run_id id;

    model.advance(now());
    memset(&start, 0, sizeof(start));
    parse_task(json_string_value(json_object_get(body, "task")), &id);
    id.run = (uint32_t)json_integer_value(json_object_get(body, "run"));
    if (path == "/run-start") {
        start.id = id;
        start.instance = expected.c_str();
        start.token = token;
        start.deadline_ms = json_integer_value(
            json_object_get(body, "deadline_ms"));
        respond(request, model.start(now(), start), "");
    }
    else if (path == "/run-stop" && ignores_stops) {
        ignored_stops.insert(id.job);
    }
    else if (path == "/run-stop") {
        respond(request, model.stop(now(), id, expected, token), "");
    }
    else if (path == "/hold") {
        memset(&poll.poll, 0, sizeof(poll.poll));
        poll.request = request;
        poll.instance = expected;
        poll.poll.token = token;
        poll.poll.deadline_ms = json_integer_value(
            json_object_get(body, "deadline_ms"));
        poll.poll.last_seen = (uint64_t)json_integer_value(
            json_object_get(body, "last_seen"));
        poll.until_ms = now() +
                        json_integer_value(json_object_get(body, "wait_ms"));
        if (!answer_poll(poll)) {
            pending_polls.push_back(poll);
        }
    }
    json_decref(body);
}

void
Upstream::on_delayed_order(uv_timer_t *timer)
{
    DelayedOrder *delayed = (DelayedOrder *)timer->data;

    if (delayed->upstream->model.is_up()) {
        delayed->upstream->handle(0, delayed->path, delayed->body,
                                  delayed->expected);
    }
    uv_close((uv_handle_t *)timer, on_delayed_order_closed);
}

void
Upstream::execute_kept_start()
{
    handle(0, "/run-start", kept_start.body, kept_start.expected);
}

void
Upstream::serve(void *context, const HttpServer_Request *request)
{
    Upstream *self = (Upstream *)context;
    const char *expected = HttpServer_Header(self->server, request->id,
                                             "x-expect-instance");
    std::string body(request->body, request->length);
    std::string instance = expected == nullptr ? "" : expected;

    if (!self->model.is_up()) {
        return; /* not answered, as after a power loss */
    }
    if (self->loses_start && strcmp(request->path, "/run-start") == 0 &&
        self->loses_start()) {
        return;
    }
    if (self->keeps_start && strcmp(request->path, "/run-start") == 0 &&
        self->keeps_start()) {
        self->kept_start = {body, instance};
        return;
    }
    if (self->delay_orders && rand() % 3 == 0) {
        DelayedOrder *delayed = new DelayedOrder{
            {}, self, request->path, body, instance};
        uv_timer_init(self->loop, &delayed->timer);
        delayed->timer.data = delayed;
        uv_timer_start(&delayed->timer, on_delayed_order,
                       (uint64_t)(1000 + rand() % 3000), 0);
        return;
    }
    self->handle(request->id, request->path, body, instance);
}

void
Upstream::on_tick(uv_timer_t *timer)
{
    Upstream *self = (Upstream *)timer->data;
    std::vector<PendingPoll> still_pending;

    if (self->delay_orders) {
        self->last_delayed_ms = (int64_t)uv_now(self->loop);
    }
    if (!self->model.is_up()) {
        return;
    }
    self->model.advance(self->now());
    for (PendingPoll &pending : self->pending_polls) {
        if (!self->answer_poll(pending)) {
            still_pending.push_back(pending);
        }
    }
    self->pending_polls = still_pending;
}

void
Upstream::on_heartbeat_answer(void *, const HttpClient_Answer *)
{
}

namespace {

std::string
heartbeat_body(uint32_t cpu_milli, uint64_t number, int64_t clock_ms,
               int64_t born_ms, const std::string &more)
{
    char body[400];

    snprintf(body, sizeof(body),
             "{\"service\":\"service\",\"state\":\"ready\",\"capacity\":"
             "{\"cpu\":%u,\"mem_mb\":%u,\"gpu\":0},\"labels\":[],"
             "\"clock_ms\":%" PRId64 ",\"seq\":%" PRIu64 ",\"born\":%" PRId64,
             cpu_milli, UPSTREAM_CAPACITY.memory_mb, clock_ms, number,
             born_ms);
    return body + more + "}";
}

} // namespace

void
Upstream::send_body(const std::string &instance, const std::string &body)
{
    HttpClient_Request request = {};
    std::string path = "/instances/" + instance + "/heartbeat";

    request.to = companion;
    request.method = "POST";
    request.path = path.c_str();
    request.body = body.data();
    request.length = body.size();
    request.timeout_ms = 1000;
    HttpClient_Send(client, &request, on_heartbeat_answer, this);
}

void
Upstream::send_heartbeat(const std::string &instance, uint64_t number,
                         int64_t clock_ms, int64_t born_ms)
{
    send_body(instance, heartbeat_body(UPSTREAM_CAPACITY.cpu_milli, number,
                                       clock_ms, born_ms, ""));
}

void
Upstream::send_odd_heartbeat(const OddHeartbeat &odd,
                             const std::string &instance)
{
    send_body(instance.empty() ? model.instance() : instance,
              heartbeat_body(odd.cpu_milli == 0 ? UPSTREAM_CAPACITY.cpu_milli
                                                : odd.cpu_milli,
                             heartbeats + odd.sequence_ahead,
                             model.clock(now()) + odd.clock_ahead_ms,
                             odd.born_ms == 0 ? model.born() : odd.born_ms,
                             odd.more));
}

/* Also sends the last heartbeat of a crashed incarnation late, after the
 * second one of its successor. */
void
Upstream::on_heartbeat(uv_timer_t *timer)
{
    Upstream *self = (Upstream *)timer->data;

    if (!self->model.is_up()) {
        return;
    }
    self->send_heartbeat(self->model.instance(), ++self->heartbeats,
                         self->model.clock(self->now()), self->model.born());
    if (!self->crashed_instance.empty() &&
        ++self->heartbeats_since_crash == 2) {
        self->send_heartbeat(self->crashed_instance,
                             self->crashed_heartbeats + 1, 1,
                             self->crashed_born_ms);
        self->crashed_instance.clear();
    }
}

} // namespace soak
