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

const int64_t STATE_QUERY_TIMEOUT_MS = 1000;
const int64_t STATE_QUERY_INTERVAL_MS = 250;
const int MAX_ATTEMPTS = 3;
const int STORE_HOST = 200;
/* The setting close_ms: no task may start in a hall that has been closed for
 * longer. */
const int64_t CLOSE_MS = 3000;
/* Added for timer ticks and scheduling delays on a machine that runs all
 * processes. */
const int64_t CLOSE_MARGIN_MS = 1000;
/* Upper bound of the delay of a delayed order (Upstream::delay_orders). */
const int64_t MAX_ORDER_DELAY_MS = 8000;
const int HALLS = 3;
const int UNUSED_HOST = 230;

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

/* A route of some 200 bytes, as in the users' larger deployments. */
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
Cluster::limit_bandwidth(int entry, int64_t bytes_per_s)
{
    auto link = std::make_shared<SharedLink>(bytes_per_s);

    store_proxies[(size_t)entry]->limit_responses(link);
    for (int i = 0; i < settings.entries; i++) {
        if (i != entry) {
            entry_proxies[(size_t)i]->limit_responses(link);
        }
    }
}

struct Cluster::Attempt {
    Cluster *cluster;
    uint64_t id;
    bool may_hang_up;
    int64_t sent_ms;
};

Cluster::Cluster(const ClusterSettings &cluster_settings)
    : settings(cluster_settings), loop(uv_default_loop()),
      begin_ms((int64_t)uv_now(loop)),
      random_state(Random_Seed(cluster_settings.seed * 2654435761U)),
      client(HttpClient_New(loop))
{
    srand((unsigned)cluster_settings.seed);
    create_processes();
    connect_checker();
    publish_routes();
    finish_on_signal(&terminate, SIGTERM);
    finish_on_signal(&interrupt, SIGINT);
}

/* A signal that ends the soak also ends the processes that it started. */
void
Cluster::finish_on_signal(uv_signal_t *handle, int number)
{
    uv_signal_init(loop, handle);
    handle->data = this;
    uv_signal_start(
        handle,
        [](uv_signal_t *signal_handle, int) {
            Cluster *self = (Cluster *)signal_handle->data;
            self->checker.violation(self->now(), "the soak was ended early");
            self->finish();
        },
        number);
}

uint32_t
Cluster::random_below(uint32_t below)
{
    return (uint32_t)(Random_Next(&random_state) >> 33) % below;
}

void
Cluster::log_event(const std::string &text)
{
    seconds[now() / 1000].faults.push_back(text);
    if (settings.verbose) {
        fprintf(stderr, "%6" PRId64 " %s\n", now(), text.c_str());
    }
}

void
Cluster::run_after(int64_t ms, std::function<void()> run) const
{
    Timer *timer = new Timer{{}, std::move(run)};

    uv_timer_init(loop, &timer->handle);
    timer->handle.data = timer;
    uv_timer_start(
        &timer->handle,
        [](uv_timer_t *handle) {
            ((Timer *)handle->data)->run();
            uv_close((uv_handle_t *)handle, [](uv_handle_t *closed_handle) {
                delete (Timer *)closed_handle->data;
            });
        },
        (uint64_t)ms, 0);
}

std::string
Cluster::address_text(int host, Port port) const
{
    return "127.7.0." + std::to_string(host) + ":" +
           std::to_string(settings.base_port + (int)port);
}

Address
Cluster::address(int host, Port port) const
{
    Address parsed = 0;

    Address_Parse(address_text(host, port).c_str(), &parsed);
    return parsed;
}

Address
Cluster::entry_address(int index, Port port) const
{
    return address(entry_host(index), port);
}

Address
Cluster::companion_address(int index, Port port) const
{
    return address(companion_host(index), port);
}

