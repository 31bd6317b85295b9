/**
 * @file minion.h
 * @brief A minion as PROTOCOL.md describes it: it starts what it is told
 * (`admission_check` false), holds everything under one lease on its own
 * clock, lists running and ended runs, and forgets ends up to `last_seen`.
 */
#ifndef REVIEW_MINION_H
#define REVIEW_MINION_H

#include <jansson.h>
#include <uv.h>

#include <cinttypes>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "daemon/http_server.h"
#include "platform/http_client.h"
}

namespace review {

/** What becomes of a run. */
struct Work {
    int64_t ms;     /**< how long it works; -1: until it is stopped */
    bool fails;     /**< it ends `failed`, by its own fault */
    bool crashes;   /**< the minion crashes as it starts the run */
};

class Minion {
  public:
    /** What a run will do. */
    std::function<Work(const std::string &task, uint32_t run)> work_of;
    std::function<void(Minion *, const std::string &task, uint32_t run)>
        on_start;
    /** @p number: of the end in this life. */
    std::function<void(Minion *, const std::string &task, uint32_t run,
                       const std::string &how, uint64_t number)>
        on_end;
    /** `last_seen` has reached the end; @p lapsed: the lease has lapsed since
     * the end. */
    std::function<void(Minion *, const std::string &task, uint32_t run,
                       const std::string &how, bool lapsed)>
        on_note;
    std::function<void(Minion *)> on_crash;

    Minion(uv_loop_t *event_loop, HttpClient *http, std::string minion_name,
           Address address, Address control_address, int64_t cpu_milli)
        : name(minion_name), loop(event_loop), client(http),
          control(control_address), cpu(cpu_milli)
    {
        static const HttpServer_Route routes[] = {{"/", serve},
                                                  {nullptr, nullptr}};
        Status status;

        server = HttpServer_New(loop, address, routes, this, &status);
        if (server == nullptr) {
            fprintf(stderr, "%s: %s\n", name.c_str(), status.message);
            exit(2);
        }
        uv_timer_init(loop, &tick);
        tick.data = this;
        uv_timer_start(&tick, on_tick, 2, 2);
        uv_timer_init(loop, &beat);
        beat.data = this;
        begin();
    }

    /** Begins a life, under a new id. */
    void
    begin()
    {
        lives++;
        id = "i-" + name + "-" + std::to_string(lives);
        born_at = (int64_t)uv_now(loop);
        up = true;
        token = 0;
        deadline = 0;
        lapses = 0;
        lapsed = true;
        last_end = 0;
        beats = 0;
        running.clear();
        ended.clear();
        refused.clear();
        polls.clear();
        /* Each minion beats at a time of its own. */
        uv_timer_start(&beat, on_beat,
                       (uint64_t)(100 + (name.back() * 370) % 1300), 1500);
    }

    /** All that it knows is gone; it answers nothing until it begins again;
     * negative: never. */
    void
    crash(int64_t away_ms)
    {
        up = false;
        uv_timer_stop(&beat);
        if (on_crash) {
            on_crash(this);
        }
        running.clear();
        begin_again_at = away_ms < 0 ? 0 : (int64_t)uv_now(loop) + away_ms;
    }

    bool
    runs(const std::string &task) const
    {
        return running.count(task) != 0;
    }

    const std::string name;
    uint32_t lives = 0;
    bool up = false;
    bool cut_off = false; /**< its heartbeats do not arrive */
    std::string label = "a";

  private:
    struct Run {
        uint32_t run;
        int64_t started;
        Work work;
        int64_t stop_at; /* 0: not told to stop */
    };
    struct Ended {
        uint64_t number;
        std::string task;
        uint32_t run;
        std::string how;
        uint64_t lapses; /* of the lease, at the end */
    };
    struct Poll {
        uint64_t request;
        int64_t until;
    };

    static const int64_t HOLD_MAX_MS = 1000;
    static const int64_t STOP_MS = 30;
    static const int64_t CLOCK_START_MS = 400000;

    int64_t
    clock() const
    {
        return CLOCK_START_MS + (int64_t)uv_now(loop) - born_at;
    }

