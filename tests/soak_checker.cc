/*
 * Tests the checker of the soak: each kind of violation must be found, and
 * none in a correct run.
 */

#include <glib.h>

#include "tests/soak/checker.h"

namespace {

const char *const UPSTREAM = "upstream-0";
const char *const OTHER_UPSTREAM = "upstream-1";
const int64_t INCARNATION = 1700000000000;
const int64_t NEXT_INCARNATION = 1700000005000;

lc_run_id
run_of(uint64_t job, uint32_t index, uint32_t run)
{
    lc_run_id id = {};

    id.job = job;
    id.index = index;
    id.run = run;
    return id;
}

size_t
count_violations(soak::Checker &checker)
{
    checker.finish(1000);
    return checker.violations.size();
}

void
test_no_violation()
{
    soak::Checker checker;
    soak::Job &job = checker.add_job(1, 1, 1000, 100, 0);

    checker.on_start(10, UPSTREAM, run_of(1, 0, 1));
    checker.on_end(110, UPSTREAM, INCARNATION, run_of(1, 0, 1),
                   RUNNER_END_DONE);
    checker.on_answer(111, job, {true, 200, "{\"state\":\"succeeded\"}"});
    g_assert_cmpuint(count_violations(checker), ==, 0);
}

/* Accepts a durable job and plays one successful run of its task; the end is
 * acknowledged if asked for. */
soak::Job &
play_durable(soak::Checker &checker, bool acknowledged)
{
    soak::Job &job = checker.add_job(1, 1, 1000, 100, 0);

    job.durable = true;
    checker.on_answer(5, job, {true, 200, "{}"});
    checker.on_start(10, UPSTREAM, run_of(1, 0, 1));
    checker.on_end(110, UPSTREAM, INCARNATION, run_of(1, 0, 1),
                   RUNNER_END_DONE);
    if (acknowledged) {
        checker.on_acknowledged_end(120, UPSTREAM, INCARNATION,
                                    run_of(1, 0, 1), RUNNER_END_DONE);
    }
    return job;
}

void
test_durable_no_violation()
{
    soak::Checker checker;
    soak::Job &job = play_durable(checker, true);

    checker.on_state_answer(130, job, {true, 410, "{}"});
    checker.on_state_answer(150, job,
                            {true, 200, "{\"state\":\"succeeded\"}"});
    g_assert_cmpuint(count_violations(checker), ==, 0);
}

void
test_durable_started_again()
{
    soak::Checker checker;
    soak::Job &job = play_durable(checker, true);

    checker.on_start(200, OTHER_UPSTREAM, run_of(1, 0, 2));
    checker.on_end(300, OTHER_UPSTREAM, INCARNATION, run_of(1, 0, 2),
                   RUNNER_END_DONE);
    checker.on_state_answer(310, job,
                            {true, 200, "{\"state\":\"succeeded\"}"});
    g_assert_cmpuint(count_violations(checker), ==, 1);
}

void
test_durable_acknowledged_late()
{
    soak::Checker checker;
    soak::Job &job = play_durable(checker, false);

    checker.on_start(200, OTHER_UPSTREAM, run_of(1, 0, 2));
    checker.on_end(300, OTHER_UPSTREAM, INCARNATION, run_of(1, 0, 2),
                   RUNNER_END_DONE);
    checker.on_acknowledged_end(305, UPSTREAM, INCARNATION, run_of(1, 0, 1),
                                RUNNER_END_DONE);
    checker.on_state_answer(310, job,
                            {true, 200, "{\"state\":\"succeeded\"}"});
    g_assert_cmpuint(count_violations(checker), ==, 1);
}

/* Plays a late copy of the start that the next incarnation executes, and whose
 * end is acknowledged. */
void
play_late_copy(soak::Checker &checker, bool acknowledged)
{
    soak::Job &job = play_durable(checker, acknowledged);

    checker.on_start(200, UPSTREAM, run_of(1, 0, 1));
    checker.on_end(300, UPSTREAM, NEXT_INCARNATION, run_of(1, 0, 1),
                   RUNNER_END_DONE);
    checker.on_acknowledged_end(305, UPSTREAM, NEXT_INCARNATION,
                                run_of(1, 0, 1), RUNNER_END_DONE);
    checker.on_state_answer(310, job,
                            {true, 200, "{\"state\":\"succeeded\"}"});
}

/* Guards against confusing the copy's end with the end lost in the crash. */
void
test_durable_end_lost_in_crash()
{
    soak::Checker checker;

    play_late_copy(checker, false);
    g_assert_cmpuint(count_violations(checker), ==, 0);
}

/* Guards against missing a second execution after an acknowledged end. */
void
test_durable_late_copy_after_acknowledged_end()
{
    soak::Checker checker;

    play_late_copy(checker, true);
    g_assert_cmpuint(count_violations(checker), ==, 1);
}

void
test_durable_lost()
{
    soak::Checker checker;

    play_durable(checker, true);
    g_assert_cmpuint(count_violations(checker), ==, 1);
}

void
test_durable_unknown()
{
    soak::Checker checker;
    soak::Job &job = play_durable(checker, true);

    checker.on_state_answer(4000, job, {true, 410, "{}"});
    checker.on_state_answer(4010, job,
                            {true, 200, "{\"state\":\"succeeded\"}"});
    g_assert_cmpuint(count_violations(checker), ==, 1);
}

void
test_two_runs()
{
    soak::Checker checker;
    soak::Job &job = checker.add_job(1, 1, 1000, 100, 0);

    checker.on_start(10, UPSTREAM, run_of(1, 0, 1));
    checker.on_start(20, OTHER_UPSTREAM, run_of(1, 0, 2));
    checker.on_end(30, UPSTREAM, INCARNATION, run_of(1, 0, 1),
                   RUNNER_END_DONE);
    checker.on_end(30, OTHER_UPSTREAM, INCARNATION, run_of(1, 0, 2),
                   RUNNER_END_DONE);
    checker.on_answer(40, job, {false, 0, ""});
    g_assert_cmpuint(count_violations(checker), ==, 1);
}

void
test_over_capacity()
{
    soak::Checker checker;

    for (uint64_t id = 1; id <= 2; id++) {
        soak::Job &job = checker.add_job(id, 1, 9000, 100, 0);
        checker.on_start(10, UPSTREAM, run_of(id, 0, 1));
        checker.on_answer(40, job, {false, 0, ""});
    }
    for (uint64_t id = 1; id <= 2; id++) {
        checker.on_end(50, UPSTREAM, INCARNATION, run_of(id, 0, 1),
                       RUNNER_END_DONE);
    }
    g_assert_cmpuint(count_violations(checker), ==, 1);
}

void
test_done_without_all()
{
    soak::Checker checker;
    soak::Job &job = checker.add_job(1, 2, 1000, 100, 0);

    checker.on_start(10, UPSTREAM, run_of(1, 0, 1));
    checker.on_end(110, UPSTREAM, INCARNATION, run_of(1, 0, 1),
                   RUNNER_END_DONE);
    checker.on_answer(111, job, {true, 200, "{\"state\":\"succeeded\"}"});
    g_assert_cmpuint(count_violations(checker), ==, 1);
}

void
test_refused_but_ran()
{
    soak::Checker checker;
    soak::Job &job = checker.add_job(1, 1, 1000, 100, 0);

    checker.on_start(10, UPSTREAM, run_of(1, 0, 1));
    checker.on_end(20, UPSTREAM, INCARNATION, run_of(1, 0, 1),
                   RUNNER_END_STOPPED);
    checker.on_answer(111, job, {true, 503, "{}"});
    g_assert_cmpuint(count_violations(checker), ==, 1);
}

void
test_start_of_unknown_job()
{
    soak::Checker checker;

    checker.on_start(10, UPSTREAM, run_of(7, 0, 1));
    checker.on_end(20, UPSTREAM, INCARNATION, run_of(7, 0, 1),
                   RUNNER_END_STOPPED);
    g_assert_cmpuint(count_violations(checker), ==, 1);
}

void
test_still_running()
{
    soak::Checker checker;
    soak::Job &job = checker.add_job(1, 1, 1000, 100, 0);

    checker.on_start(10, UPSTREAM, run_of(1, 0, 1));
    checker.on_answer(40, job, {false, 0, ""});
    g_assert_cmpuint(count_violations(checker), ==, 1);
}

void
test_service_not_recovered()
{
    soak::Checker checker;

    checker.recovery_deadline_ms = 100;
    checker.add_job(1, 1, 1000, 100, 200);
    g_assert_cmpuint(count_violations(checker), ==, 1);
}

const struct {
    const char *name;
    void (*run)();
} tests[] = {
    {"/checker/no violation", test_no_violation},
    {"/checker/a durable job, no violation", test_durable_no_violation},
    {"/checker/a durable task again after its end",
     test_durable_started_again},
    {"/checker/a durable end acknowledged after another start",
     test_durable_acknowledged_late},
    {"/checker/a durable end lost in an upstream's crash",
     test_durable_end_lost_in_crash},
    {"/checker/a late copy after a durable end was acknowledged",
     test_durable_late_copy_after_acknowledged_end},
    {"/checker/a durable job that has not ended", test_durable_lost},
    {"/checker/a durable job reported as unknown", test_durable_unknown},
    {"/checker/two runs at once", test_two_runs},
    {"/checker/over capacity", test_over_capacity},
    {"/checker/done without all tasks", test_done_without_all},
    {"/checker/refused but ran", test_refused_but_ran},
    {"/checker/a start of an unknown job", test_start_of_unknown_job},
    {"/checker/still running", test_still_running},
    {"/checker/service not back", test_service_not_recovered},
};

} // namespace

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, nullptr);
    for (const auto &test : tests) {
        g_test_add_func(test.name, test.run);
    }
    return g_test_run();
}
