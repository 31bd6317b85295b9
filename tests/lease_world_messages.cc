#include "tests/lease_world_state.h"

namespace lease {

/* ---- messages ---- */

namespace {

void
take_reply(EntryNode *entry, int64_t now, uint64_t call_id,
           const Msg_Reply *reply)
{
    if ((call_id & KEEPER_CALL) != 0) {
        Keeper_OnReply(entry->keeper, now, call_id & ~KEEPER_CALL, reply);
    }
    else {
        Dispatcher_OnReply(entry->dispatcher, now, call_id, reply);
    }
}

void
free_reply(Msg_Reply *reply)
{
    g_free(reply->kind == MSG_FENCE ? reply->u.fence.runs.runs_val : nullptr);
    delete reply;
}

/* Of all replies here that of a FENCE alone owns memory. */
std::shared_ptr<Msg_Reply>
copy_of(const Msg_Reply *message)
{
    auto copy = std::shared_ptr<Msg_Reply>(new Msg_Reply(*message),
                                           free_reply);

    if (copy->kind == MSG_FENCE) {
        auto &runs = copy->u.fence.runs;
        runs.runs_val = (lc_held_run *)g_memdup2(
            runs.runs_val, runs.runs_len * sizeof(lc_held_run));
    }
    return copy;
}

} // namespace

void
World::lose(uint32_t index, uint64_t life, uint64_t call_id)
{
    EntryNode *entry = &entries[index];

    at(now + LINK_MS, [this, entry, life, call_id] {
        if (entry->life != life) {
            return;
        }
        when_awake(entry, [this, entry, call_id] {
            take_reply(entry, now, call_id, nullptr);
        });
    });
}

void
World::break_link(uint32_t entry, uint32_t companion)
{
    Link &link = links[{entry, companion}];
    std::set<uint64_t> pending = link.pending;

    link.generation++;
    link.pending.clear();
    link.free_ms = 0;
    for (uint64_t call_id : pending) {
        lose(entry, entries[entry].life, call_id);
    }
}

void
World::to_companion(uint32_t entry, uint32_t index, Call message)
{
    Link &link = links[{entry, index}];
    uint64_t generation = link.generation;
    int64_t arrives = std::max(now + LINK_MS, link.free_ms);
    auto shared = std::make_shared<Call>(std::move(message));

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
    link.free_ms = arrives;
    at(arrives, [this, entry, index, generation, shared] {
        CompanionNode *companion = &companions[index];
        if (links[{entry, index}].generation != generation) {
            return;
        }
        when_awake(companion, [this, entry, companion, generation, shared] {
            Msg_Record record;
            Msg_Decode(shared->bytes.data() + MSG_MARK_SIZE,
                       shared->bytes.size() - MSG_MARK_SIZE, &record);
            for (u_int i = 0; i < shared->call_ids.size(); i++) {
                uint64_t reply_id = ++companion->next_reply;
                Msg_Call row = record.call;
                if (record.call.kind == MSG_RUNS) {
                    Runs_Get(&record.call.u.runs, i, &row);
                }
                companion->owed[reply_id] = {entry, shared->call_ids[i],
                                             generation};
                Runner_OnCall(companion->runner, now, reply_id, &row);
            }
            Msg_FreeCall(&record.call);
        });
    });
}

/* ---- between entries ---- */

int64_t
World::entries_cut_until(uint32_t from, uint32_t to) const
{
    int64_t until = 0;

    if (entry_cut_way[from] != 2) {
        until = std::max(until, gossip_cut_until[from]);
    }
    if (entry_cut_way[to] != 1) {
        until = std::max(until, gossip_cut_until[to]);
    }
    return until;
}

void
World::take_from_entry(EntryNode *at, uint64_t reply_id, const Msg_Call *call)
{
    if (call->kind == MSG_FORWARD) {
        report.forwards++;
        Dispatcher_OnForward(at->dispatcher, now, reply_id, &call->u.forward,
                             route);
    }
    else {
        Dispatcher_OnExtend(at->dispatcher, now, reply_id, &call->u.extend);
    }
}

/* What a cut holds up arrives when it heals. */
void
World::to_entry(uint32_t from, uint32_t index, Call message)
{
    Link &link = links[{from, ENTRY_END + index}];
    uint64_t generation = link.generation;
    int64_t arrives = std::max(now + LINK_MS, link.free_ms);
    auto shared = std::make_shared<Call>(std::move(message));
    uint64_t call_id = shared->call_ids[0];

    link.pending.insert(call_id);
    if (!entries[index].alive) {
        break_link(from, ENTRY_END + index);
        return;
    }
    arrives = std::max(arrives, entries_cut_until(from, index));
    link.free_ms = arrives;
    at(arrives, [this, from, index, generation, shared, call_id] {
        EntryNode *entry = &entries[index];
        if (links[{from, ENTRY_END + index}].generation != generation) {
            return;
        }
        when_awake(entry, [this, from, entry, generation, shared, call_id] {
            Msg_Record record;
            uint64_t reply_id = ++entry->next_reply;
            Msg_Decode(shared->bytes.data() + MSG_MARK_SIZE,
                       shared->bytes.size() - MSG_MARK_SIZE, &record);
            entry->owed[reply_id] = {from, call_id, generation};
            take_from_entry(entry, reply_id, &record.call);
            Msg_FreeCall(&record.call);
        });
    });
}

void
World::reply(EntryNode *from, uint64_t reply_id, const Msg_Reply *message)
{
    auto owed = from->owed.find(reply_id);

    if (owed == from->owed.end()) {
        return;
    }
    Owed to = owed->second;
    from->owed.erase(owed);
    Link &link = links[{to.entry, ENTRY_END + from->index}];
    if (link.generation != to.generation ||
        link.pending.erase(to.call_id) == 0) {
        return;
    }
    report.forwards_taken += message->kind == MSG_FORWARD &&
                             message->u.forward.taken;
    GByteArray *bytes = g_byte_array_new();
    Msg_EncodeReply(message, 1, bytes);
    std::vector<uint8_t> copy(bytes->data + MSG_MARK_SIZE,
                              bytes->data + bytes->len);
    g_byte_array_unref(bytes);
    int64_t arrives = std::max(now + LINK_MS,
                               entries_cut_until(from->index, to.entry));
    EntryNode *entry = &entries[to.entry];
    uint64_t life = entry->life;
    Msg_Kind kind = message->kind;
    at(arrives, [this, entry, life, to, kind, copy] {
        if (entry->life != life) {
            return;
        }
        when_awake(entry, [this, entry, to, kind, copy] {
            Msg_Record record;
            Msg_Reply reply;
            Msg_Decode(copy.data(), copy.size(), &record);
            Msg_DecodeReply(kind, copy.data() + record.body,
                            copy.size() - record.body, &reply);
            take_reply(entry, now, to.call_id, &reply);
            Msg_FreeReply(&reply);
        });
    });
}

void
World::call(EntryNode *from, Address to, std::vector<uint64_t> call_ids,
            const Msg_Call *message)
{
    GByteArray *bytes = g_byte_array_new();
    Call copy;

    Msg_EncodeCall(message, 1, bytes);
    copy.call_ids = std::move(call_ids);
    copy.bytes.assign(bytes->data, bytes->data + bytes->len);
    g_byte_array_unref(bytes);
    if (to < companion_address(0)) {
        to_entry(from->index, (uint32_t)(to - entry_address(0)),
                 std::move(copy));
        return;
    }
    to_companion(from->index, (uint32_t)(to - companion_address(0)),
                 std::move(copy));
}

void
World::reset(EntryNode *from, Address to)
{
    break_link(from->index, (uint32_t)(to - companion_address(0)));
}

void
World::reply(CompanionNode *from, uint64_t reply_id, const Msg_Reply *message)
{
    auto owed = from->owed.find(reply_id);
    Owed to;

    if (owed == from->owed.end()) {
        return;
    }
    to = owed->second;
    from->owed.erase(owed);
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
    int64_t arrives = std::max(now + LINK_MS, link.cut_until);
    uint64_t life = entries[entry_index].life;
    EntryNode *entry = &entries[entry_index];
    at(arrives, [this, entry, life, call_id, copy] {
        if (entry->life != life) {
            return;
        }
        when_awake(entry, [this, entry, call_id, copy] {
            take_reply(entry, now, call_id, copy.get());
        });
    });
}

/* ---- orders ---- */

/* What comes while the upstream's machine is suspended waits there. */
void
World::when_up(const Upstream *upstream, std::function<void()> act)
{
    if (upstream->asleep_until() > now) {
        at(upstream->asleep_until(),
           [this, upstream, act] { when_up(upstream, act); });
        return;
    }
    act();
}

void
World::order(CompanionNode *from, std::function<Runner_OrderEnd()> act,
             std::function<void(Runner_OrderEnd, int64_t)> done_with)
{
    Upstream *upstream = &upstreams[from->index];
    uint64_t life = from->life;
    bool late = late_until[from->index] > now && pick(3) == 0;
    int64_t delay = late ? 1000 + pick(MAX_ORDER_DELAY_MS - 1000) : 0;

    if (!upstream->is_up()) {
        at(now + 1, [this, from, life, done_with] {
            if (from->life == life) {
                when_awake(from, [this, done_with] {
                    done_with(RUNNER_ORDER_UNSENT, 0);
                });
            }
        });
        return;
    }
    at(now + delay, [this, from, life, late, upstream, act, done_with] {
        when_up(upstream, [this, from, life, late, upstream, act, done_with] {
            Runner_OrderEnd end = RUNNER_ORDER_UNANSWERED;
            int64_t clock = upstream->clock(now);
            if (upstream->is_up()) {
                upstream->advance(now);
                end = act();
            }
            if (late || from->life != life) {
                return;
            }
            at(now + 1, [this, from, life, end, clock, done_with] {
                if (from->life == life) {
                    when_awake(from, [end, clock, done_with] {
                        done_with(end, clock);
                    });
                }
            });
        });
    });
    if (late) {
        at(now + ORDER_TIMEOUT_MS, [this, from, life, done_with] {
            if (from->life == life) {
                when_awake(from, [done_with] {
                    done_with(RUNNER_ORDER_UNANSWERED, 0);
                });
            }
        });
    }
}

void
World::order_start(CompanionNode *from, uint64_t id, const Runner_Start *start)
{
    Upstream *upstream = &upstreams[from->index];
    uint32_t index = from->index;
    Runner_Start copy = *start;
    auto instance = std::make_shared<std::string>(start->instance);

    check_spec(copy.id, start->spec);
    copy.spec = "";
    check_hall(index, copy.id);
    order(
        from,
        [this, upstream, index, copy, instance]() mutable {
            copy.instance = instance->c_str();
            Runner_OrderEnd end = upstream->start(now, copy);
            check_room(index);
            return end;
        },
        [this, from, id](Runner_OrderEnd end, int64_t clock) {
            Runner_OnStarted(from->runner, now, id, end, clock);
        });
}

void
World::order_stop(CompanionNode *from, uint64_t id, const lc_run_id *run,
                  const char *expected, int64_t token)
{
    Upstream *upstream = &upstreams[from->index];
    lc_run_id copy = *run;
    std::string instance = expected;

    order(
        from,
        [this, upstream, copy, instance, token] {
            return upstream->stop(now, copy, instance, token);
        },
        [this, from, id](Runner_OrderEnd end, int64_t clock) {
            Runner_OnStopped(from->runner, now, id, end, clock);
        });
}

void
World::order_look(CompanionNode *from, uint64_t id, const Runner_Look *look)
{
    Upstream *upstream = &upstreams[from->index];
    Runner_Look copy = *look;
    auto instance = std::make_shared<std::string>(look->instance);
    auto running = std::make_shared<std::vector<Runner_Row>>();
    auto ended = std::make_shared<std::vector<Runner_EndRow>>();
    auto born_ms = std::make_shared<int64_t>(0);

    /* A wait of the look is played as a late reading of the same lists. */
    copy.wait_ms = 0;
    order(
        from,
        [this, upstream, copy, instance, running, ended, born_ms]() mutable {
            copy.instance = instance->c_str();
            *born_ms = upstream->born();
            return upstream->look(now, copy, running.get(), ended.get());
        },
        [this, from, id, running, ended, born_ms](Runner_OrderEnd end,
                                                  int64_t clock) {
            Runner_Listing listing = {end,
                                      clock,
                                      *born_ms,
                                      running->data(),
                                      (uint32_t)running->size(),
                                      ended->data(),
                                      (uint32_t)ended->size()};
            uint64_t life = from->life;
            /* One look in ten ms stands for a waiting one. */
            at(now + 9, [this, from, life, id, running, ended, listing] {
                if (from->life == life) {
                    when_awake(
                        from, [this, from, id, running, ended, listing] {
                            Runner_OnLook(from->runner, now, id, &listing);
                        });
                }
            });
        });
}

} // namespace lease