    void
    respond(uint64_t request, int status, const char *reason,
            const std::string &more = "")
    {
        std::string body = "{\"clock_ms\":" + std::to_string(clock());
        HttpServer_Response response = {};

        if (reason != nullptr) {
            body += std::string(",\"reason\":\"") + reason + "\"";
        }
        body += more + "}";
        response.status = status;
        response.body = body.data();
        response.length = body.size();
        HttpServer_Respond(server, request, &response);
    }

    void
    extend(int64_t until)
    {
        deadline = std::max(deadline, std::min(until, clock() + HOLD_MAX_MS));
        lapsed = lapsed && clock() >= deadline;
    }

    void
    end(const std::string &task, const std::string &how)
    {
        uint32_t run = running[task].run;

        running.erase(task);
        refused[task] = std::max(refused[task], run);
        ended.push_back({++last_end, task, run, how, lapses});
        on_end(this, task, run, how, last_end);
    }

    void
    advance()
    {
        std::map<std::string, Run> now_running = running;

        if (!lapsed && clock() >= deadline) {
            lapsed = true;
            lapses++;
        }
        for (auto &pair : now_running) {
            const Run &run = pair.second;
            int64_t now = (int64_t)uv_now(loop);
            if (lapsed) {
                end(pair.first, "lapsed");
            }
            else if (run.stop_at != 0 && now >= run.stop_at) {
                end(pair.first, "stopped");
            }
            else if (run.work.ms >= 0 && now - run.started >= run.work.ms) {
                end(pair.first, run.work.fails ? "failed" : "done");
            }
        }
    }

    std::string
    lists()
    {
        std::string text = ",\"running\":[";
        const char *comma = "";
        int count = 0;

        for (auto &pair : running) {
            const Run &run = pair.second;
            int64_t at = (int64_t)uv_now(loop) - run.started;
            int64_t percent = run.work.ms < 0
                                  ? 100
                                  : std::min<int64_t>(
                                        99, at * 100 / (run.work.ms + 1));
            text += std::string(comma) + "[\"" + pair.first + "\"," +
                    std::to_string(run.run) + ",\"\"," +
                    std::to_string(percent) + "]";
            comma = ",";
        }
        text += "],\"ended\":[";
        comma = "";
        for (auto &row : ended) {
            if (++count > 500) {
                break;
            }
            text += std::string(comma) + "[" + std::to_string(row.number) +
                    ",\"" + row.task + "\"," + std::to_string(row.run) +
                    ",\"" + row.how + "\",\"\"]";
            comma = ",";
        }
        return text + "]";
    }

    void
    answer_polls(bool all)
    {
        std::vector<Poll> open;

        open.swap(polls);
        for (const Poll &poll : open) {
            if (all || !ended.empty() ||
                (int64_t)uv_now(loop) >= poll.until) {
                respond(poll.request, 200, nullptr, lists());
            }
            else {
                polls.push_back(poll);
            }
        }
    }

    void
    serve_start(uint64_t request, const json_t *body)
    {
        const char *text = json_string_value(json_object_get(body, "task"));
        std::string task = text == nullptr ? "" : text;
        uint32_t run = (uint32_t)json_integer_value(
            json_object_get(body, "run"));
        int64_t until = json_integer_value(
            json_object_get(body, "deadline_ms"));

        if (clock() >= until) {
            respond(request, 409, "late");
            return;
        }
        extend(until);
        if (running.count(task) != 0 && running[task].run == run) {
            respond(request, 200, nullptr);
            return;
        }
        if (running.count(task) != 0 ||
            (refused.count(task) != 0 && run <= refused[task])) {
            respond(request, 409, "old");
            return;
        }
        running[task] = {run, (int64_t)uv_now(loop), work_of(task, run), 0};
        on_start(this, task, run);
        if (running[task].work.crashes) {
            crash(2500);
            return;
        }
        respond(request, 200, nullptr);
    }

    void
    serve_stop(uint64_t request, const json_t *body)
    {
        const char *text = json_string_value(json_object_get(body, "task"));
        std::string task = text == nullptr ? "" : text;
        uint32_t run = (uint32_t)json_integer_value(
            json_object_get(body, "run"));

        if (running.count(task) != 0 && running[task].run == run) {
            if (running[task].stop_at == 0) {
                running[task].stop_at = (int64_t)uv_now(loop) + STOP_MS;
            }
        }
        else {
            refused[task] = std::max(refused[task], run);
        }
        respond(request, 200, nullptr);
    }

