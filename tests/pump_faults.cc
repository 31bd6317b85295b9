#include "tests/pump_world.h"

#include <algorithm>

namespace pump {

/*
 * Partitions the cluster: bit i of `sides` is the side of node i; the log is
 * on side 0.
 */
void
Simulation::split(uint32_t sides, int64_t end_ms)
{
    std::vector<Address> all(entries_);
    std::vector<std::pair<Address, Address>> cut;

    all.insert(all.end(), companions_.begin(), companions_.end());
    for (size_t i = 0; i < all.size(); i++) {
        if ((sides >> i & 1) == 0) {
            continue;
        }
        log_cuts_.insert(all[i]);
        for (size_t j = 0; j < all.size(); j++) {
            if ((sides >> j & 1) == 0) {
                cut.push_back({all[i], all[j]});
                cut.push_back({all[j], all[i]});
            }
        }
    }
    cuts_.insert(cut.begin(), cut.end());
    schedule(end_ms, [this, all, cut] {
        for (auto &pair : cut) {
            cuts_.erase(pair);
        }
        for (Address address : all) {
            log_cuts_.erase(address);
        }
    });
}

void
Simulation::inject(const Action &action)
{
    Address entry = entries_[action.target % entries_.size()];
    Address companion = companions_[action.target % companions_.size()];
    size_t total = nodes_.size();
    auto pick = [&](uint32_t number) {
        size_t place = number % total;
        return place < entries_.size() ? entries_[place]
                                       : companions_[place - entries_.size()];
    };
    Address any = pick(action.target);
    Address other = pick(action.other);
    int64_t end_ms = now_ms_ + action.length_ms;

    switch (action.fault) {
    case Fault::KillEntry:
    case Fault::KillCompanion: {
        Address address = action.fault == Fault::KillEntry ? entry : companion;
        kill(find(address));
        schedule(end_ms, [this, address] {
            if (!find(address)->alive) {
                boot(find(address));
            }
        });
        break;
    }
    case Fault::KillEntryHost:
    case Fault::KillCompanionHost: {
        Address address = action.fault == Fault::KillEntryHost ? entry
                                                               : companion;
        kill(find(address));
        publish_hosts(address, false, false, HOST_LAG_MS);
        break;
    }
    case Fault::FreezeEntry:
        find(entry)->frozen_until_ms = end_ms + 600;
        break;
    case Fault::Freeze:
        find(any)->frozen_until_ms = end_ms;
        break;
    case Fault::CutPair:
        cuts_.insert({any, other});
        if (action.length_ms % 2 == 0) {
            cuts_.insert({other, any});
        }
        schedule(end_ms, [this, any, other] {
            cuts_.erase({any, other});
            cuts_.erase({other, any});
        });
        break;
    case Fault::CutAll:
        log_cuts_.insert(any);
        schedule(end_ms, [this, any] { log_cuts_.erase(any); });
        [[fallthrough]];
    case Fault::CutNode:
        for (auto &pair : nodes_) {
            cuts_.insert({any, pair.first});
            cuts_.insert({pair.first, any});
        }
        schedule(end_ms, [this, any] {
            for (auto &pair : nodes_) {
                cuts_.erase({any, pair.first});
                cuts_.erase({pair.first, any});
            }
        });
        break;
    case Fault::CutLog:
        log_cuts_.insert(entry);
        schedule(end_ms, [this, entry] { log_cuts_.erase(entry); });
        break;
    case Fault::LogOutage:
        log_down_ = true;
        schedule(end_ms, [this] { log_down_ = false; });
        break;
    case Fault::LoseConfirm:
        lose_confirms_ += 1 + (int)(action.target % 4);
        break;
    case Fault::DrainEntry:
        if (find(entry)->alive && !find(entry)->draining) {
            find(entry)->draining = true;
            publish_hosts(entry, true, true, 0);
            Entry_Drain(find(entry)->entry, time_of(find(entry)));
        }
        break;
    case Fault::DrainCompanion:
        if (find(companion)->alive && !find(companion)->draining) {
            find(companion)->draining = true;
            leaving_since_[companion] = now_ms_;
            Companion_Drain(find(companion)->companion,
                            time_of(find(companion)));
        }
        break;
    case Fault::LeaveCompanion:
        publish_hosts(companion, true, true, HOST_LAG_MS / 2);
        leaving_since_[companion] = now_ms_;
        schedule(end_ms, [this, companion] {
            leaving_since_.erase(companion);
            publish_hosts(companion, true, false, 0);
        });
        break;
    case Fault::ExpireLog:
        while (log_first_ <= log_.size() &&
               log_times_[log_first_ - 1] < now_ms_ - RETENTION_MS) {
            log_first_++;
        }
        break;
    case Fault::Burst:
        for (int i = 0; i < 15; i++) {
            submit_new_job();
        }
        break;
    case Fault::Split:
        split(action.target | action.other << 6, end_ms);
        break;
    case Fault::Count:
        break;
    }
}

/* Ends all faults and restarts all dead nodes. */
void
Simulation::heal()
{
    faults_on_ = false;
    cuts_.clear();
    log_cuts_.clear();
    log_down_ = false;
    lose_confirms_ = 0;
    for (auto &pair : nodes_) {
        pair.second->frozen_until_ms = 0;
        publish_hosts(pair.first, true, false, 0);
        leaving_since_.erase(pair.first);
        if (!pair.second->alive) {
            boot(pair.second.get());
        }
    }
}

} // namespace pump
