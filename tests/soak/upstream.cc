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
const int64_t BEAT_MS = 300;

struct Late {
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
task_text(const lc_run_id &id)
{
    char text[64];

    snprintf(text, sizeof(text), "%016" PRIx64 ".%u.%u.%u", (uint64_t)id.job,
             id.occurrence, id.step, id.index);
    return text;
}

void
on_late_closed(uv_handle_t *handle)
{
    delete (Late *)handle->data;
}

} // namespace

Upstream::Upstream(uv_loop_t *on, Http_Client *http, std::string called,
                   Address address, Address beside)
    : model(called, 0.98 + 0.0001 * (rand() % 200)), name(called), loop(on),
      client(http), companion(beside), begin_ms((int64_t)uv_now(on) - 1000)
{
    static const Http_Route routes[] = {{"/", serve}, {nullptr, nullptr}};
    Status status;

    server = Http_NewServer(loop, address, routes, this, &status);
    if (server == nullptr) {
        fprintf(stderr, "%s: %s\n", name.c_str(), status.message);
        exit(1);
    }
    uv_timer_init(loop, &tick);
    tick.data = this;
    uv_timer_start(&tick, on_tick, TICK_MS, TICK_MS);
    uv_timer_init(loop, &beat);
    beat.data = this;
    uv_timer_start(&beat, on_beat, (uint64_t)(rand() % BEAT_MS), BEAT_MS);
}

void
Upstream::crash()
{
    dead = model.instance();
    dead_born = model.born();
    dead_beats = beats;
    beats_since = 0;
    model.crash(now(), false);
    waiting.clear();
}

void
Upstream::come_up()
{
    /* Every second life has the name of the one before. */
    if (lives++ % 2 == 1) {
        model.come_again(now());
    }
    else {
        model.come_up(now());
    }
    beats = 0;
}

void
Upstream::respond(uint64_t request, Runner_OrderEnd end,
                  const std::string &more)
{
    static const struct {
        Runner_OrderEnd end;
        int status;
        const char *reason;
    } rows[] = {
        {RUNNER_ORDER_TAKEN, 200, nullptr},
        {RUNNER_ORDER_OLD, 409, "old"},
        {RUNNER_ORDER_LATE, 409, "late"},
        {RUNNER_ORDER_FENCED, 409, "fence"},
        {RUNNER_ORDER_OTHER, 421, nullptr},
    };
    std::string body = "{\"clock_ms\":" + std::to_string(model.clock(now()));
    Http_Response response = {};

    response.status = 400;
    for (const auto &row : rows) {
        if (row.end == end) {
            response.status = row.status;
            if (row.reason != nullptr) {
                body += std::string(",\"reason\":\"") + row.reason + "\"";
            }
        }
    }
    body += more + "}";
    response.body = body.data();
    response.length = body.size();
    Http_Respond(server, request, &response);
}

bool
Upstream::answer_look(Waiting &one)
{
    std::vector<Runner_Row> running;
    std::vector<Runner_EndRow> ended;
    std::string more = ",\"born\":" + std::to_string(model.born()) +
                       ",\"running\":[";
    static const char *const ends[] = {"done", "failed", "stopped", "lapsed"};

    one.look.instance = one.instance.c_str();
    Runner_OrderEnd end = model.look(now(), one.look, &running, &ended);
    one.look.deadline_ms = 0; /* extended once */
    if (end == RUNNER_ORDER_TAKEN && ended.empty() && now() < one.until_ms) {
        return false;
    }
    for (size_t i = 0; i < running.size(); i++) {
        more += std::string(i == 0 ? "" : ",") + "[\"" +
                task_text(running[i].id) + "\"," +
                std::to_string(running[i].id.run) + ",\"\"," +
                std::to_string(running[i].percent) + "]";
    }
    more += "],\"ended\":[";
    for (size_t i = 0; i < ended.size(); i++) {
        more += std::string(i == 0 ? "" : ",") + "[" +
                std::to_string(ended[i].number) + ",\"" +
                task_text(ended[i].id) + "\"," +
                std::to_string(ended[i].id.run) + ",\"" + ends[ended[i].end] +
                "\",\"\"]";
    }
    respond(one.request, end, more + "]");
    return true;
}