    void
    serve_hold(uint64_t request, const json_t *body)
    {
        uint64_t seen = (uint64_t)json_integer_value(
            json_object_get(body, "last_seen"));
        int64_t until = json_integer_value(
            json_object_get(body, "deadline_ms"));
        int64_t wait = json_integer_value(json_object_get(body, "wait_ms"));

        if (until > 0) {
            extend(until);
        }
        while (!ended.empty() && ended.front().number <= seen) {
            Ended row = ended.front();
            ended.pop_front();
            on_note(this, row.task, row.run, row.how, row.lapses != lapses);
        }
        polls.push_back({request, (int64_t)uv_now(loop) + wait});
        answer_polls(false);
    }

    static void
    serve(void *context, const HttpServer_Request *request)
    {
        Minion *self = (Minion *)context;
        const char *expected = HttpServer_Header(self->server, request->id,
                                                 "x-expect-instance");
        json_t *body = json_loadb(request->body, request->length, 0, nullptr);
        int64_t order_token = json_integer_value(
            json_object_get(body, "fencing_token"));

        if (!self->up) {
            json_decref(body);
            return;
        }
        self->advance();
        if (expected != nullptr && expected[0] != '\0' &&
            self->id != expected) {
            self->respond(request->id, 421, nullptr);
        }
        else if (order_token < self->token) {
            self->respond(request->id, 409, "fence");
        }
        else {
            self->token = order_token;
            if (strcmp(request->path, "/run-start") == 0) {
                self->serve_start(request->id, body);
            }
            else if (strcmp(request->path, "/run-stop") == 0) {
                self->serve_stop(request->id, body);
            }
            else if (strcmp(request->path, "/hold") == 0) {
                self->serve_hold(request->id, body);
            }
            else {
                self->respond(request->id, 400, nullptr);
            }
        }
        json_decref(body);
    }

    static void
    on_tick(uv_timer_t *timer)
    {
        Minion *self = (Minion *)timer->data;

        if (!self->up) {
            if (self->begin_again_at != 0 &&
                (int64_t)uv_now(self->loop) >= self->begin_again_at) {
                self->begin_again_at = 0;
                self->begin();
            }
            return;
        }
        self->advance();
        self->answer_polls(false);
    }

    static void
    on_beat(uv_timer_t *timer)
    {
        Minion *self = (Minion *)timer->data;
        HttpClient_Request request = {};
        std::string path = "/instances/" + self->id + "/heartbeat";
        char body[400];

        if (self->cut_off) {
            return;
        }
        snprintf(body, sizeof(body),
                 "{\"service\":\"verdict\",\"address\":\"127.0.0.1:1\","
                 "\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,"
                 "\"state\":\"ready\",\"cold_remaining_ms\":0,"
                 "\"capacity\":{\"cpu\":%" PRId64
                 ",\"mem_mb\":65536,\"gpu\":0},\"labels\":[\"%s\"],"
                 "\"clock_ms\":%" PRId64 ",\"seq\":%" PRIu64 "}",
                 self->cpu, self->label.c_str(), self->clock(),
                 ++self->beats);
        request.to = self->control;
        request.method = "POST";
        request.path = path.c_str();
        request.headers = "Content-Type: application/json\r\n";
        request.body = body;
        request.length = strlen(body);
        request.timeout_ms = 1000;
        HttpClient_Send(self->client, &request,
                        [](void *, const HttpClient_Answer *) {}, self);
    }

    uv_loop_t *loop;
    HttpClient *client;
    Http_Server *server;
    Address control;
    int64_t cpu;
    std::string id;
    int64_t born_at = 0;
    int64_t begin_again_at = 0;
    uv_timer_t tick;
    uv_timer_t beat;
    int64_t token = 0;
    int64_t deadline = 0; /* of the lease, on its clock */
    uint64_t lapses = 0;
    bool lapsed = true;
    uint64_t last_end = 0;
    uint64_t beats = 0;
    std::map<std::string, Run> running;
    std::list<Ended> ended;
    std::map<std::string, uint32_t> refused; /* runs up to this are rejected */
    std::vector<Poll> polls;
};

} // namespace review

#endif
