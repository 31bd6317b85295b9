/*
 * Kept jobs in the world: the store, keepers that follow it, callers whose
 * jobs must not get lost, and what is checked of them.
 */
#include <cstring>

#include "tests/lease_world_state.h"

namespace lease {

namespace {

const int64_t STORE_MS = 2;
const int64_t FOLLOW_MS = 10;
const int64_t APPEND_TIMEOUT_MS = 150;
const int64_t GOSSIP_MS = 300;
const int64_t CANCEL_BOUND_MS = 3000;
const int64_t ANSWER_MS = 2500;
const int KEPT_TRIES = 6;
/* One that lasts ends every 400 ms at most, and is started again. */
const int64_t LAST_AWAY_MS = 2000;

uint64_t
port_put(void *context, const char *key, const uint8_t *value, size_t length)
{
    EntryNode *entry = (EntryNode *)context;

    return entry->world->put(entry, key, value, length);
}

void
port_kept_answer(void *context, uint64_t request,
                 const Dispatcher_Answer *answer)
{
    EntryNode *entry = (EntryNode *)context;

    entry->world->answer_kept(entry, request, answer);
}

void
port_tell(void *context, uint64_t request, Keeper_State state)
{
    (void)context;
    (void)request;
    (void)state;
}

void
port_keeper_call(void *context, Address to, uint64_t id, const Msg_Call *call)
{
    EntryNode *entry = (EntryNode *)context;

    entry->world->call(entry, to, {id | KEEPER_CALL}, call);
}

const Route *
port_route(void *context, const char *queue)
{
    (void)queue;
    return ((EntryNode *)context)->world->kept_route();
}

Err_Kind
port_parse(void *context, uint64_t id, const char *body, LeasedJob *job,
           Status *status)
{
    (void)body;
    (void)status;
    ((EntryNode *)context)->world->kept_job(id, job);
    return ERR_OK;
}

void
port_keeper_event(void *context, Event_Id id, const char *detail)
{
    EntryNode *entry = (EntryNode *)context;

    if (id == EVENT_KEPT_CLAIMED) {
        entry->world->note_claim();
    }
    if (entry->world->trace) {
        fprintf(stderr, "%6ld entry %u LC%d %s\n", (long)entry->world->now,
                entry->index, Event_Number(id), detail);
    }
}

const Keeper_Ports keeper_ports = {
    port_put,   port_kept_answer, port_tell,         port_keeper_call,
    port_route, port_parse,       port_keeper_event,
};

} // namespace

/* ---- the store ---- */

void
World::note_claim()
{
    report.claims++;
}

void
World::start_keeper(EntryNode *entry)
{
    Keeper_Config config;

    memset(&config, 0, sizeof(config));
    config.node = entry->node;
    config.max_jobs = 10000;
    config.resubmit_ms = RESUBMIT_MS;
    config.keep_ms = 60000;
    entry->pen = KeptPen();
    entry->keeper = Keeper_New(&config, &keeper_ports, entry,
                               entry->dispatcher, now);
}

uint64_t
World::put(EntryNode *from, const char *key, const uint8_t *value,
           size_t length)
{
    from->pen.pending.push_back(
        {key, std::string((const char *)value, length)});
    return ++from->pen.pending_number;
}

bool
World::store_answers(const EntryNode *entry) const
{
    return store.down_until <= now && store_cut_until[entry->index] <= now;
}

void
World::take_records(EntryNode *entry, uint64_t end, bool newest)
{
    std::map<std::string, uint64_t> last;

    for (uint64_t i = 0; newest && i < end; i++) {
        last[store.log[i].key] = i;
    }
    if (newest) {
        /* By key, as the store's pages are. */
        for (auto &pair : last) {
            const SimStore::Record &row = store.log[pair.second];
            Kept_Record record = {pair.second, row.key.data(), row.key.size(),
                                  (const uint8_t *)row.value.data(),
                                  row.value.size()};
            if (!row.value.empty()) {
                Keeper_OnRecord(entry->keeper, now, &record);
            }
        }
    }
    for (uint64_t i = entry->pen.next; !newest && i < end; i++) {
        const SimStore::Record &row = store.log[i];
        Kept_Record record = {i, row.key.data(), row.key.size(),
                              (const uint8_t *)row.value.data(),
                              row.value.size()};
        Keeper_OnRecord(entry->keeper, now, &record);
    }
    entry->pen.next = end;
}

void
World::read_store(EntryNode *entry)
{
    int64_t asked = now;
    uint64_t life = entry->life;

    at(now + STORE_MS, [this, entry, asked, life] {
        uint64_t end = store.log.size();
        if (!store_answers(entry)) {
            return;
        }
        at(now + STORE_MS, [this, entry, asked, life, end] {
            if (entry->life != life) {
                return;
            }
            when_awake(entry, [this, entry, asked, end] {
                bool newest = !entry->pen.following ||
                              entry->pen.next < store.first;
                entry->pen.following = true;
                if (end < entry->pen.next) {
                    return;
                }
                take_records(entry, end, newest);
                Keeper_OnRead(entry->keeper, now, asked);
            });
        });
    });
}

void
World::apply_batch(EntryNode *entry, const std::string &writer,
                   uint64_t sequence,
                   std::shared_ptr<std::vector<KeptPen::Put>> batch)
{
    uint64_t &last = store.sequences[writer];

    (void)entry;
    if (sequence != last + 1) {
        return; /* done before, or too late */
    }
    last = sequence;
    for (const KeptPen::Put &row : *batch) {
        store.log.push_back({row.key, row.value});
    }
}

void
World::write_store(EntryNode *entry)
{
    KeptPen &pen = entry->pen;
    std::string writer = std::to_string(entry->node.address) + "-" +
                         std::to_string(entry->node.incarnation);
    uint64_t life = entry->life;
    uint64_t sequence = pen.sequence;

    if (pen.batch.empty()) {
        if (pen.pending.empty()) {
            return;
        }
        pen.batch.swap(pen.pending);
        pen.batch_number = pen.pending_number;
    }
    pen.writing = true;
    auto batch = std::make_shared<std::vector<KeptPen::Put>>(pen.batch);
    at(now + APPEND_TIMEOUT_MS, [this, entry, life, sequence] {
        if (entry->life == life && entry->pen.sequence == sequence) {
            entry->pen.writing = false; /* again */
        }
    });
    at(now + STORE_MS, [this, entry, writer, sequence, life, batch] {
        bool lossy = store.lossy_until > now;
        if (!store_answers(entry)) {
            return;
        }
        if (lossy && pick(3) == 0) {
            at(now + 1000 + pick(3000),
               [this, entry, writer, sequence, batch] {
                   apply_batch(entry, writer, sequence, batch);
               });
            return;
        }
        apply_batch(entry, writer, sequence, batch);
        if (lossy && pick(2) == 0) {
            return;
        }
        at(now + STORE_MS, [this, entry, life, sequence] {
            if (entry->life != life || entry->pen.sequence != sequence) {
                return;
            }
            when_awake(entry, [this, entry, sequence] {
                if (entry->pen.sequence != sequence) {
                    return;
                }
                entry->pen.sequence++;
                entry->pen.batch.clear();
                entry->pen.writing = false;
                Keeper_OnWritten(entry->keeper, now, entry->pen.batch_number);
            });
        });
    });
}

void
World::follow_store(uint32_t index, uint64_t life)
{
    EntryNode *entry = &entries[index];

    if (entry->life != life) {
        return;
    }
    if (entry->alive && entry->frozen_until <= now) {
        read_store(entry);
        if (!entry->pen.writing) {
            write_store(entry);
        }
    }
    at(now + FOLLOW_MS, [this, index, life] { follow_store(index, life); });
}

/* Entries tell each other that they live. */
void
World::gossip(uint32_t index, uint64_t life)
{
    EntryNode *from = &entries[index];

    if (from->life != life) {
        return;
    }
    for (uint32_t i = 0; i < plan.entries; i++) {
        EntryNode *to = &entries[i];
        uint64_t to_life = to->life;
        Address address = from->node.address;
        int64_t asked_ms = now;
        uint64_t kept = Keeper_Identity(from->keeper, now);
        if (i == index || from->frozen_until > now ||
            gossip_cut_until[i] > now || gossip_cut_until[index] > now) {
            continue;
        }
        if (!from->alive) {
            continue;
        }
        tell_entry(to, LINK_MS, CLOSURES_UNASKED,
                   HallNews::of(Dispatcher_Closures(from->dispatcher), now));
        at(now + LINK_MS, [this, to, to_life, address, kept, from, asked_ms] {
            if (to->life == to_life) {
                when_awake(to, [this, to, address, kept, from, asked_ms] {
                    Keeper_OnPeer(to->keeper, now, address, kept);
                    tell_entry(from, LINK_MS, asked_ms,
                               HallNews::of(
                                   Dispatcher_Closures(to->dispatcher), now));
                });
            }
        });
    }
    at(now + GOSSIP_MS, [this, index, life] { gossip(index, life); });
}

/* ---- callers ---- */

void
World::kept_job(uint64_t id, LeasedJob *job)
{
    const KeptCaller &caller = kept_callers[id];

    memset(job, 0, sizeof(*job));
    job->id = id;
    job->spec = g_strdup(spec_of(id).c_str());
    job->needs_keeping = true;
    job->repeat_count = caller.times;
    job->start_at_ms = caller.start_at_ms;
    job->interval_ms = caller.interval_ms;
    job->step_count = caller.steps;
    job->steps = g_new0(LeasedJob_Step, caller.steps);
    for (uint32_t i = 0; i < caller.steps; i++) {
        job->steps[i].count = caller.tasks;
        job->steps[i].need = {need_of(id), JOB_MEMORY_MB, 0};
        job->steps[i].estimate_ms = (uint32_t)caller.work_ms;
        job->steps[i].depends_on = i;
        job->steps[i].long_running = caller.lasts;
    }
}

void
World::make_kept()
{
    static const int64_t works[] = {60, 200, 400};
    KeptCaller caller = {};

    caller.id = FIRST_KEPT + ++report.kept_jobs;
    caller.tasks = 1 + pick(4);
    caller.steps = 1 + pick(2);
    caller.work_ms = works[pick(3)];
    if (pick(10) == 0 && now < plan.length_ms) {
        caller.lasts = true;
        caller.steps = 1;
        caller.tasks = 1 + pick(2);
    }
    else if (pick(6) == 0) {
        caller.times = 1 + pick(4);
        caller.work_ms = works[0];
        caller.start_at_ms = WALL_AHEAD_MS + now + pick(1500);
        caller.interval_ms = 50 + pick(600);
    }
    kept_callers[caller.id] = caller;
    submit_kept(caller.id);
    if (pick(8) == 0) {
        uint64_t id = caller.id;
        at(now + pick(1500), [this, id] { cancel_kept(id); });
    }
}

void
World::submit_kept(uint64_t id)
{
    KeptCaller &caller = kept_callers[id];
    uint32_t index = pick(plan.entries);
    EntryNode *entry = &entries[index];
    uint64_t request = ++next_request;
    uint64_t life = entry->life;

    caller.tries++;
    if (!entry->alive) {
        if (caller.tries < KEPT_TRIES) {
            at(now + RESUBMIT_MS, [this, id] { submit_kept(id); });
        }
        return;
    }
    caller.open_request = request;
    caller.asked = index;
    kept_requests[request] = id;
    at(now + 3, [this, entry, life, id, request] {
        if (entry->life != life) {
            return;
        }
        when_awake(entry, [this, entry, id, request] {
            Keeper_Submit submit;
            LeasedJob job;
            kept_job(id, &job);
            memset(&submit, 0, sizeof(submit));
            submit.request_id = request;
            submit.route = route;
            submit.body = "{}";
            submit.job = &job;
            Keeper_OnSubmit(entry->keeper, now, &submit);
            LeasedJob_Clear(&job);
        });
    });
    /* No answer: the caller asks elsewhere. */
    at(now + ANSWER_MS, [this, id, request] {
        KeptCaller &row = kept_callers[id];
        if (row.open_request == request) {
            row.open_request = 0;
            row.any_taken = true;
            if (row.tries < KEPT_TRIES) {
                submit_kept(id);
            }
        }
    });
}

void
World::cancel_kept(uint64_t id)
{
    uint32_t index = pick(plan.entries);
    EntryNode *entry = &entries[index];
    uint64_t request = ++next_request;
    uint64_t life = entry->life;

    kept_callers[id].cancel_sent = true;
    cancel_requests[request] = id;
    at(now + 3, [this, entry, life, id, request] {
        if (entry->life != life) {
            return;
        }
        when_awake(entry, [this, entry, id, request] {
            Keeper_OnCancel(entry->keeper, now, request, id, route->name);
        });
    });
}

/* Jobs that last are at work until they are cancelled. */
void
World::end_lasting()
{
    for (auto &pair : kept_callers) {
        const KeptCaller &caller = pair.second;
        if (!caller.lasts || !caller.accepted || caller.cancelled_ms != 0) {
            continue;
        }
        if (now - caller.last_start_ms > LAST_AWAY_MS) {
            violation("tasks that last are away, of kept job " +
                      std::to_string(caller.id));
        }
        cancel_kept(caller.id);
    }
}

/* The entry died: whoever waited for it asks again. */
void
World::lose_kept(uint32_t index)
{
    for (auto &pair : kept_callers) {
        KeptCaller &caller = pair.second;
        uint64_t id = pair.first;
        if (caller.open_request != 0 && caller.asked == index) {
            caller.open_request = 0;
            caller.any_taken = true;
            if (caller.tries < KEPT_TRIES) {
                at(now + RESUBMIT_MS, [this, id] { submit_kept(id); });
            }
        }
    }
}

void
World::answer_kept(EntryNode *from, uint64_t request,
                   const Dispatcher_Answer *answer)
{
    auto cancel = cancel_requests.find(request);

    (void)from;
    if (cancel != cancel_requests.end()) {
        if (answer->outcome == DISPATCHER_CANCELLED &&
            kept_callers[cancel->second].cancelled_ms == 0) {
            kept_callers[cancel->second].cancelled_ms = now;
        }
        return;
    }
    uint64_t id = kept_requests[request];
    KeptCaller &caller = kept_callers[id];
    if (answer->outcome != DISPATCHER_NOT_RUN) {
        caller.any_taken = true;
    }
    if (answer->outcome == DISPATCHER_KEPT) {
        caller.accepted = true;
    }
    if (caller.open_request != request) {
        return;
    }
    caller.open_request = 0;
    if (answer->outcome == DISPATCHER_GIVEN_UP && caller.tries < KEPT_TRIES) {
        at(now + RESUBMIT_MS, [this, id] { submit_kept(id); });
    }
    /* Now and then it comes once more, seconds after its answer. */
    if (answer->outcome == DISPATCHER_KEPT && caller.tries < 3 &&
        pick(4) == 0) {
        at(now + pick(3000), [this, id] { submit_kept(id); });
    }
}

/* ---- what is checked ---- */

void
World::on_kept_start(const lc_run_id &id)
{
    KeptCaller &caller = kept_callers[id.job];
    KeptTask &task = kept_tasks[task_of(id)];

    caller.last_start_ms = now;
    if (caller.lasts) {
        return;
    }
    task.ends_before_start.push_back((int)task.ends.size());
    if (caller.cancelled_ms != 0 && plan.actions.empty() &&
        now > caller.cancelled_ms + CANCEL_BOUND_MS) {
        violation("a start after a cancel: " + name(id));
    }
    if (caller.times > 0 &&
        now + WALL_AHEAD_MS <
            caller.start_at_ms + id.occurrence * caller.interval_ms) {
        violation("a start before its time: " + name(id));
    }
    for (uint32_t i = 0; id.step > 0 && i < caller.tasks; i++) {
        if (!done[TaskName(id.job, id.occurrence << 16, i)]) {
            violation("a start before the step it waits for: " + name(id));
        }
    }
}

void
World::on_kept_end(const lc_run_id &id, Runner_End end)
{
    if (end == RUNNER_END_DONE || end == RUNNER_END_FAILED) {
        kept_tasks[task_of(id)].ends.push_back(
            {id.run, end == RUNNER_END_DONE, false});
    }
}

void
World::on_kept_noted(const lc_run_id &id, Runner_End end)
{
    for (KeptTask::End &row : kept_tasks[task_of(id)].ends) {
        if (row.run == id.run && row.done == (end == RUNNER_END_DONE)) {
            row.noted = true;
            return;
        }
    }
}

void
World::check_kept()
{
    static const char *const queue = "queue";

    for (auto &pair : kept_tasks) {
        const KeptTask &task = pair.second;
        std::string called = std::to_string(std::get<0>(pair.first)) + "." +
                             std::to_string(std::get<1>(pair.first)) + "." +
                             std::to_string(std::get<2>(pair.first));
        for (int before : task.ends_before_start) {
            uint32_t failed = 0;
            for (int i = 0; i < before; i++) {
                if (task.ends[i].noted && task.ends[i].done) {
                    violation("a start after an end taken note of: " + called);
                }
                failed += task.ends[i].noted && !task.ends[i].done;
            }
            if (failed >= MOST_ATTEMPTS) {
                violation("a start after too many attempts: " + called);
            }
        }
    }
    for (auto &pair : kept_callers) {
        const KeptCaller &caller = pair.second;
        if (caller.started && !caller.any_taken) {
            violation("kept job " + std::to_string(caller.id) +
                      " ran though all its attempts were rejected");
        }
        if (!caller.accepted) {
            continue;
        }
        report.kept_accepted++;
        for (EntryNode &entry : entries) {
            Keeper_State state = Keeper_Look(entry.keeper, now, caller.id,
                                             queue);
            bool all = true;
            uint32_t slices = caller.steps * std::max(caller.times, 1U);
            for (uint32_t slice = 0; slice < slices; slice++) {
                uint32_t step = slice % caller.steps | slice / caller.steps
                                                           << 16;
                for (uint32_t i = 0; i < caller.tasks; i++) {
                    all &= done[TaskName(caller.id, step, i)];
                }
            }
            report.kept_succeeded += entry.index == 0 &&
                                     state == KEEPER_SUCCEEDED;
            if (state == KEEPER_SUCCEEDED && !all) {
                violation("kept job " + std::to_string(caller.id) +
                          " told as done with a task that is not");
            }
            if (state == KEEPER_SUCCEEDED || state == KEEPER_FAILED ||
                (state == KEEPER_CANCELLED && caller.cancel_sent)) {
                continue;
            }
            violation("kept job " + std::to_string(caller.id) +
                      " is lost or not over: state " +
                      std::to_string((int)state) + " at entry " +
                      std::to_string(entry.index));
        }
    }
}

} // namespace lease
