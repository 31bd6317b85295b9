/*
 * Durable jobs in the simulation: the store, the entries that follow its log,
 * callers whose accepted jobs must not get lost, and the checks.
 */
#include <cstring>

#include "tests/lease_sim_state.h"

namespace lease {

namespace {

const int64_t STORE_DELAY_MS = 2;
const int64_t STORE_POLL_MS = 10;
const int64_t APPEND_TIMEOUT_MS = 150;
const int64_t GOSSIP_INTERVAL_MS = 300;
const int64_t CANCEL_BOUND_MS = 3000;
const int64_t ANSWER_TIMEOUT_MS = 2500;
const int MAX_DURABLE_SUBMISSIONS = 6;
const int64_t LONGEST_ESTIMATE_MS = 1000;
/* In a plan with a service, each upstream gets a task that ends within this
 * time: many of them start in it. */
const int64_t MAX_IDLE_MS = 2000;
/* A long-running task ends after 400 ms at most and must be restarted within
 * this time. */
const int64_t MAX_RESTART_GAP_MS = 2000;
/* The owners of jobs are checked after this many parts of the log. */
const size_t CHECKED_PREFIXES = 10;

uint64_t
port_put(void *context, const char *key, const uint8_t *value, size_t length)
{
    EntryNode *entry = (EntryNode *)context;

    return entry->sim->put(entry, key, value, length);
}

void
port_durable_answer(void *context, uint64_t request,
                    const Dispatcher_Answer *answer)
{
    EntryNode *entry = (EntryNode *)context;

    entry->sim->answer_durable(entry, request, answer);
}

void
port_state_answer(void *context, uint64_t request, DurableJobs_State state)
{
    (void)context;
    (void)request;
    (void)state;
}

void
port_durable_call(void *context, Address to, uint64_t id, const Msg_Call *call)
{
    EntryNode *entry = (EntryNode *)context;

    entry->sim->call(entry, to, {id | DURABLE_CALL_BIT}, call);
}

Err_Kind
port_parse(void *context, uint64_t id, const char *body, LeasedJob *job,
           Status *status)
{
    (void)body;
    (void)status;
    ((EntryNode *)context)->sim->fill_durable_job(id, job);
    return ERR_OK;
}

void
port_durable_event(void *context, Event_Id id, const char *detail)
{
    EntryNode *entry = (EntryNode *)context;

    if (id == EVENT_KEPT_CLAIMED) {
        entry->sim->count_claim();
    }
    if (entry->sim->trace) {
        fprintf(stderr, "%6ld entry %u LC%d %s\n", (long)entry->sim->now,
                entry->index, Event_Number(id), detail);
    }
}

void
apply_record(DurableLog *log, int64_t now, const SimStore::Record &row,
             size_t offset)
{
    DurableLog_Record record = {offset, row.key.data(), row.key.size(),
                                (const uint8_t *)row.value.data(),
                                row.value.size()};

    DurableLog_Apply(log, now, &record);
}

const DurableJobs_Ports durable_jobs_ports = {
    port_put,          port_durable_answer, port_state_answer,
    port_durable_call, port_parse,          port_durable_event,
};

} // namespace

/* ---- the queue ---- */

const Route *
Simulation::add_route(Route_Table *table, const char *name,
                      const char *path_prefix)
{
    Route *added = Route_Add(table);

    added->name = g_strdup(name);
    added->authority = g_strdup("host");
    added->path_prefix = g_strdup(path_prefix);
    added->service = g_strdup("service");
    added->max_attempts = 3;
    added->timeout_ms = DEADLINE_MS;
    added->target_ms = 60;
    added->stretch_percent = 160;
    return added;
}

void
Simulation::apply_routes(EntryNode *entry)
{
    if (entry->durable_jobs != nullptr) {
        DurableJobs_OnRoutes(entry->durable_jobs);
    }
    Dispatcher_SetRoutes(entry->dispatcher,
                         tables[is_queue_removed() ? 2 : queue_renamed]);
}

/* In every second plan, the queue is put back under another name. */
void
Simulation::remove_queue(int64_t until)
{
    queue_removed_until = std::max(queue_removed_until, until);
    if (plan.seed % 2 == 0) {
        queue_renamed = !queue_renamed;
    }
    for (int64_t at : {now, queue_removed_until}) {
        schedule(at, [this] {
            for (EntryNode &entry : entries) {
                if (entry.alive) {
                    apply_routes(&entry);
                }
            }
        });
    }
}

/* ---- the store ---- */

void
Simulation::count_claim()
{
    report.claims++;
}

void
Simulation::start_durable_jobs(EntryNode *entry)
{
    DurableJobs_Config config;

    memset(&config, 0, sizeof(config));
    config.node = entry->node;
    config.max_jobs = 10000;
    config.resubmit_ms = RESUBMIT_MS;
    config.keep_ms = 60000;
    entry->log_client = LogClient();
    entry->durable_jobs = DurableJobs_New(&config, &durable_jobs_ports, entry,
                                          entry->dispatcher, now);
}

uint64_t
Simulation::put(EntryNode *from, const char *key, const uint8_t *value,
                size_t length)
{
    from->log_client.pending.push_back(
        {key, std::string((const char *)value, length)});
    return ++from->log_client.pending_number;
}

bool
Simulation::store_reachable(const EntryNode *entry) const
{
    return store.down_until <= now && store_cut_until[entry->index] <= now;
}

void
Simulation::apply_records(EntryNode *entry, uint64_t end, bool newest)
{
    std::map<std::string, uint64_t> last;

    for (uint64_t i = 0; newest && i < end; i++) {
        last[store.log[i].key] = i;
    }
    if (newest) {
        DurableJobs_OnNewest(entry->durable_jobs);
        /* Ordered by key, like the store's pages. */
        for (auto &pair : last) {
            const SimStore::Record &row = store.log[pair.second];
            DurableLog_Record record = {
                pair.second, row.key.data(), row.key.size(),
                (const uint8_t *)row.value.data(), row.value.size()};
            if (!row.value.empty()) {
                DurableJobs_OnRecord(entry->durable_jobs, now, &record);
            }
        }
    }
    for (uint64_t i = entry->log_client.next_offset; !newest && i < end; i++) {
        const SimStore::Record &row = store.log[i];
        DurableLog_Record record = {i, row.key.data(), row.key.size(),
                                    (const uint8_t *)row.value.data(),
                                    row.value.size()};
        DurableJobs_OnRecord(entry->durable_jobs, now, &record);
    }
    entry->log_client.next_offset = end;
}

void
Simulation::read_store(EntryNode *entry)
{
    int64_t asked = now;
    uint64_t boot_id = entry->boot_id;

    schedule(now + STORE_DELAY_MS, [this, entry, asked, boot_id] {
        uint64_t end = store.log.size();
        if (!store_reachable(entry)) {
            return;
        }
        schedule(now + STORE_DELAY_MS, [this, entry, asked, boot_id, end] {
            if (entry->boot_id != boot_id) {
                return;
            }
            when_thawed(entry, [this, entry, asked, end] {
                bool newest = !entry->log_client.has_read ||
                              entry->log_client.next_offset < store.first;
                entry->log_client.has_read = true;
                if (end < entry->log_client.next_offset) {
                    return;
                }
                apply_records(entry, end, newest);
                DurableJobs_OnLogRead(entry->durable_jobs, now, asked);
            });
        });
    });
}

void
Simulation::commit_batch(EntryNode *entry, const std::string &writer,
                         uint64_t sequence,
                         std::shared_ptr<std::vector<LogClient::Put>> batch)
{
    uint64_t &last = store.sequences[writer];

    (void)entry;
    if (sequence != last + 1) {
        return; /* already applied, or too late */
    }
    last = sequence;
    for (const LogClient::Put &row : *batch) {
        store.log.push_back({row.key, row.value});
    }
}

void
Simulation::write_store(EntryNode *entry)
{
    LogClient &log_client = entry->log_client;
    std::string writer = std::to_string(entry->node.address) + "-" +
                         std::to_string(entry->node.incarnation);
    uint64_t boot_id = entry->boot_id;
    uint64_t sequence = log_client.sequence;

    if (log_client.batch.empty()) {
        if (log_client.pending.empty()) {
            return;
        }
        log_client.batch.swap(log_client.pending);
        log_client.batch_number = log_client.pending_number;
    }
    log_client.append_in_flight = true;
    auto batch = std::make_shared<std::vector<LogClient::Put>>(
        log_client.batch);
    schedule(now + APPEND_TIMEOUT_MS, [this, entry, boot_id, sequence] {
        if (entry->boot_id == boot_id &&
            entry->log_client.sequence == sequence) {
            entry->log_client.append_in_flight = false; /* send it again */
        }
    });
    schedule(
        now + STORE_DELAY_MS, [this, entry, writer, sequence, boot_id, batch] {
            bool lossy = store.lossy_until > now;
            if (!store_reachable(entry)) {
                return;
            }
            if (store.appends_stalled_until > now) {
                schedule(store.appends_stalled_until,
                         [this, entry, writer, sequence, batch] {
                             commit_batch(entry, writer, sequence, batch);
                         });
                return;
            }
            if (lossy && random_below(3) == 0) {
                schedule(now + 1000 + random_below(3000),
                         [this, entry, writer, sequence, batch] {
                             commit_batch(entry, writer, sequence, batch);
                         });
                return;
            }
            commit_batch(entry, writer, sequence, batch);
            if (lossy && random_below(2) == 0) {
                return;
            }
            schedule(now + STORE_DELAY_MS, [this, entry, boot_id, sequence] {
                if (entry->boot_id != boot_id ||
                    entry->log_client.sequence != sequence) {
                    return;
                }
                when_thawed(entry, [this, entry, sequence] {
                    if (entry->log_client.sequence != sequence) {
                        return;
                    }
                    entry->log_client.sequence++;
                    entry->log_client.batch.clear();
                    entry->log_client.append_in_flight = false;
                    DurableJobs_OnWritten(entry->durable_jobs, now,
                                          entry->log_client.batch_number);
                });
            });
        });
}

void
Simulation::poll_store(uint32_t index, uint64_t boot_id)
{
    EntryNode *entry = &entries[index];

    if (entry->boot_id != boot_id) {
        return;
    }
    if (entry->alive && entry->frozen_until <= now) {
        read_store(entry);
        if (!entry->log_client.append_in_flight) {
            write_store(entry);
        }
    }
    schedule(now + STORE_POLL_MS,
             [this, index, boot_id] { poll_store(index, boot_id); });
}

/* Entries tell each other that they are alive, and their hall closures. */
void
Simulation::gossip(uint32_t index, uint64_t boot_id)
{
    EntryNode *from = &entries[index];

    if (from->boot_id != boot_id) {
        return;
    }
    for (uint32_t i = 0; i < plan.entries; i++) {
        EntryNode *to = &entries[i];
        uint64_t to_boot_id = to->boot_id;
        Address address = from->node.address;
        int64_t asked_ms = now;
        uint64_t owner_incarnation = DurableJobs_OwnerIncarnation(
            from->durable_jobs, now);
        if (i == index || from->frozen_until > now ||
            gossip_cut_until[i] > now || gossip_cut_until[index] > now) {
            continue;
        }
        if (!from->alive) {
            continue;
        }
        send_closures_to_entry(
            to, LINK_DELAY_MS, HALL_CLOSURES_UNSOLICITED,
            ClosureSnapshot::of(Dispatcher_Closures(from->dispatcher), now));
        schedule(now + LINK_DELAY_MS, [this, to, to_boot_id, address,
                                       owner_incarnation, from, asked_ms] {
            if (to->boot_id == to_boot_id) {
                when_thawed(to, [this, to, address, owner_incarnation, from,
                                 asked_ms] {
                    DurableJobs_OnPeer(to->durable_jobs, now, address,
                                       owner_incarnation);
                    send_closures_to_entry(
                        from, LINK_DELAY_MS, asked_ms,
                        ClosureSnapshot::of(
                            Dispatcher_Closures(to->dispatcher), now));
                });
            }
        });
    }
    schedule(now + GOSSIP_INTERVAL_MS,
             [this, index, boot_id] { gossip(index, boot_id); });
}

/* ---- callers ---- */

void
Simulation::fill_durable_job(uint64_t id, LeasedJob *job)
{
    const DurableCaller &caller = durable_callers[id];

    memset(job, 0, sizeof(*job));
    job->id = id;
    job->spec = g_strdup(spec_of(id).c_str());
    job->needs_durability = true;
    job->repeat_count = caller.occurrences;
    job->start_at_ms = caller.start_at_ms;
    job->interval_ms = caller.interval_ms;
    job->step_count = caller.steps;
    job->steps = g_new0(LeasedJob_Step, caller.steps);
    for (uint32_t i = 0; i < caller.steps; i++) {
        job->steps[i].count = caller.tasks;
        job->steps[i].need = {cpu_need_of(id), TASK_MEMORY_MB, 0};
        job->steps[i].estimate_ms = (uint32_t)std::min(caller.work_ms,
                                                       LONGEST_ESTIMATE_MS);
        job->steps[i].most_together = caller.work_ms == LASTS_MS;
        job->steps[i].depends_on = i;
        job->steps[i].long_running = caller.long_running;
    }
}

void
Simulation::make_durable_job()
{
    static const int64_t works[] = {60, 200, 400};
    DurableCaller caller = {};

    caller.id = FIRST_DURABLE_ID + ++report.durable_jobs_sent;
    caller.tasks = 1 + random_below(4);
    caller.steps = 1 + random_below(2);
    caller.work_ms = works[random_below(3)];
    if (random_below(10) == 0 && now < plan.length_ms) {
        caller.long_running = true;
        caller.steps = 1;
        caller.tasks = 1 + random_below(2);
    }
    else if (random_below(6) == 0) {
        caller.occurrences = 1 + random_below(4);
        caller.work_ms = works[0];
        caller.start_at_ms = WALL_OFFSET_MS + now + random_below(1500);
        caller.interval_ms = 50 + random_below(600);
    }
    durable_callers[caller.id] = caller;
    submit_durable(caller.id);
    if (random_below(8) == 0) {
        uint64_t id = caller.id;
        schedule(now + random_below(1500), [this, id] { cancel_durable(id); });
    }
}

/* A job with one task on each upstream, which never ends. */
void
Simulation::make_service()
{
    DurableCaller caller = {};

    caller.id = FIRST_DURABLE_ID + ++report.durable_jobs_sent;
    caller.tasks = plan.companions;
    caller.steps = 1;
    caller.work_ms = LASTS_MS;
    caller.long_running = true;
    durable_callers[caller.id] = caller;
    submit_durable(caller.id);
}

void
Simulation::submit_durable(uint64_t id)
{
    DurableCaller &caller = durable_callers[id];
    uint32_t index = random_below(plan.entries);
    EntryNode *entry = &entries[index];
    uint64_t request = ++next_request;
    uint64_t boot_id = entry->boot_id;

    caller.submissions++;
    if (!entry->alive || is_queue_removed()) {
        if (caller.submissions < MAX_DURABLE_SUBMISSIONS) {
            schedule(now + RESUBMIT_MS, [this, id] { submit_durable(id); });
        }
        return;
    }
    caller.open_request = request;
    caller.request_entry = index;
    durable_requests[request] = id;
    schedule(now + 3, [this, entry, boot_id, id, request] {
        if (entry->boot_id != boot_id) {
            return;
        }
        when_thawed(entry, [this, entry, id, request] {
            DurableJobs_Submit submit;
            LeasedJob job;
            fill_durable_job(id, &job);
            memset(&submit, 0, sizeof(submit));
            submit.request_id = request;
            submit.route = durable_route;
            submit.queue = durable_queue();
            submit.body = "{}";
            submit.job = &job;
            DurableJobs_OnSubmit(entry->durable_jobs, now, &submit);
            LeasedJob_Clear(&job);
        });
    });
    /* Without an answer the caller submits again, to an entry at random. */
    schedule(now + ANSWER_TIMEOUT_MS, [this, id, request] {
        DurableCaller &row = durable_callers[id];
        if (row.open_request == request) {
            row.open_request = 0;
            row.may_have_run = true;
            if (row.submissions < MAX_DURABLE_SUBMISSIONS) {
                submit_durable(id);
            }
        }
    });
}

void
Simulation::cancel_durable(uint64_t id)
{
    uint32_t index = random_below(plan.entries);
    EntryNode *entry = &entries[index];
    uint64_t request = ++next_request;
    uint64_t boot_id = entry->boot_id;

    if (is_queue_removed()) {
        return; /* the cancel is not accepted */
    }
    durable_callers[id].cancel_sent = true;
    cancel_requests[request] = id;
    schedule(now + 3, [this, entry, boot_id, id, request] {
        if (entry->boot_id != boot_id) {
            return;
        }
        when_thawed(entry, [this, entry, id, request] {
            QueueRef queue = durable_queue();
            DurableJobs_OnCancel(entry->durable_jobs, now, request, id,
                                 &queue);
        });
    });
}

/* A long-running job is given up once this many upstreams have crashed under
 * one of its tasks. */
bool
Simulation::may_be_given_up(const DurableCaller &caller) const
{
    for (auto &pair : durable_tasks) {
        if (std::get<0>(pair.first) == caller.id &&
            pair.second.crashes >= MAX_CRASHES_LONG_RUNNING) {
            return true;
        }
    }
    return false;
}

bool
Simulation::is_at_work(const DurableCaller &caller)
{
    if (caller.work_ms != LASTS_MS) {
        return now - caller.last_start_ms <= MAX_RESTART_GAP_MS;
    }
    for (uint32_t i = 0; i < caller.tasks; i++) {
        if (active_runs[TaskKey(caller.id, 0, i)].empty()) {
            return false;
        }
    }
    return true;
}

void
Simulation::check_every_upstream_works()
{
    for (uint32_t i = 0; i < plan.companions; i++) {
        if (now - last_start_ms[i] > MAX_IDLE_MS) {
            violation("upstream " + std::to_string(i) +
                      " has had no start since " +
                      std::to_string(last_start_ms[i]) + " ms");
        }
    }
}

/* The store may carry out a cancellation that its caller has given up. */
bool
Simulation::is_cancelled_late(const DurableCaller &caller) const
{
    QueueRef queue = durable_queue();
    bool cancelled = caller.cancel_sent;

    for (const EntryNode &entry : entries) {
        cancelled &= !entry.alive ||
                     DurableJobs_StateOf(entry.durable_jobs, now, caller.id,
                                         &queue) == DURABLE_JOB_CANCELLED;
    }
    return cancelled;
}

/* Every entry shows a job at work as running, whoever owns it. */
void
Simulation::check_shown_as_running(const DurableCaller &caller)
{
    QueueRef queue = durable_queue();

    for (const EntryNode &entry : entries) {
        DurableJobs_State state = DurableJobs_StateOf(entry.durable_jobs, now,
                                                      caller.id, &queue);
        if (entry.alive && state != DURABLE_JOB_RUNNING &&
            state != DURABLE_JOB_CANCELLED && state != DURABLE_JOB_FAILED) {
            violation("entry " + std::to_string(entry.index) +
                      " shows durable job " + std::to_string(caller.id) +
                      ", which is at work, in state " +
                      std::to_string((int)state));
        }
    }
}

/* Long-running jobs must be running until they are cancelled. */
void
Simulation::cancel_long_running()
{
    for (auto &pair : durable_callers) {
        const DurableCaller &caller = pair.second;
        if (!caller.long_running || !caller.accepted ||
            caller.cancelled_ms != 0) {
            continue;
        }
        if (!is_at_work(caller) && !may_be_given_up(caller) &&
            !is_cancelled_late(caller)) {
            violation("long-running tasks are not running, of durable job " +
                      std::to_string(caller.id));
        }
        if (is_at_work(caller)) {
            check_shown_as_running(caller);
        }
        cancel_durable(caller.id);
    }
}

/* The entry was killed: callers that waited for it submit again. */
void
Simulation::fail_durable_requests(uint32_t index)
{
    for (auto &pair : durable_callers) {
        DurableCaller &caller = pair.second;
        uint64_t id = pair.first;
        if (caller.open_request != 0 && caller.request_entry == index) {
            caller.open_request = 0;
            caller.may_have_run = true;
            if (caller.submissions < MAX_DURABLE_SUBMISSIONS) {
                schedule(now + RESUBMIT_MS,
                         [this, id] { submit_durable(id); });
            }
        }
    }
}

void
Simulation::answer_durable(EntryNode *from, uint64_t request,
                           const Dispatcher_Answer *answer)
{
    auto cancel = cancel_requests.find(request);

    (void)from;
    if (cancel != cancel_requests.end()) {
        if (answer->outcome == DISPATCHER_CANCELLED &&
            durable_callers[cancel->second].cancelled_ms == 0) {
            durable_callers[cancel->second].cancelled_ms = now;
        }
        return;
    }
    uint64_t id = durable_requests[request];
    DurableCaller &caller = durable_callers[id];
    if (answer->outcome != DISPATCHER_NOT_RUN) {
        caller.may_have_run = true;
    }
    if (answer->outcome == DISPATCHER_RECORDED) {
        caller.accepted = true;
    }
    if (caller.open_request != request) {
        return;
    }
    caller.open_request = 0;
    if (answer->outcome == DISPATCHER_GIVEN_UP &&
        caller.submissions < MAX_DURABLE_SUBMISSIONS) {
        schedule(now + RESUBMIT_MS, [this, id] { submit_durable(id); });
    }
    /* Some callers submit again up to 3 s after their answer. */
    if (answer->outcome == DISPATCHER_RECORDED && caller.submissions < 3 &&
        random_below(4) == 0) {
        schedule(now + random_below(3000), [this, id] { submit_durable(id); });
    }
}

/* ---- checks ---- */

void
Simulation::on_durable_start(const lc_run_id &id)
{
    DurableCaller &caller = durable_callers[id.job];
    DurableTask &task = durable_tasks[task_of(id)];

    caller.last_start_ms = now;
    if (caller.long_running) {
        return;
    }
    task.ends_before_start.push_back((int)task.ends.size());
    if (caller.cancelled_ms != 0 && plan.actions.empty() &&
        now > caller.cancelled_ms + CANCEL_BOUND_MS) {
        violation("a start after a cancel: " + run_name(id));
    }
    if (caller.occurrences > 0 &&
        now + WALL_OFFSET_MS <
            caller.start_at_ms + id.occurrence * caller.interval_ms) {
        violation("a start before its scheduled time: " + run_name(id));
    }
    for (uint32_t i = 0; id.step > 0 && i < caller.tasks; i++) {
        if (!done[TaskKey(id.job, id.occurrence << 16, i)]) {
            violation("a start before the end of the previous step: " +
                      run_name(id));
        }
    }
}

void
Simulation::on_durable_end(const lc_run_id &id, Runner_End end)
{
    if (end == RUNNER_END_DONE || end == RUNNER_END_FAILED) {
        durable_tasks[task_of(id)].ends.push_back(
            {id.run, end == RUNNER_END_DONE, false});
    }
}

void
Simulation::on_durable_acknowledged(const lc_run_id &id, Runner_End end)
{
    for (DurableTask::End &row : durable_tasks[task_of(id)].ends) {
        if (row.run == id.run && row.done == (end == RUNNER_END_DONE)) {
            row.acknowledged = true;
            return;
        }
    }
}

/* Entries that start at some moment read the newest record of each key, others
 * have read all: both must take the same entry for the owner of a job. */
void
Simulation::check_owners()
{
    for (size_t part = 1; part <= CHECKED_PREFIXES; part++) {
        size_t end = store.log.size() * part / CHECKED_PREFIXES;
        std::map<std::string, size_t> last;
        DurableLog *all = DurableLog_New();
        DurableLog *newest = DurableLog_New();
        for (size_t i = 0; i < end; i++) {
            last[store.log[i].key] = i;
            apply_record(all, now, store.log[i], i);
        }
        for (auto &pair : last) {
            apply_record(newest, now, store.log[pair.second], pair.second);
        }
        GPtrArray *open = DurableLog_OpenJobs(newest);
        for (guint i = 0; i < open->len; i++) {
            auto job = (const DurableLog_Job *)g_ptr_array_index(open, i);
            const DurableLog_Job *same = DurableLog_Find(all, job->id);
            lc_node first = DurableLog_OwnerOf(newest, job);
            lc_node second = same == nullptr ? first
                                             : DurableLog_OwnerOf(all, same);
            if (!Msg_SameNode(&first, &second)) {
                violation("durable job " + std::to_string(job->id) +
                          " has two owners after " + std::to_string(end) +
                          " records");
            }
        }
        g_ptr_array_unref(open);
        DurableLog_Free(newest);
        DurableLog_Free(all);
    }
}

void
Simulation::check_durable()
{
    QueueRef queue = durable_queue();

    check_owners();
    for (auto &pair : durable_tasks) {
        const DurableTask &task = pair.second;
        std::string task_name = std::to_string(std::get<0>(pair.first)) + "." +
                                std::to_string(std::get<1>(pair.first)) + "." +
                                std::to_string(std::get<2>(pair.first));
        for (int before : task.ends_before_start) {
            uint32_t failed = 0;
            for (int i = 0; i < before; i++) {
                if (task.ends[i].acknowledged && task.ends[i].done) {
                    violation(
                        "a start after an acknowledged successful end: " +
                        task_name);
                }
                failed += task.ends[i].acknowledged && !task.ends[i].done;
            }
            if (failed >= MAX_ATTEMPTS) {
                violation("a start after too many attempts: " + task_name);
            }
        }
    }
    for (auto &pair : durable_callers) {
        const DurableCaller &caller = pair.second;
        if (caller.started && !caller.may_have_run) {
            violation("durable job " + std::to_string(caller.id) +
                      " ran although all its submissions were rejected");
        }
        if (!caller.accepted) {
            continue;
        }
        report.durable_accepted++;
        for (EntryNode &entry : entries) {
            DurableJobs_State state = DurableJobs_StateOf(
                entry.durable_jobs, now, caller.id, &queue);
            bool all = true;
            uint32_t slices = caller.steps * std::max(caller.occurrences, 1U);
            for (uint32_t slice = 0; slice < slices; slice++) {
                uint32_t step = slice % caller.steps | slice / caller.steps
                                                           << 16;
                for (uint32_t i = 0; i < caller.tasks; i++) {
                    all &= done[TaskKey(caller.id, step, i)];
                }
            }
            report.durable_succeeded += entry.index == 0 &&
                                        state == DURABLE_JOB_SUCCEEDED;
            if (state == DURABLE_JOB_SUCCEEDED && !all) {
                violation("durable job " + std::to_string(caller.id) +
                          " reported as succeeded with an unfinished task");
            }
            if (state == DURABLE_JOB_SUCCEEDED ||
                state == DURABLE_JOB_FAILED ||
                (state == DURABLE_JOB_CANCELLED && caller.cancel_sent)) {
                continue;
            }
            violation("durable job " + std::to_string(caller.id) +
                      " is lost or unfinished: state " +
                      std::to_string((int)state) + " at entry " +
                      std::to_string(entry.index));
        }
    }
}

} // namespace lease