std::string
Cluster::common_settings(const char *role, int host) const
{
    std::string seeds;

    for (int i = 0; i < settings.entries; i++) {
        int seed = settings.seeds_unreachable ? UNUSED_HOST + i
                                              : entry_host(i);
        seeds += (i == 0 ? "\"" : ",\"") + address_text(seed, Port::Rpc) +
                 "\"";
    }
    return std::string("{\"role\":\"") + role +
           "\",\"jobs\":\"leased\",\"hall\":\"hall-" +
           std::to_string(host % HALLS) + "\",\"rpc\":\"" +
           address_text(host, Port::Rpc) + "\",\"rpc_listen\":\"" +
           address_text(host, Port::RpcListen) + "\",\"admin\":\"" +
           address_text(host, Port::Admin) + "\",\"seeds\":[" + seeds +
           "],\"times\":{\"resubmit_ms\":1300,\"beat_ms\":500,\"close_ms\":" +
           std::to_string(CLOSE_MS) + ",\"grace_ms\":3000},";
}

/* The first entry may have a bandwidth limit in its settings; the proxies do
 * not enforce it. */
std::string
Cluster::limits_settings(int entry) const
{
    char text[64];

    if (entry != 0 || settings.link_mbps == 0) {
        return "";
    }
    snprintf(text, sizeof(text), ",\"limits\":{\"link_mbps\":%g}",
             settings.link_mbps);
    return text;
}

void
Cluster::create_processes()
{
    store.reset(new Store(loop, address(STORE_HOST, Port::Store)));
    for (int i = 0; i < settings.companions; i++) {
        int host = companion_host(i);
        upstreams.emplace_back(new Upstream(
            loop, client, "upstream-" + std::to_string(i),
            address(host, Port::Upstream), address(host, Port::Heartbeats)));
        upstream_proxies.emplace_back(
            new Proxy(loop, address(host, Port::UpstreamProxy),
                      address(host, Port::Upstream)));
        companion_proxies.emplace_back(new Proxy(
            loop, address(host, Port::Rpc), address(host, Port::RpcListen)));
        companions.emplace_back(new Process(
            loop, "companion-" + std::to_string(i), settings.program,
            settings.folder,
            common_settings("companion", host) + "\"upstream\":\"" +
                address_text(host, Port::UpstreamProxy) + "\",\"beats\":\"" +
                address_text(host, Port::Heartbeats) + "\",\"store\":\"" +
                address_text(STORE_HOST, Port::Store) + "\"}"));
    }
    for (int i = 0; i < settings.entries; i++) {
        int host = entry_host(i);
        entry_proxies.emplace_back(new Proxy(loop, address(host, Port::Rpc),
                                             address(host, Port::RpcListen)));
        store_proxies.emplace_back(
            new Proxy(loop, address(host, Port::Store),
                      address(STORE_HOST, Port::Store)));
        entries.emplace_back(new Process(
            loop, "entry-" + std::to_string(i), settings.program,
            settings.folder,
            common_settings("entry", host) + "\"callers\":\"" +
                address_text(host, Port::Callers) + "\",\"ready\":\"" +
                address_text(host, Port::Ready) + "\",\"store\":\"" +
                address_text(host, Port::Store) + "\"" + limits_settings(i) +
                "}"));
    }
}

void
Cluster::set_hall_closed(int hall, bool closed)
{
    std::string name = "hall-" + std::to_string(hall % HALLS);

    log_event((closed ? "close " : "open ") + name);
    store->put("evacuate/" + name, closed ? "{}" : "");
    if (closed) {
        closed_since.emplace(hall % HALLS, (int64_t)uv_now(loop));
    }
    else {
        closed_since.erase(hall % HALLS);
    }
}

/* Reports a start in a closed hall as a violation, if the companion could
 * reach the store for the whole time in which it had to learn of the closing,
 * and if the start cannot be a delayed order. */
