#include "tests/soak/cluster.h"

#include <signal.h>

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <cstdlib>
#include <cstring>

extern "C" {
#include "base/random.h"
}

namespace soak {

namespace {

const int64_t RESUBMIT_MS = 1300;
const int64_t CALLER_MS = 2500;
const int64_t LOOK_MS = 1000;
const int64_t LOOK_AGAIN_MS = 250;
const int TRIES = 3;
const int STORE_HOST = 200;
/* Of the settings: no start in a hall that is closed for longer. */
const int64_t CLOSE_MS = 3000;
/* Besides, for ticks and waits on a machine that is busy with all processes.
 */
const int64_t CLOSE_SLACK_MS = 1000;
/* An order that is carried out late is so by this at most. */
const int64_t LATE_MOST_MS = 8000;
const int HALLS = 3;
const int GONE_HOST = 230;

/* Ports of a host; every process has an IP number of its own. */
enum {
    PORT_RPC,
    PORT_RPC_LISTEN,
    PORT_ADMIN,
    PORT_FRONT,
    PORT_READY,
    PORT_BEATS,
    PORT_APP,
    PORT_APP_PROXY,
    PORT_STORE
};

struct Timer {
    uv_timer_t handle;
    std::function<void()> run;
};

int
entry_host(int index)
{
    return index < 40 ? 10 + index : 130 + index;
}

int
companion_host(int index)
{
    return 50 + index;
}

/* As long as those of the users' larger deployments, some 200 bytes. */
std::string
idle_queue(int number)
{
    char text[256];

    snprintf(text, sizeof(text),
             ",{\"name\":\"idle-%06d\",\"host\":\"idle-%06d.example\","
             "\"path_prefix\":\"/idle-%06d/\",\"service\":\"service\","
             "\"timeout_ms\":1500,\"max_attempts\":3,\"stretch\":1.6,"
             "\"priority\":1,\"target_latency_ms\":60}",
             number, number, number);
    return text;
}

} // namespace

void
Cluster::narrow(int entry, int64_t bytes_per_s)
{
    auto line = std::make_shared<Line>(bytes_per_s);

    store_paths[(size_t)entry]->answer_over(line);
    for (int i = 0; i < shape.entries; i++) {
        if (i != entry) {
            entry_rpc[(size_t)i]->answer_over(line);
        }
    }
}

struct Cluster::Attempt {
    Cluster *cluster;
    uint64_t id;
    bool leaves;
    int64_t sent_ms;
};

Cluster::Cluster(const Shape &wanted)
    : shape(wanted), loop(uv_default_loop()), begin_ms((int64_t)uv_now(loop)),
      random_state(Random_Seed(wanted.seed * 2654435761U)),
      client(Http_NewClient(loop))
{
    srand((unsigned)wanted.seed);
    set_up();
    watch_upstreams();
    put_routes();
    end_on(&terminate, SIGTERM);
    end_on(&interrupt, SIGINT);
}

/* Whoever ends the soak ends what it started. */
void
Cluster::end_on(uv_signal_t *handle, int number)
{
    uv_signal_init(loop, handle);
    handle->data = this;
    uv_signal_start(
        handle,
        [](uv_signal_t *given, int) {
            Cluster *self = (Cluster *)given->data;
            self->checker.violation(self->now(), "the soak was ended early");
            self->finish();
        },
        number);
}

uint32_t
Cluster::pick(uint32_t below)
{
    return (uint32_t)(Random_Next(&random_state) >> 33) % below;
}

void
Cluster::say(const std::string &text)
{
    seconds[now() / 1000].faults.push_back(text);
    if (shape.verbose) {
        fprintf(stderr, "%6" PRId64 " %s\n", now(), text.c_str());
    }
}

void
Cluster::after(int64_t ms, std::function<void()> run) const
{
    Timer *timer = new Timer{{}, std::move(run)};

    uv_timer_init(loop, &timer->handle);
    timer->handle.data = timer;
    uv_timer_start(
        &timer->handle,
        [](uv_timer_t *handle) {
            ((Timer *)handle->data)->run();
            uv_close((uv_handle_t *)handle,
                     [](uv_handle_t *gone) { delete (Timer *)gone->data; });
        },
        (uint64_t)ms, 0);
}

std::string
Cluster::place(int host, int port) const
{
    return "127.7.0." + std::to_string(host) + ":" +
           std::to_string(shape.base_port + port);
}

Address
Cluster::address(int host, int port) const
{
    Address parsed = 0;

    Address_Parse(place(host, port).c_str(), &parsed);
    return parsed;
}

std::string
Cluster::common(const char *role, int host) const
{
    std::string seeds;

    for (int i = 0; i < shape.entries; i++) {
        int seed = shape.seeds_gone ? GONE_HOST + i : entry_host(i);
        seeds += (i == 0 ? "\"" : ",\"") + place(seed, PORT_RPC) + "\"";
    }
    return std::string("{\"role\":\"") + role +
           "\",\"jobs\":\"leased\",\"hall\":\"hall-" +
           std::to_string(host % HALLS) + "\",\"rpc\":\"" +
           place(host, PORT_RPC) + "\",\"rpc_listen\":\"" +
           place(host, PORT_RPC_LISTEN) + "\",\"admin\":\"" +
           place(host, PORT_ADMIN) + "\",\"seeds\":[" + seeds +
           "],\"times\":{\"resubmit_ms\":1300,\"beat_ms\":500,\"close_ms\":" +
           std::to_string(CLOSE_MS) + ",\"grace_ms\":3000},";
}

/* The first entry may have a narrow link, by its settings alone. */
std::string
Cluster::limits(int entry) const
{
    char text[64];

    if (entry != 0 || shape.link_mbps == 0) {
        return "";
    }
    snprintf(text, sizeof(text), ",\"limits\":{\"link_mbps\":%g}",
             shape.link_mbps);
    return text;
}

void
Cluster::set_up()
{
    store.reset(new Store(loop, address(STORE_HOST, PORT_STORE)));
    for (int i = 0; i < shape.companions; i++) {
        int host = companion_host(i);
        upstreams.emplace_back(
            new Upstream(loop, client, "upstream-" + std::to_string(i),
                         address(host, PORT_APP), address(host, PORT_BEATS)));
        upstream_app.emplace_back(new Proxy(
            loop, address(host, PORT_APP_PROXY), address(host, PORT_APP)));
        companion_rpc.emplace_back(new Proxy(loop, address(host, PORT_RPC),
                                             address(host, PORT_RPC_LISTEN)));
        companions.emplace_back(
            new Process(loop, "companion-" + std::to_string(i), shape.program,
                        shape.folder,
                        common("companion", host) + "\"upstream\":\"" +
                            place(host, PORT_APP_PROXY) + "\",\"beats\":\"" +
                            place(host, PORT_BEATS) + "\",\"store\":\"" +
                            place(STORE_HOST, PORT_STORE) + "\"}"));
    }
    for (int i = 0; i < shape.entries; i++) {
        int host = entry_host(i);
        entry_rpc.emplace_back(new Proxy(loop, address(host, PORT_RPC),
                                         address(host, PORT_RPC_LISTEN)));
        store_paths.emplace_back(new Proxy(loop, address(host, PORT_STORE),
                                           address(STORE_HOST, PORT_STORE)));
        entries.emplace_back(new Process(
            loop, "entry-" + std::to_string(i), shape.program, shape.folder,
            common("entry", host) + "\"callers\":\"" +
                place(host, PORT_FRONT) + "\",\"ready\":\"" +
                place(host, PORT_READY) + "\",\"store\":\"" +
                place(host, PORT_STORE) + "\"" + limits(i) + "}"));
    }
}

void
Cluster::put_hall(int hall, bool closed)
{
    std::string name = "hall-" + std::to_string(hall % HALLS);

    say((closed ? "close " : "open ") + name);
    store->put("evacuate/" + name, closed ? "{}" : "");
    if (closed) {
        closed_since.emplace(hall % HALLS, (int64_t)uv_now(loop));
    }
    else {
        closed_since.erase(hall % HALLS);
    }
}

/* A start beside a companion that had a path to the store all the time in
 * which it had to learn that its hall is closed, if none may be a late copy.
 */
void
Cluster::check_hall(int index)
{
    const Upstream &upstream = *upstreams[(size_t)index];
    auto closed = closed_since.find(companion_host(index) % HALLS);
    int64_t at = (int64_t)uv_now(loop);
    int64_t since = at - CLOSE_MS - CLOSE_SLACK_MS;

    if (closed != closed_since.end() && closed->second < since &&
        companions[(size_t)index]->troubled_ms < since &&
        store->troubled_ms < since &&
        upstream_app[(size_t)index]->troubled_ms < since &&
        upstream.late_ms < at - LATE_MOST_MS) {
        checker.violation(now(), "a start at " + upstream.name +
                                     ", whose hall is closed for " +
                                     std::to_string(at - closed->second) +
                                     " ms");
    }
}

void
Cluster::watch_upstreams()
{
    for (size_t i = 0; i < upstreams.size(); i++) {
        Upstream *upstream = upstreams[i].get();
        upstream->model.on_start = [this, upstream, i](const lc_run_id &id) {
            checker.on_start(now(), upstream->name, id);
            check_hall((int)i);
        };
        upstream->model.on_end = [this, upstream](const lc_run_id &id,
                                                  Runner_End end) {
            checker.on_end(now(), upstream->name, upstream->model.born(), id,
                           end);
        };
        upstream->model.on_noted = [this, upstream](const lc_run_id &id,
                                                    Runner_End end) {
            checker.on_noted(now(), upstream->name, upstream->model.born(), id,
                             end);
        };
        upstream->model.work_of = [this](const lc_run_id &id) {
            const Job *job = checker.find(id.job);
            return job == nullptr ? 100 : job->work_ms;
        };
        upstream->come_up();
    }
}

std::vector<Proxy *>
Cluster::proxies_of(const std::string &kind)
{
    const std::map<std::string, std::vector<std::unique_ptr<Proxy>> *> kinds =
        {{"entries", &entry_rpc},
         {"companions", &companion_rpc},
         {"upstreams", &upstream_app},
         {"store", &store_paths}};
    std::vector<Proxy *> all;

    for (auto &one : *kinds.at(kind)) {
        all.push_back(one.get());
    }
    return all;
}

std::vector<Proxy *>
Cluster::proxies()
{
    std::vector<Proxy *> all;

    for (const char *kind : {"entries", "companions", "upstreams", "store"}) {
        for (Proxy *proxy : proxies_of(kind)) {
            all.push_back(proxy);
        }
    }
    return all;
}

std::vector<Process *>
Cluster::processes()
{
    std::vector<Process *> all;

    for (auto list : {&entries, &companions}) {
        for (auto &one : *list) {
            all.push_back(one.get());
        }
    }
    return all;
}

void
Cluster::start()
{
    for (Process *process : processes()) {
        process->start();
    }
}

void
Cluster::put_routes()
{
    std::string rows;

    version += 1 + pick(3);
    /* Callers name an entry by its IP number. */
    for (int i = 0; i < shape.entries; i++) {
        std::string host = "\"host\":\"127.7.0." +
                           std::to_string(entry_host(i)) + "\"";
        rows += std::string(i == 0 ? "" : ",") + "{\"name\":\"queue\"," +
                host +
                ",\"path_prefix\":\"/q/\",\"service\":\"service\","
                "\"timeout_ms\":1500,\"max_attempts\":3,\"stretch\":1.6,"
                "\"target_latency_ms\":60},{\"name\":\"newest\"," +
                host + ",\"path_prefix\":\"/v" + std::to_string(version) +
                "/\",\"service\":\"service\"}";
    }
    for (int i = 0; i < idle_queues; i++) {
        rows += idle_queue(i);
    }
    store->put("config", "{\"version\":" + std::to_string(version) +
                             ",\"routes\":[" + rows + "]}");
}

void
Cluster::note(const Attempt &attempt, const Job &job, const Answer &answer)
{
    Second &second = seconds[attempt.sent_ms / 1000];

    if (!answer.whole) {
        second.none++;
    }
    else if (answer.status == 200) {
        second.done++;
        second.response_ms += now() - attempt.sent_ms;
        second.ideal_ms += job.work_ms;
    }
    else if (answer.status == 429 || answer.status == 503) {
        second.refused++;
    }
    else {
        second.given_up++;
    }
}

void
Cluster::write_figures(const std::string &file) const
{
    FILE *out = fopen(file.c_str(), "w");

    for (const auto &pair : seconds) {
        const Second &second = pair.second;
        fprintf(out,
                "{\"second\":%" PRId64 ",\"sent\":%d,\"done\":%d,"
                "\"refused\":%d,\"given_up\":%d,\"none\":%d,"
                "\"response_over_ideal\":%.3f,\"faults\":[",
                pair.first, second.sent, second.done, second.refused,
                second.given_up, second.none,
                second.ideal_ms == 0
                    ? 0.0
                    : (double)second.response_ms / (double)second.ideal_ms);
        for (size_t i = 0; i < second.faults.size(); i++) {
            fprintf(out, "%s\"%s\"", i == 0 ? "" : ",",
                    second.faults[i].c_str());
        }
        fprintf(out, "]}\n");
    }
    fclose(out);
}

void
Cluster::on_answer(void *context, const Http_ClientAnswer *http)
{
    std::unique_ptr<Attempt> attempt((Attempt *)context);
    Cluster *self = attempt->cluster;
    Job *job = self->checker.find(attempt->id);
    Answer answer = {http->end == HTTP_CLIENT_ANSWERED, http->status, ""};

    if (answer.whole) {
        self->slowest_ms = std::max(self->slowest_ms,
                                    self->now() - attempt->sent_ms);
        answer.body.assign(http->body, http->length);
    }
    if (http->end == HTTP_CLIENT_UNREACHED) {
        answer = {true, 503, ""};
    }
    self->checker.on_answer(self->now(), *job, answer);
    self->note(*attempt, *job, answer);
    if (job->kept && answer.whole && answer.status == 200 && job->looks == 0) {
        uint64_t id = job->id;
        self->after(job->work_ms, [self, id] { self->look(id); });
        /* Now and then it comes once more. */
        if (job->tries == 1 && self->pick(5) == 0) {
            self->after(self->pick(2000), [self, id] {
                if (!self->over) {
                    self->submit(id, false);
                }
            });
        }
    }
    bool again = !answer.whole || answer.status == 502 || answer.status == 504;
    if (again && job->tries < TRIES && !self->over) {
        uint64_t id = job->id;
        bool leaves = attempt->leaves;
        self->after(RESUBMIT_MS,
                    [self, id, leaves] { self->submit(id, leaves); });
    }
}

void
Cluster::submit(uint64_t id, bool leaves)
{
    Job *job = checker.find(id);
    int entry = only_entry >= 0 ? only_entry
                                : (int)pick((uint32_t)shape.entries);
    char path[64];
    std::string body = std::string("{\"spec\":\"soak\",") +
                       (job->kept ? "" : "\"best_effort\":true,") +
                       "\"steps\":[{\"count\":" + std::to_string(job->tasks) +
                       ",\"cpu\":" + std::to_string(job->cpu_milli) +
                       ",\"mem_mb\":64,\"estimate_ms\":" +
                       std::to_string(job->work_ms) + "}]}";
    Http_ClientRequest request = {};

    job->tries++;
    seconds[now() / 1000].sent++;
    snprintf(path, sizeof(path), "/q/%016" PRIx64, id);
    request.to = address(entry_host(entry), PORT_FRONT);
    request.method = "POST";
    request.path = path;
    request.headers = "X-Deadline-Ms: 2000\r\n"
                      "Content-Type: application/json\r\n";
    request.body = body.data();
    request.length = body.size();
    request.timeout_ms = leaves && pick(20) == 0 ? 30 + pick(300) : CALLER_MS;
    Http_Send(client, &request, on_answer,
              new Attempt{this, id, leaves, now()});
}

uint64_t
Cluster::hand_in(uint32_t tasks, uint32_t cpu_milli, int64_t work_ms,
                 bool leaves)
{
    uint64_t id = ++jobs;

    checker.add_job(id, tasks, cpu_milli, work_ms, now());
    submit(id, leaves);
    return id;
}

uint64_t
Cluster::hand_in_kept(uint32_t tasks, uint32_t cpu_milli, int64_t work_ms)
{
    uint64_t id = ++jobs;

    checker.add_job(id, tasks, cpu_milli, work_ms, INT64_MIN).kept = true;
    submit(id, false);
    return id;
}

void
Cluster::look(uint64_t id)
{
    int entry = (int)pick((uint32_t)shape.entries);
    Http_ClientRequest request = {};
    char path[64];

    snprintf(path, sizeof(path), "/q/%016" PRIx64, id);
    request.to = address(entry_host(entry), PORT_FRONT);
    request.method = "GET";
    request.path = path;
    request.timeout_ms = LOOK_MS;
    Http_Send(client, &request, on_look, new Attempt{this, id, false, now()});
}

void
Cluster::on_look(void *context, const Http_ClientAnswer *http)
{
    std::unique_ptr<Attempt> attempt((Attempt *)context);
    Cluster *self = attempt->cluster;
    Job *job = self->checker.find(attempt->id);
    Answer answer = {http->end == HTTP_CLIENT_ANSWERED, http->status, ""};
    uint64_t id = attempt->id;

    if (answer.whole) {
        answer.body.assign(http->body, http->length);
    }
    self->checker.on_look(self->now(), *job, answer);
    if (job->over_ms == 0) {
        self->after(LOOK_AGAIN_MS, [self, id] { self->look(id); });
    }
}

void
Cluster::heal()
{
    say("heal");
    store->manner = StoreManner::Well;
    for (Proxy *proxy : proxies()) {
        proxy->heal();
    }
    for (auto &one : upstreams) {
        one->model.manner = {false, false, 1};
        one->late_orders = false;
        if (!one->model.is_up()) {
            one->come_up();
        }
    }
    for (Process *process : processes()) {
        process->signal(SIGCONT);
    }
}

void
Cluster::probe_routes()
{
    for (int i = 0; i < shape.entries; i++) {
        Http_ClientRequest request = {};
        std::string path = "/v" + std::to_string(version) + "/";

        request.to = address(entry_host(i), PORT_FRONT);
        request.method = "GET";
        request.path = path.c_str();
        request.timeout_ms = 1000;
        Http_Send(
            client, &request,
            [](void *context, const Http_ClientAnswer *answer) {
                Cluster *self = (Cluster *)context;
                if (answer->end != HTTP_CLIENT_ANSWERED ||
                    answer->status != 200) {
                    self->checker.violation(
                        self->now(),
                        "an entry does not know the newest configuration");
                }
            },
            this);
    }
}

void
Cluster::finish()
{
    uint64_t own_ends = 0;

    for (Process *process : processes()) {
        own_ends += process->own_ends;
    }
    if (own_ends > 0) {
        checker.violation(now(), std::to_string(own_ends) +
                                     " processes ended by themselves");
    }
    checker.finish(now());
    for (Process *process : processes()) {
        process->finish();
    }
    after(300, [this] { uv_stop(loop); });
}

} // namespace soak
