#include "tests/pump_world.h"

#include <cstring>

namespace pump {

void
Simulation::submit_new_job()
{
    Job job;

    job.key = Key_Create(START_WALL_MS + now_ms_ + (int64_t)below(SKEW_MS) -
                             SKEW_MS / 2,
                         random(), random());
    job.tasks = 1 + (uint32_t)below(plan_.max_tasks);
    job.repeatable = chance(500);
    jobs_.push_back(job);
    submit(jobs_.size() - 1);
    if (chance(plan_.resubmit_permille)) {
        submit(jobs_.size() - 1);
    }
}

void
Simulation::submit(size_t number)
{
    Job &job = jobs_[number];
    Node *node = find(entries_[below(entries_.size())]);

    if (job.ended || job.attempts >= MAX_ATTEMPTS) {
        return;
    }
    job.attempts++;
    if (!node->alive || now_ms_ < node->frozen_until_ms ||
        Entry_IsClosed(node->entry)) {
        /* The load balancer finds no live entry; the client retries. */
        schedule(now_ms_ + RESUBMIT_MS / 2,
                 [this, number] { submit(number); });
        return;
    }
    submit_to(node, number);
    /* An impatient client resubmits while the first attempt still runs. */
    if (!plan_.no_retries && chance(300)) {
        schedule(now_ms_ + (int64_t)below(RESUBMIT_MS),
                 [this, number] { submit(number); });
    }
}

void
Simulation::submit_to(Node *node, size_t number)
{
    Job &job = jobs_[number];
    std::vector<lc_payload> payloads(job.tasks);
    static char byte = 'x';
    Admission_Spec spec{};

    for (auto &payload : payloads) {
        payload.data.data_len = 1;
        payload.data.data_val = &byte;
    }
    spec.key = job.key;
    spec.group = number % 3 == 0 ? "small" : "large";
    spec.repeatable = job.repeatable;
    spec.tasks = payloads.data();
    spec.count = job.tasks;
    job.pending++;
    report_.requests++;
    attempts_.push_back(
        {number, node->address, node->generation, false, node->draining});
    trace(node, "submit " + key_text(job.key));
    Entry_Submit(node->entry, time_of(node), attempts_.size() - 1, &spec);
}

void
Simulation::on_answer(Node *node, uint64_t request, const Node_Answer *answer)
{
    Attempt &attempt = attempts_[request];
    Job &job = jobs_[attempt.job];
    size_t number = attempt.job;
    Outcome outcome = Err_Outcome(answer->kind);

    if (attempt.answered) {
        report_.wrong.push_back("a request was answered twice");
        return;
    }
    attempt.answered = true;
    trace(node, "answer " + key_text(job.key) + " " + Err_Text(answer->kind));
    job.pending--;
    report_.kinds[Err_Text(answer->kind)]++;
    if (!Key_Equal(&answer->key, &job.key)) {
        report_.wrong.push_back("an answer for another key");
    }
    if (plan_.graceful_only && node->draining &&
        answer->kind == ERR_OWNER_LOST) {
        report_.cut_off.push_back(key_text(job.key) +
                                  " was cut off by a graceful shutdown");
    }
    if (outcome != OUTCOME_NOT_RUN) {
        job.all_not_run = false;
    }
    if (outcome == OUTCOME_DONE) {
        report_.done++;
        job.ended = true;
        if (answer->count != job.tasks) {
            report_.partial.push_back(key_text(job.key) + " is partial");
        }
        for (uint32_t i = 0; i < answer->count; i++) {
            std::string text(answer->results[i].data.data_val,
                             answer->results[i].data.data_len);
            if (text != result_text(job.key, i)) {
                report_.wrong.push_back(key_text(job.key) + " got " + text);
            }
        }
        return;
    }
    if (answer->count != 0) {
        report_.partial.push_back(key_text(job.key) +
                                  " has results but is not done");
    }
    if (outcome == OUTCOME_FAILED) {
        report_.failed++;
        job.ended = true;
        return;
    }
    (outcome == OUTCOME_NOT_RUN ? report_.not_run : report_.unknown)++;
    if (!plan_.no_retries && chance(800)) {
        schedule(now_ms_ + answer->retry_ms + (int64_t)below(RESUBMIT_MS),
                 [this, number] { submit(number); });
    }
}

void
Simulation::edit(const char *group)
{
    Node *node = find(entries_[below(entries_.size())]);
    GroupTable_Row row;
    Status status;
    int64_t weight = 1 + (int64_t)below(50);

    if (!node->alive || now_ms_ < node->frozen_until_ms) {
        return;
    }
    bool large = strcmp(group, "large") == 0;
    json_t *value = json_pack(
        "{s:I, s:I, s:I, s:I}", "weight", (json_int_t)weight, "max_running",
        (json_int_t)(large ? plan_.max_running : 0), "starts_per_s",
        (json_int_t)(large ? plan_.starts_per_s : 0), "max_wait_ms",
        (json_int_t)(large && plan_.starts_per_s == 0 ? 0
                                                      : plan_.max_wait_ms));
    GroupTable_RowFromJson(group, value, &row, &status);
    json_decref(value);
    uint64_t base = GroupTable_Version(Entry_GroupTable(node->entry), group);
    edit_requests_.push_back({group, weight, base});
    Entry_Edit(node->entry, time_of(node), edit_requests_.size() - 1, group,
               base, &row);
}

void
Simulation::on_edited(uint64_t request, const Status *status, uint64_t version)
{
    const EditRequest &sent_edit = edit_requests_[request];

    if (status->kind == ERR_OK) {
        accepted_.push_back(
            {sent_edit.group, sent_edit.weight, version, now_ms_});
        if (!bases_.insert({sent_edit.group, sent_edit.base}).second) {
            report_.table.push_back(format(
                "two edits of %s based on %llu were accepted",
                sent_edit.group.c_str(), (unsigned long long)sent_edit.base));
        }
        if (plan_.actions.empty()) {
            AcceptedEdit edit = accepted_.back();
            schedule(now_ms_ + EDIT_PROPAGATION_MS,
                     [this, edit] { check_in_force(edit); });
        }
    }
}

} // namespace pump