void
Cluster::check_closed_hall(int index)
{
    const Upstream &upstream = *upstreams[(size_t)index];
    auto closed = closed_since.find(companion_host(index) % HALLS);
    int64_t at = (int64_t)uv_now(loop);
    int64_t since = at - CLOSE_MS - CLOSE_MARGIN_MS;

    if (closed != closed_since.end() && closed->second < since &&
        companions[(size_t)index]->last_fault_ms < since &&
        store->last_fault_ms < since &&
        upstream_proxies[(size_t)index]->last_fault_ms < since &&
        upstream.last_delayed_ms < at - MAX_ORDER_DELAY_MS) {
        checker.violation(now(), "a start at " + upstream.name +
                                     ", whose hall has been closed for " +
                                     std::to_string(at - closed->second) +
                                     " ms");
    }
}

void
Cluster::connect_checker()
{
    for (size_t i = 0; i < upstreams.size(); i++) {
        Upstream *upstream = upstreams[i].get();
        upstream->model.on_start = [this, upstream, i](const lc_run_id &id) {
            checker.on_start(now(), upstream->name, id);
            check_closed_hall((int)i);
        };
        upstream->model.on_end = [this, upstream](const lc_run_id &id,
                                                  Runner_End end) {
            checker.on_end(now(), upstream->name, upstream->model.born(), id,
                           end);
        };
        upstream->model.on_end_acknowledged =
            [this, upstream](const lc_run_id &id, Runner_End end) {
                checker.on_acknowledged_end(now(), upstream->name,
                                            upstream->model.born(), id, end);
            };
        upstream->model.work_of = [this](const lc_run_id &id) {
            const Job *job = checker.find(id.job);
            return job == nullptr ? 100 : job->work_ms;
        };
        upstream->start_incarnation();
    }
}

