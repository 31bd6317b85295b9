#include "tests/lease_sim_state.h"

namespace lease {

/* ---- messages ---- */

namespace {

void
deliver_reply(EntryNode *entry, int64_t now, uint64_t call_id,
              const Msg_Reply *reply)
{
    if ((call_id & DURABLE_CALL_BIT) != 0) {
        DurableJobs_OnReply(entry->durable_jobs, now,
                            call_id & ~DURABLE_CALL_BIT, reply);
    }
    else {
        Dispatcher_OnReply(entry->dispatcher, now, call_id, reply);
    }
}

void
free_reply(Msg_Reply *reply)
{
    if (reply->kind == MSG_FENCE) {
        g_free(reply->u.fence.runs.runs_val);
        g_free(reply->u.fence.late_starts.late_starts_val);
    }
    else if (reply->kind == MSG_RENEW) {
        g_free(reply->u.renew.unsettled.unsettled_val);
    }
    delete reply;
}

/* A deep copy. Of the replies sent here only those to FENCE and RENEW own
 * memory. */
std::shared_ptr<Msg_Reply>
copy_of(const Msg_Reply *message)
{
    auto copy = std::shared_ptr<Msg_Reply>(new Msg_Reply(*message),
                                           free_reply);

    if (copy->kind == MSG_FENCE) {
        auto &runs = copy->u.fence.runs;
        runs.runs_val = (lc_held_run *)g_memdup2(
            runs.runs_val, runs.runs_len * sizeof(lc_held_run));
        auto &late_starts = copy->u.fence.late_starts;
        late_starts.late_starts_val = (lc_late_start *)g_memdup2(
            late_starts.late_starts_val,
            late_starts.late_starts_len * sizeof(lc_late_start));
    }
    else if (copy->kind == MSG_RENEW) {
        auto &unsettled = copy->u.renew.unsettled;
        unsettled.unsettled_val = (lc_run_id *)g_memdup2(
            unsettled.unsettled_val,
            unsettled.unsettled_len * sizeof(lc_run_id));
    }
    return copy;
}

} // namespace

void
Simulation::fail_call(uint32_t index, uint64_t boot_id, uint64_t call_id)
{
    EntryNode *entry = &entries[index];

    schedule(now + LINK_DELAY_MS, [this, entry, boot_id, call_id] {
        if (entry->boot_id != boot_id) {
            return;
        }
        when_thawed(entry, [this, entry, call_id] {
            deliver_reply(entry, now, call_id, nullptr);
        });
    });
}

void
Simulation::break_link(uint32_t entry, uint32_t companion)
{
    Link &link = links[{entry, companion}];
    std::set<uint64_t> pending = link.pending;

    link.generation++;
    link.pending.clear();
    link.next_arrival_ms = 0;
    link.held_until = 0;
    for (uint64_t call_id : pending) {
        fail_call(entry, entries[entry].boot_id, call_id);
    }
}

void
Simulation::send_to_companion(uint32_t entry, uint32_t index,
                              EncodedCall message)
{
    Link &link = links[{entry, index}];
    uint64_t generation = link.generation;
    int64_t arrives = std::max(now + LINK_DELAY_MS, link.next_arrival_ms);
    auto shared = std::make_shared<EncodedCall>(std::move(message));

    link.pending.insert(shared->call_ids.begin(), shared->call_ids.end());
    if (!companions[index].alive) {
        break_link(entry, index);
        return;
    }
    if (link.cut_until > now && link.lossy) {
        return;
    }
    if (link.cut_until > arrives) {
        arrives = link.cut_until;
    }
    link.next_arrival_ms = arrives;
    schedule(arrives, [this, entry, index, generation, shared] {
        CompanionNode *companion = &companions[index];
        if (links[{entry, index}].generation != generation) {
            return;
        }
        when_thawed(companion, [this, entry, companion, generation, shared] {
            Msg_Record record;
            Msg_Decode(shared->bytes.data() + MSG_MARK_SIZE,
                       shared->bytes.size() - MSG_MARK_SIZE, &record);
            for (u_int i = 0; i < shared->call_ids.size(); i++) {
                uint64_t reply_id = ++companion->next_reply;
                Msg_Call row = record.call;
                if (record.call.kind == MSG_RUNS) {
                    RunBatch_DecodeRow(&record.call.u.runs, i, &row);
                }
                companion->pending_replies[reply_id] = {
                    entry, shared->call_ids[i], generation};
                Runner_OnCall(companion->runner, now, reply_id, &row);
            }
            Msg_FreeCall(&record.call);
        });
    });
}

/* ---- between entries ---- */

int64_t
Simulation::entry_link_cut_until(uint32_t from, uint32_t to) const
{
    int64_t until = 0;

    if (entry_cut_direction[from] != 2) {
        until = std::max(until, gossip_cut_until[from]);
    }
    if (entry_cut_direction[to] != 1) {
        until = std::max(until, gossip_cut_until[to]);
    }
    return until;
}

void
Simulation::handle_entry_call(EntryNode *at, uint64_t reply_id,
                              const Msg_Call *call)
{
    if (call->kind == MSG_FORWARD) {
        report.forwards++;
        Dispatcher_OnForward(at->dispatcher, now, reply_id, &call->u.forward);
    }
    else {
        Dispatcher_OnExtend(at->dispatcher, now, reply_id, &call->u.extend);
    }
}

void
Simulation::hold_forwards(uint32_t to, int64_t until)
{
    Link &link = links[{0, ENTRY_LINK_BASE + to}];
    uint64_t generation = link.generation;

    link.held_until = until;
    schedule(now + SILENT_MS, [this, to, generation] {
        if (links[{0, ENTRY_LINK_BASE + to}].generation == generation) {
            break_link(0, ENTRY_LINK_BASE + to);
        }
    });
}

/* Messages sent during a cut arrive when it ends. */
void
Simulation::send_to_entry(uint32_t from, uint32_t index, EncodedCall message)
{
    Link &link = links[{from, ENTRY_LINK_BASE + index}];
    uint64_t generation = link.generation;
    int64_t arrives = std::max(now + LINK_DELAY_MS, link.next_arrival_ms);
    auto shared = std::make_shared<EncodedCall>(std::move(message));
    uint64_t call_id = shared->call_ids[0];

    link.pending.insert(call_id);
    if (!entries[index].alive) {
        break_link(from, ENTRY_LINK_BASE + index);
        return;
    }
    arrives = std::max(arrives, entry_link_cut_until(from, index));
    bool held = link.held_until > now;
    if (held) {
        arrives = std::max(arrives, link.held_until);
    }
    link.next_arrival_ms = arrives;
    schedule(arrives, [this, from, index, generation, held, shared, call_id] {
        EntryNode *entry = &entries[index];
        if (!held &&
            links[{from, ENTRY_LINK_BASE + index}].generation != generation) {
            return;
        }
        when_thawed(entry, [this, from, entry, generation, shared, call_id] {
            Msg_Record record;
            uint64_t reply_id = ++entry->next_reply;
            Msg_Decode(shared->bytes.data() + MSG_MARK_SIZE,
                       shared->bytes.size() - MSG_MARK_SIZE, &record);
            entry->pending_replies[reply_id] = {from, call_id, generation};
            handle_entry_call(entry, reply_id, &record.call);
            Msg_FreeCall(&record.call);
        });
    });
}

void
Simulation::reply(EntryNode *from, uint64_t reply_id, const Msg_Reply *message)
{
    auto pending = from->pending_replies.find(reply_id);

    if (pending == from->pending_replies.end()) {
        return;
    }
    PendingReply to = pending->second;
    from->pending_replies.erase(pending);
    Link &link = links[{to.entry, ENTRY_LINK_BASE + from->index}];
    if (link.generation != to.generation || link.held_until > now ||
        link.pending.erase(to.call_id) == 0) {
        return;
    }
    report.forwards_accepted += message->kind == MSG_FORWARD &&
                                message->u.forward.taken;
    GByteArray *bytes = g_byte_array_new();
    Msg_EncodeReply(message, 1, bytes);
    std::vector<uint8_t> copy(bytes->data + MSG_MARK_SIZE,
                              bytes->data + bytes->len);
    g_byte_array_unref(bytes);
    int64_t arrives = std::max(now + LINK_DELAY_MS,
                               entry_link_cut_until(from->index, to.entry));
    EntryNode *entry = &entries[to.entry];
    uint64_t boot_id = entry->boot_id;
    Msg_Kind kind = message->kind;
    schedule(arrives, [this, entry, boot_id, to, kind, copy] {
        if (entry->boot_id != boot_id) {
            return;
        }
        when_thawed(entry, [this, entry, to, kind, copy] {
            Msg_Record record;
            Msg_Reply reply;
            Msg_Decode(copy.data(), copy.size(), &record);
            Msg_DecodeReply(kind, copy.data() + record.body,
                            copy.size() - record.body, &reply);
            deliver_reply(entry, now, to.call_id, &reply);
            Msg_FreeReply(&reply);
        });
    });
}

void
Simulation::call(EntryNode *from, Address to, std::vector<uint64_t> call_ids,
                 const Msg_Call *message)
{
    GByteArray *bytes = g_byte_array_new();
    EncodedCall copy;

    Msg_EncodeCall(message, 1, bytes);
    copy.call_ids = std::move(call_ids);
    copy.bytes.assign(bytes->data, bytes->data + bytes->len);
    g_byte_array_unref(bytes);
    if (to < companion_address(0)) {
        send_to_entry(from->index, (uint32_t)(to - entry_address(0)),
                      std::move(copy));
        return;
    }
    send_to_companion(from->index, (uint32_t)(to - companion_address(0)),
                      std::move(copy));
}

void
Simulation::reset(EntryNode *from, Address to)
{
    break_link(from->index, (uint32_t)(to - companion_address(0)));
}

void
Simulation::reply(CompanionNode *from, uint64_t reply_id,
                  const Msg_Reply *message)
{
    auto pending = from->pending_replies.find(reply_id);
    PendingReply to;

    if (pending == from->pending_replies.end()) {
        return;
    }
    to = pending->second;
    from->pending_replies.erase(pending);
    uint32_t entry_index = to.entry;
    uint64_t call_id = to.call_id;
    Link &link = links[{entry_index, from->index}];
    if (link.generation != to.generation || link.pending.erase(call_id) == 0) {
        return;
    }
    if (link.cut_until > now && link.lossy) {
        link.pending.insert(call_id);
        return;
    }
    auto copy = copy_of(message);
    int64_t arrives = std::max(now + LINK_DELAY_MS, link.cut_until);
    uint64_t boot_id = entries[entry_index].boot_id;
    EntryNode *entry = &entries[entry_index];
    schedule(arrives, [this, entry, boot_id, call_id, copy] {
        if (entry->boot_id != boot_id) {
            return;
        }
        when_thawed(entry, [this, entry, call_id, copy] {
            deliver_reply(entry, now, call_id, copy.get());
        });
    });
}

/* ---- orders ---- */

/* Runs @p act now, or when the upstream's suspended machine has resumed. */
void
Simulation::when_resumed(const Upstream *upstream, std::function<void()> act)
{
    if (upstream->suspended_until() > now) {
        schedule(upstream->suspended_until(),
                 [this, upstream, act] { when_resumed(upstream, act); });
        return;
    }
    act();
}

/* An order that is @p unanswered, or late, is executed after its timeout. */
void
Simulation::send_order(
    CompanionNode *from, bool unanswered,
    std::function<Runner_OrderResult()> act,
    std::function<void(Runner_OrderResult, int64_t)> done_with)
{
    Upstream *upstream = &upstreams[from->index];
    uint64_t boot_id = from->boot_id;
    bool late = unanswered ||
                (orders_late_until[from->index] > now && random_below(3) == 0);
    int64_t delay = late ? 1000 + random_below(MAX_ORDER_DELAY_MS - 1000) : 0;

    if (!upstream->is_up()) {
        schedule(now + 1, [this, from, boot_id, done_with] {
            if (from->boot_id == boot_id) {
                when_thawed(from, [this, done_with] {
                    done_with(RUNNER_ORDER_UNSENT, 0);
                });
            }
        });
        return;
    }
    schedule(now + delay, [this, from, boot_id, late, upstream, act,
                           done_with] {
        when_resumed(upstream, [this, from, boot_id, late, upstream, act,
                                done_with] {
            Runner_OrderResult end = RUNNER_ORDER_UNANSWERED;
            int64_t clock = upstream->clock(now);
            if (upstream->is_up()) {
                upstream->advance(now);
                end = act();
            }
            if (late || from->boot_id != boot_id) {
                return;
            }
            schedule(now + 1, [this, from, boot_id, end, clock, done_with] {
                if (from->boot_id == boot_id) {
                    when_thawed(from, [end, clock, done_with] {
                        done_with(end, clock);
                    });
                }
            });
        });
    });
    if (late) {
        schedule(now + ORDER_TIMEOUT_MS, [this, from, boot_id, done_with] {
            if (from->boot_id == boot_id) {
                when_thawed(from, [done_with] {
                    done_with(RUNNER_ORDER_UNANSWERED, 0);
                });
            }
        });
    }
}

void
Simulation::order_start(CompanionNode *from, uint64_t id,
                        const Runner_Start *start)
{
    Upstream *upstream = &upstreams[from->index];
    uint32_t index = from->index;
    Runner_Start copy = *start;
    auto instance = std::make_shared<std::string>(start->instance);

    check_spec(copy.id, start->spec);
    copy.spec = "";
    check_hall(index, copy.id);
    send_order(
        from, false,
        [this, upstream, index, copy, instance]() mutable {
            copy.instance = instance->c_str();
            Runner_OrderResult end = upstream->start(now, copy);
            check_capacity(index);
            return end;
        },
        [this, from, id](Runner_OrderResult end, int64_t clock) {
            Runner_OnStarted(from->runner, now, id, end, clock);
        });
}

void
Simulation::order_stop(CompanionNode *from, uint64_t id, const lc_run_id *run,
                       const char *expected, int64_t token)
{
    Upstream *upstream = &upstreams[from->index];
    lc_run_id copy = *run;
    std::string instance = expected;
    bool unanswered = stops_unanswered_until[from->index] > now;
    bool lost = unanswered && random_below(2) == 0;

    send_order(
        from, unanswered,
        [this, upstream, copy, instance, token, lost] {
            return lost ? RUNNER_ORDER_UNANSWERED
                        : upstream->stop(now, copy, instance, token);
        },
        [this, from, id](Runner_OrderResult end, int64_t clock) {
            Runner_OnStopped(from->runner, now, id, end, clock);
        });
}

void
Simulation::order_poll(CompanionNode *from, uint64_t id,
                       const Runner_Poll *poll)
{
    Upstream *upstream = &upstreams[from->index];
    Runner_Poll copy = *poll;
    auto instance = std::make_shared<std::string>(poll->instance);
    auto running = std::make_shared<std::vector<Runner_ActiveRun>>();
    auto ended = std::make_shared<std::vector<Runner_EndedRun>>();
    auto born_ms = std::make_shared<int64_t>(0);

    /* The wait of a long poll is simulated by delivering the same lists
     * later. */
    copy.wait_ms = 0;
    if (upstream->is_up()) {
        Runner_OnPollWritten(from->runner, id);
    }
    send_order(
        from, false,
        [this, upstream, copy, instance, running, ended, born_ms]() mutable {
            copy.instance = instance->c_str();
            *born_ms = upstream->born();
            return upstream->poll(now, copy, running.get(), ended.get());
        },
        [this, from, id, running, ended, born_ms](Runner_OrderResult end,
                                                  int64_t clock) {
            Runner_PollAnswer listing = {end,
                                         clock,
                                         *born_ms,
                                         running->data(),
                                         (uint32_t)running->size(),
                                         ended->data(),
                                         (uint32_t)ended->size()};
            uint64_t boot_id = from->boot_id;
            /* One poll per 10 ms stands for a long poll. */
            schedule(now + 9, [this, from, boot_id, id, running, ended,
                               listing] {
                if (from->boot_id == boot_id) {
                    when_thawed(from, [this, from, id, running, ended,
                                       listing] {
                        Runner_OnPollAnswer(from->runner, now, id, &listing);
                    });
                }
            });
        });
}

} // namespace lease