void
Upstream::handle(uint64_t request, const std::string &path,
                 const std::string &text, const std::string &expected)
{
    json_t *body = json_loads(text.c_str(), 0, nullptr);
    int64_t token = json_integer_value(json_object_get(body, "fencing_token"));
    Runner_Start start;
    Waiting look;
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
    else if (path == "/run-stop") {
        respond(request, model.stop(now(), id, expected, token), "");
    }
    else if (path == "/hold") {
        memset(&look.look, 0, sizeof(look.look));
        look.request = request;
        look.instance = expected;
        look.look.token = token;
        look.look.deadline_ms = json_integer_value(
            json_object_get(body, "deadline_ms"));
        look.look.last_seen = (uint64_t)json_integer_value(
            json_object_get(body, "last_seen"));
        look.until_ms = now() +
                        json_integer_value(json_object_get(body, "wait_ms"));
        if (!answer_look(look)) {
            waiting.push_back(look);
        }
    }
    json_decref(body);
}

void
Upstream::on_late(uv_timer_t *timer)
{
    Late *late = (Late *)timer->data;

    if (late->upstream->model.is_up()) {
        late->upstream->handle(0, late->path, late->body, late->expected);
    }
    uv_close((uv_handle_t *)timer, on_late_closed);
}

void
Upstream::serve(void *context, const Http_Request *request)
{
    Upstream *self = (Upstream *)context;
    const char *expected = Http_Header(self->server, request->id,
                                       "x-expect-instance");
    std::string body(request->body, request->length);
    std::string instance = expected == nullptr ? "" : expected;

    if (!self->model.is_up()) {
        return; /* silent, as without power */
    }
    if (self->late_orders && rand() % 3 == 0) {
        Late *late = new Late{{}, self, request->path, body, instance};
        uv_timer_init(self->loop, &late->timer);
        late->timer.data = late;
        uv_timer_start(&late->timer, on_late, (uint64_t)(1000 + rand() % 3000),
                       0);
        return;
    }
    self->handle(request->id, request->path, body, instance);
}

void
Upstream::on_tick(uv_timer_t *timer)
{
    Upstream *self = (Upstream *)timer->data;
    std::vector<Waiting> left;

    if (self->late_orders) {
        self->late_ms = (int64_t)uv_now(self->loop);
    }
    if (!self->model.is_up()) {
        return;
    }
    self->model.advance(self->now());
    for (Waiting &one : self->waiting) {
        if (!self->answer_look(one)) {
            left.push_back(one);
        }
    }
    self->waiting = left;
}

void
Upstream::on_beat_answer(void *, const Http_ClientAnswer *)
{
}

void
Upstream::send_beat(const std::string &instance, uint64_t number,
                    int64_t clock_ms, int64_t born_ms)
{
    Http_ClientRequest request = {};
    char body[400];
    std::string path = "/instances/" + instance + "/heartbeat";

    snprintf(body, sizeof(body),
             "{\"service\":\"service\",\"state\":\"ready\",\"capacity\":"
             "{\"cpu\":%u,\"mem_mb\":%u,\"gpu\":0},\"labels\":[],"
             "\"clock_ms\":%" PRId64 ",\"seq\":%" PRIu64 ",\"born\":%" PRId64
             "}",
             UPSTREAM_CAPACITY.cpu_milli, UPSTREAM_CAPACITY.memory_mb,
             clock_ms, number, born_ms);
    request.to = companion;
    request.method = "POST";
    request.path = path.c_str();
    request.body = body;
    request.length = strlen(body);
    request.timeout_ms = 1000;
    Http_Send(client, &request, on_beat_answer, this);
}

/* The last heartbeat of one that crashed comes when its successor has
 * registered. */
void
Upstream::on_beat(uv_timer_t *timer)
{
    Upstream *self = (Upstream *)timer->data;

    if (!self->model.is_up()) {
        return;
    }
    self->send_beat(self->model.instance(), ++self->beats,
                    self->model.clock(self->now()), self->model.born());
    if (!self->dead.empty() && ++self->beats_since == 2) {
        self->send_beat(self->dead, self->dead_beats + 1, 1, self->dead_born);
        self->dead.clear();
    }
}

} // namespace soak