std::vector<Proxy *>
Cluster::proxies_of(const std::string &kind)
{
    const std::map<std::string, std::vector<std::unique_ptr<Proxy>> *> kinds =
        {{"entries", &entry_proxies},
         {"companions", &companion_proxies},
         {"upstreams", &upstream_proxies},
         {"store", &store_proxies}};
    std::vector<Proxy *> all;

    for (auto &member : *kinds.at(kind)) {
        all.push_back(member.get());
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
        for (auto &member : *list) {
            all.push_back(member.get());
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
Cluster::set_durable_queue(bool exists)
{
    log_event(exists ? "the durable jobs' queue is back"
                     : "the durable jobs' queue is removed");
    durable_queue_exists = exists;
    publish_routes();
}

void
Cluster::publish_routes()
{
    std::string rows;

    routes_version += 1 + random_below(3);
    /* Callers send the IP address of the entry as the Host header. */
    for (int i = 0; i < settings.entries; i++) {
        std::string host = "\"host\":\"127.7.0." +
                           std::to_string(entry_host(i)) + "\"";
        rows += std::string(i == 0 ? "" : ",") + "{\"name\":\"queue\"," +
                host +
                ",\"path_prefix\":\"/q/\",\"service\":\"service\","
                "\"timeout_ms\":1500,\"max_attempts\":3,\"stretch\":1.6,"
                "\"target_latency_ms\":60},{\"name\":\"newest\"," +
                host + ",\"path_prefix\":\"/v" +
                std::to_string(routes_version) +
                "/\",\"service\":\"service\"}";
    }
    for (int i = 0; settings.durable_queue && durable_queue_exists &&
                    i < settings.entries;
         i++) {
        rows += ",{\"name\":\"durable\",\"host\":\"127.7.0." +
                std::to_string(entry_host(i)) +
                "\",\"path_prefix\":\"/k/\",\"service\":\"service\","
                "\"max_attempts\":3,\"stretch\":1.6,"
                "\"target_latency_ms\":60}";
    }
    for (int i = 0; i < idle_queues; i++) {
        rows += idle_queue(i);
    }
    store->put("config", "{\"version\":" + std::to_string(routes_version) +
                             ",\"routes\":[" + rows + "]}");
}

void
Cluster::count_answer(const Attempt &attempt, const Job &job,
                      const Answer &answer)
{
    SecondStats &second = seconds[attempt.sent_ms / 1000];

    if (!answer.received) {
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
        const SecondStats &second = pair.second;
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
Cluster::on_answer(void *context, const HttpClient_Answer *http)
{
    std::unique_ptr<Attempt> attempt((Attempt *)context);
    Cluster *self = attempt->cluster;
    Job *job = self->checker.find(attempt->id);
    Answer answer = {http->end == HTTP_CLIENT_ANSWERED, http->status, ""};

    if (answer.received) {
        self->max_response_ms = std::max(self->max_response_ms,
                                         self->now() - attempt->sent_ms);
        answer.body.assign(http->body, http->length);
    }
    if (http->end == HTTP_CLIENT_UNSENT) {
        answer = {true, 503, ""};
    }
    self->checker.on_answer(self->now(), *job, answer);
    self->count_answer(*attempt, *job, answer);
    if (job->durable && answer.received && answer.status == 200 &&
        job->state_queries == 0) {
        uint64_t id = job->id;
        self->run_after(job->work_ms, [self, id] { self->query_state(id); });
        /* One submission in five is repeated. */
        if (job->attempts == 1 && self->random_below(5) == 0) {
            self->run_after(self->random_below(2000), [self, id] {
                if (!self->submissions_stopped) {
                    self->send_attempt(id, false);
                }
            });
        }
    }
    bool resubmit = !answer.received || answer.status == 502 ||
                    answer.status == 504;
    int64_t again_ms = self->resubmit_ms;
    if (resubmit) {
        job->broken_ms = self->now();
    }
    if (!resubmit && self->again_after_refusal_ms != 0 && !job->durable &&
        (answer.status == 429 || answer.status == 503)) {
        resubmit = true;
        again_ms = self->again_after_refusal_ms;
    }
    if (resubmit && job->attempts < MAX_ATTEMPTS &&
        !self->submissions_stopped) {
        uint64_t id = job->id;
        bool may_hang_up = attempt->may_hang_up;
        self->run_after(again_ms, [self, id, may_hang_up] {
            self->send_attempt(id, may_hang_up);
        });
    }
}

char
Cluster::queue_of(const Job &job) const
{
    return settings.durable_queue && job.durable ? 'k' : 'q';
}

void
Cluster::send_attempt(uint64_t id, bool may_hang_up)
{
    Job *job = checker.find(id);
    int entry = target_entry >= 0
                    ? target_entry
                    : (int)random_below((uint32_t)settings.entries);
    char path[64];
    std::string body = std::string("{\"spec\":\"soak\",") +
                       (job->durable ? "" : "\"best_effort\":true,") +
                       "\"steps\":[{\"count\":" + std::to_string(job->tasks) +
                       ",\"cpu\":" + std::to_string(job->cpu_milli) +
                       ",\"mem_mb\":64,\"estimate_ms\":" +
                       std::to_string(job->work_ms) + "}]}";
    HttpClient_Request request = {};

    job->attempts++;
    seconds[now() / 1000].sent++;
    snprintf(path, sizeof(path), "/%c/%016" PRIx64, queue_of(*job), id);
    request.to = address(entry_host(entry), Port::Callers);
    request.method = "POST";
    request.path = path;
    request.headers = "X-Deadline-Ms: 2000\r\n"
                      "Content-Type: application/json\r\n";
    request.body = body.data();
    request.length = body.size();
    request.timeout_ms = may_hang_up && random_below(20) == 0
                             ? 30 + random_below(300)
                             : caller_timeout_ms;
    HttpClient_Send(client, &request, on_answer,
                    new Attempt{this, id, may_hang_up, now()});
}

uint64_t
Cluster::submit_job(uint32_t tasks, uint32_t cpu_milli, int64_t work_ms,
                    bool may_hang_up)
{
    uint64_t id = ++jobs;

    checker.add_job(id, tasks, cpu_milli, work_ms, now());
    send_attempt(id, may_hang_up);
    return id;
}

uint64_t
Cluster::submit_durable_job(uint32_t tasks, uint32_t cpu_milli,
                            int64_t work_ms)
{
    uint64_t id = ++jobs;

    checker.add_job(id, tasks, cpu_milli, work_ms, INT64_MIN).durable = true;
    send_attempt(id, false);
    return id;
}

void
Cluster::query_state(uint64_t id)
{
    int entry = (int)random_below((uint32_t)settings.entries);
    HttpClient_Request request = {};
    char path[64];

    snprintf(path, sizeof(path), "/%c/%016" PRIx64,
             queue_of(*checker.find(id)), id);
    request.to = address(entry_host(entry), Port::Callers);
    request.method = "GET";
    request.path = path;
    request.timeout_ms = STATE_QUERY_TIMEOUT_MS;
    HttpClient_Send(client, &request, on_state_answer,
                    new Attempt{this, id, false, now()});
}

void
Cluster::on_state_answer(void *context, const HttpClient_Answer *http)
{
    std::unique_ptr<Attempt> attempt((Attempt *)context);
    Cluster *self = attempt->cluster;
    Job *job = self->checker.find(attempt->id);
    Answer answer = {http->end == HTTP_CLIENT_ANSWERED, http->status, ""};
    uint64_t id = attempt->id;

    if (answer.received) {
        answer.body.assign(http->body, http->length);
    }
    /* An entry that does not know the queue tells nothing of its jobs. */
    bool no_queue = self->settings.durable_queue && answer.received &&
                    answer.status == 404;
    if (!no_queue) {
        self->checker.on_state_answer(self->now(), *job, answer);
    }
    if (job->end_told_ms == 0) {
        self->run_after(STATE_QUERY_INTERVAL_MS,
                        [self, id] { self->query_state(id); });
    }
}

void
Cluster::heal()
{
    log_event("heal");
    store->mode = StoreFaultMode::Healthy;
    if (!durable_queue_exists) {
        set_durable_queue(true);
    }
    for (Proxy *proxy : proxies()) {
        proxy->heal();
    }
    for (auto &member : upstreams) {
        member->model.fault_mode = {false, false, 1};
        member->delay_orders = false;
        member->ignores_stops = false;
        if (!member->model.is_up()) {
            member->start_incarnation();
        }
    }
    for (Process *process : processes()) {
        process->signal(SIGCONT);
    }
}

void
Cluster::check_routes_applied()
{
    for (int i = 0; i < settings.entries; i++) {
        HttpClient_Request request = {};
        std::string path = "/v" + std::to_string(routes_version) + "/";

        request.to = address(entry_host(i), Port::Callers);
        request.method = "GET";
        request.path = path.c_str();
        request.timeout_ms = 1000;
        HttpClient_Send(
            client, &request,
            [](void *context, const HttpClient_Answer *answer) {
                Cluster *self = (Cluster *)context;
                if (answer->end != HTTP_CLIENT_ANSWERED ||
                    answer->status != 200) {
                    self->checker.violation(
                        self->now(),
                        "an entry has not applied the newest configuration");
                }
            },
            this);
    }
}

void
Cluster::finish()
{
    uint64_t unexpected_exits = 0;

    for (Process *process : processes()) {
        unexpected_exits += process->unexpected_exits;
    }
    if (unexpected_exits > 0) {
        checker.violation(now(), std::to_string(unexpected_exits) +
                                     " processes exited unexpectedly");
    }
    checker.finish(now());
    for (Process *process : processes()) {
        process->kill_without_restart();
    }
    run_after(300, [this] { uv_stop(loop); });
}

} // namespace soak
