/*
 * Rules of the limits on all clients of a process: which connection is closed,
 * and when a listener that waits goes on.
 *
 * Each case is a line of steps and the events that they must cause. Clients
 * are letters, listeners digits; each step takes one millisecond:
 *   a        client a connects        -a      it has left
 *   a=400    it holds 400 bytes       a:idle  its state
 *   1?       a connection arrives at listener 1
 * Events: "a!" client a is closed, "1+" listener 1 may accept, "1-" it waits,
 * "1>X" it was told, and accepted client X (from A on).
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/client_limits.h"

#define MAX_BYTES 1000
#define MAX_CONNECTIONS 3
#define LETTERS 128
/* Longer than a request or an answer counts as just begun. */
#define STEP_MS 2000
#define LISTENERS 3

typedef struct {
    ClientLimits *limits;
    ClientLimits_Client clients[LETTERS];
    ClientLimits_Listener listeners[LISTENERS];
    char accepted; /* by listeners that were told, the next one */
    int64_t now_ms;
    GString *events;
} limits_fixture;

typedef struct {
    const char *name;
    const char *steps;
    const char *events;
} limits_case;

static limits_fixture fix;

static char
letter_of(const ClientLimits_Client *client)
{
    return (char)(client - fix.clients);
}

static void
on_close(void *owner)
{
    g_string_append_printf(fix.events, "%c! ", letter_of(owner));
}

static void
join(char letter)
{
    ClientLimits_Client *client = &fix.clients[(int)letter];

    client->close = on_close;
    client->owner = client;
    ClientLimits_Join(fix.limits, client, fix.now_ms);
}

/* As a server does, it asks again before it accepts. */
static void
on_told(void *owner)
{
    ClientLimits_Listener *listener = owner;
    int number = (int)(listener - fix.listeners);

    g_assert_true(ClientLimits_HasRoom(fix.limits, listener, fix.now_ms));
    g_string_append_printf(fix.events, "%d>%c ", number, fix.accepted);
    join(fix.accepted++);
}

/* Tables of limits last as long as the process. */
static ClientLimits *
new_limits(size_t max_bytes, uint32_t max_connections)
{
    static GPtrArray *all;
    ClientLimits *limits = ClientLimits_New(max_bytes, max_connections);

    if (all == NULL) {
        all = g_ptr_array_new();
    }
    g_ptr_array_add(all, limits);
    return limits;
}

static void
open_fixture(void)
{
    int i;

    memset(&fix, 0, sizeof(fix));
    fix.limits = new_limits(MAX_BYTES, MAX_CONNECTIONS);
    fix.accepted = 'A';
    fix.events = g_string_new(NULL);
    for (i = 1; i < LISTENERS; i++) {
        fix.listeners[i].accept = on_told;
        fix.listeners[i].owner = &fix.listeners[i];
        ClientLimits_AddListener(fix.limits, &fix.listeners[i]);
    }
}

static void
close_fixture(void)
{
    g_string_free(fix.events, TRUE);
}

static ClientLimits_State
state_of(const char *text)
{
    static const char *const texts[] = {[CLIENT_UNFINISHED] = "unfinished",
                                        [CLIENT_UNREAD] = "unread",
                                        [CLIENT_IDLE] = "idle",
                                        [CLIENT_SERVED] = "served"};
    guint i;

    for (i = 0; i < G_N_ELEMENTS(texts); i++) {
        if (strcmp(text, texts[i]) == 0) {
            return (ClientLimits_State)i;
        }
    }
    g_error("no state \"%s\"", text);
}

static void
run_step(const char *step)
{
    ClientLimits_Client *client = &fix.clients[(int)step[0]];
    int number = step[0] - '0';

    fix.now_ms += STEP_MS;
    if (step[0] == '-') {
        ClientLimits_Leave(&fix.clients[(int)step[1]]);
    }
    else if (step[1] == '?') {
        bool room = ClientLimits_HasRoom(fix.limits, &fix.listeners[number],
                                         fix.now_ms);
        g_string_append_printf(fix.events, "%d%c ", number, room ? '+' : '-');
    }
    else if (step[1] == '=') {
        ClientLimits_SetBytes(client, (size_t)atol(step + 2));
    }
    else if (step[1] == ':') {
        ClientLimits_SetState(client, state_of(step + 2), fix.now_ms);
    }
    else {
        join(step[0]);
    }
}

static void
run_case(gconstpointer data)
{
    const limits_case *row = data;
    char **steps = g_strsplit(row->steps, " ", -1);
    char **step;
    const char *events;

    open_fixture();
    for (step = steps; *step != NULL; step++) {
        run_step(*step);
    }
    events = g_strchomp(fix.events->str);
    g_assert_cmpstr(events, ==, row->events);
    close_fixture();
    g_strfreev(steps);
}

static const limits_case byte_cases[] = {
    {"nothing is closed at the limit itself", "a b a=500 b=500", ""},
    {"the largest is closed when a smaller one grows",
     "a b c a=100 b=700 c=200 c=201", "b!"},
    {"the largest is closed when it grows itself", "a b c a=300 b=300 c=401",
     "c!"},
    {"one that alone holds too much is closed", "a a=1001", "a!"},
    {"many small ones are not closed for a large one that grows",
     "a b a=10 b=10 c c=900 a=20 b=20 c=990", "c!"},
    {"the largest is closed that is not being closed",
     "a b c a=600 b=350 c=300 c=700", "a! c!"},
    {"bytes of closing ones do not close others",
     "a b c a=900 b=200 c=300 b=400", "a!"},
    {"bytes of closing ones that still grow do not close others",
     "a b a=900 b=200 a=1700 b=250", "a!"},
    {"one is not closed a second time", "a a=1001 a=1002 a=5000", "a!"},
    {"room that a closed one leaves is used again",
     "a b a=900 b=200 -a b=1000 c c=1", "a! b!"},
    {"at twice the limit the one that grows is closed",
     "a b c a=1900 b=100 c=1", "a! c!"},
    {"at twice the limit one that does not grow is not closed",
     "a b c c=0 b=100 a=1900 a=1950 c=0 b=100", "a!"},
    {"at twice the limit one that shrinks is not closed",
     "a b b=100 a=1900 a=2500 b=50", "a!"},
};

static const limits_case connection_cases[] = {
    {"there is room below the limit", "a b 1?", "1+"},
    {"the oldest unfinished one is closed first",
     "a b c b:idle b:unfinished a:idle 1?", "c! 1-"},
    {"an unfinished one is closed before one that is older and unread",
     "a a:unread b b:idle c 1?", "c! 1-"},
    {"an unread one is closed before one that is older and idle",
     "a b c a:idle b:unread c:served 1?", "b! 1-"},
    {"the one that has been idle longest is closed",
     "a b c a:idle b:idle c:idle a:idle 1?", "b! 1-"},
    {"one that is being served is not closed",
     "a b c a:served b:served c:served 1?", "1-"},
    {"a served one is not closed for being the oldest",
     "a a:served b c c:idle b:idle 1?", "c! 1-"},
    {"one is closed for each listener that waits, not at each question",
     "a b c 1? 1? 2?", "a! 1- 1- b! 2-"},
    {"a listener that waits is told when a connection has left", "a b c 1? -a",
     "a! 1- 1>A"},
    {"a listener that waits is told when another one has left", "a b c 1? -b",
     "a! 1- 1>A"},
    {"a listener is told once", "a b c 1? -a -b -c", "a! 1- 1>A"},
    {"a listener that does not wait is not told", "a b c -a -b", ""},
    {"a served one that becomes idle makes room for a listener that waits",
     "a b c a:served b:served c:served 1? b:idle -b", "1- b! 1>A"},
    {"one that becomes idle is not closed when none waits",
     "a b c a:served b:served c:served b:idle", ""},
    {"one that becomes idle is not closed once the listener was told",
     "a b c a:served b:served c:served 1? b:idle -b c:idle", "1- b! 1>A"},
    {"one that becomes idle is not closed while another one is closing",
     "a b c b:served c:served 1? b:idle", "a! 1-"},
    {"one closing for its bytes makes the room", "a b c a=1001 1? -a",
     "a! 1- 1>A"},
    {"room is made for a second listener that waits", "a b c 1? 2? -a -b -A",
     "a! 1- b! 2- 1>A 2>B"},
};

/* ---- random operations against a model ---- */

#define MODEL_CLIENTS 20
#define MODEL_SEEDS 300
#define MODEL_STEPS 400

typedef struct {
    ClientLimits_Client client;
    bool joined;
    bool closing;
    int closes;
    size_t bytes;
} model_client;

static void
on_model_close(void *owner)
{
    ((model_client *)owner)->closes++;
}

static size_t
total_bytes(const model_client *clients, bool with_closing)
{
    size_t total = 0;
    int i;

    for (i = 0; i < MODEL_CLIENTS; i++) {
        if (clients[i].joined && (with_closing || !clients[i].closing)) {
            total += clients[i].bytes;
        }
    }
    return total;
}

static model_client *
largest_open(model_client *clients)
{
    model_client *largest = NULL;
    int i;

    for (i = 0; i < MODEL_CLIENTS; i++) {
        if (clients[i].joined && !clients[i].closing &&
            (largest == NULL || clients[i].bytes > largest->bytes)) {
            largest = &clients[i];
        }
    }
    return largest;
}

/* `bytes` differ between clients, so that one is the largest. */
static void
model_set_bytes(model_client *clients, model_client *client, size_t bytes)
{
    bool grows = bytes > client->bytes;

    client->bytes = bytes;
    while (total_bytes(clients, false) > MAX_BYTES) {
        largest_open(clients)->closing = true;
    }
    if (grows && total_bytes(clients, true) > 2 * (size_t)MAX_BYTES) {
        client->closing = true;
    }
    ClientLimits_SetBytes(&client->client, bytes);
}

static uint32_t
joined_count(const model_client *clients)
{
    uint32_t count = 0;
    int i;

    for (i = 0; i < MODEL_CLIENTS; i++) {
        count += clients[i].joined;
    }
    return count;
}

static void
check_model(const ClientLimits *limits, const model_client *clients)
{
    GString *text = g_string_new(NULL);
    char *expected = g_strdup_printf(
        "levercove_client_bytes %zu\nlevercove_client_bytes_limit %d\n"
        "levercove_client_connections %u\n",
        total_bytes(clients, true), MAX_BYTES, joined_count(clients));
    int i;

    ClientLimits_Print(limits, text);
    g_assert_true(g_str_has_prefix(text->str, expected));
    for (i = 0; i < MODEL_CLIENTS; i++) {
        g_assert_cmpint(clients[i].closes, ==, clients[i].closing);
    }
    g_free(expected);
    g_string_free(text, TRUE);
}

static void
toggle_joined(ClientLimits *limits, model_client *client)
{
    if (client->joined) {
        ClientLimits_Leave(&client->client);
        memset(client, 0, sizeof(*client));
        return;
    }
    client->joined = true;
    client->client.close = on_model_close;
    client->client.owner = client;
    ClientLimits_Join(limits, &client->client, 0);
}

static void
run_random_step(ClientLimits *limits, model_client *clients, GRand *random)
{
    int index = g_rand_int_range(random, 0, MODEL_CLIENTS);
    model_client *client = &clients[index];
    int bytes = g_rand_int_range(random, 0, 20) * MODEL_CLIENTS + index;

    if (!client->joined || g_rand_int_range(random, 0, 4) == 0) {
        toggle_joined(limits, client);
    }
    else {
        model_set_bytes(clients, client, (size_t)bytes);
    }
    check_model(limits, clients);
}

static void
test_counts_are_right_in_any_order(void)
{
    guint32 seed;
    int i;

    for (seed = 1; seed <= MODEL_SEEDS; seed++) {
        ClientLimits *limits = new_limits(MAX_BYTES, MODEL_CLIENTS);
        GRand *random = g_rand_new_with_seed(seed);
        model_client clients[MODEL_CLIENTS] = {0};
        g_test_message("seed %u", seed);
        for (i = 0; i < MODEL_STEPS; i++) {
            run_random_step(limits, clients, random);
        }
        for (i = 0; i < MODEL_CLIENTS; i++) {
            if (clients[i].joined) {
                toggle_joined(limits, &clients[i]);
            }
        }
        check_model(limits, clients);
        g_rand_free(random);
    }
}

/* ---- the rest ---- */

static void
test_metrics_text(void)
{
    GString *text = g_string_new("before\n");

    open_fixture();
    join('a');
    join('b');
    join('c');
    ClientLimits_SetBytes(&fix.clients['a'], 900);
    ClientLimits_SetBytes(&fix.clients['b'], 200);
    ClientLimits_HasRoom(fix.limits, &fix.listeners[1], fix.now_ms);
    ClientLimits_Close(&fix.clients['b'], CLIENT_LIMIT_ANSWER_TIME);
    ClientLimits_Close(&fix.clients['b'], CLIENT_LIMIT_ANSWER_TIME);
    ClientLimits_Close(&fix.clients['c'], CLIENT_LIMIT_REQUEST_TIME);
    ClientLimits_Print(fix.limits, text);
    g_assert_cmpstr(text->str, ==,
                    "before\n"
                    "levercove_client_bytes 1100\n"
                    "levercove_client_bytes_limit 1000\n"
                    "levercove_client_connections 3\n"
                    "levercove_client_connections_limit 3\n"
                    "levercove_clients_closed{limit=\"bytes\"} 1\n"
                    "levercove_clients_closed{limit=\"connections\"} 0\n"
                    "levercove_clients_closed{limit=\"request_time\"} 1\n"
                    "levercove_clients_closed{limit=\"answer_time\"} 1\n");
    close_fixture();
    g_string_free(text, TRUE);
}

static void
leave_closing(void)
{
    int i;

    for (i = 0; i < LETTERS; i++) {
        if (fix.clients[i].closing) {
            ClientLimits_Leave(&fix.clients[i]);
            memset(&fix.clients[i], 0, sizeof(fix.clients[i]));
        }
    }
}

/* More connections arrive at one listener whenever it has accepted one. */
static void
check_told_beside_a_busy_one(int waiting, int busy)
{
    char *told = g_strdup_printf("%d>", waiting);
    int i;

    open_fixture();
    join('a');
    join('b');
    join('c');
    ClientLimits_HasRoom(fix.limits, &fix.listeners[waiting], fix.now_ms);
    for (i = 0; i < 5; i++) {
        fix.now_ms += STEP_MS;
        ClientLimits_HasRoom(fix.limits, &fix.listeners[busy], fix.now_ms);
        leave_closing();
    }
    g_assert_nonnull(strstr(fix.events->str, told));
    close_fixture();
    g_free(told);
}

static void
test_second_listener_is_told_beside_a_busy_one(void)
{
    check_told_beside_a_busy_one(2, 1);
}

static void
test_first_listener_is_told_beside_a_busy_one(void)
{
    check_told_beside_a_busy_one(1, 2);
}

/* Guards against ordinary requests that are closed for the next one beside a
 * table full of idle connections. */
static void
test_new_request_goes_after_idle_ones(void)
{
    open_fixture();
    join('a');
    join('b');
    ClientLimits_SetState(&fix.clients['a'], CLIENT_IDLE, fix.now_ms);
    ClientLimits_SetState(&fix.clients['b'], CLIENT_IDLE, fix.now_ms);
    fix.now_ms += STEP_MS;
    join('c');
    fix.now_ms++;
    ClientLimits_HasRoom(fix.limits, &fix.listeners[1], fix.now_ms);
    g_assert_cmpstr(fix.events->str, ==, "a! ");
    close_fixture();
}

/* An answer that is just being sent is not cut off. */
static void
test_new_answer_is_not_closed(void)
{
    int letter;

    open_fixture();
    for (letter = 'a'; letter <= 'c'; letter++) {
        join((char)letter);
        ClientLimits_SetState(&fix.clients[letter], CLIENT_SERVED, fix.now_ms);
    }
    fix.now_ms += STEP_MS;
    ClientLimits_HasRoom(fix.limits, &fix.listeners[1], fix.now_ms);
    ClientLimits_SetState(&fix.clients['b'], CLIENT_UNREAD, fix.now_ms);
    ClientLimits_HasRoom(fix.limits, &fix.listeners[2], fix.now_ms);
    g_assert_cmpstr(fix.events->str, ==, "");
    ClientLimits_Tick(fix.limits, fix.now_ms + STEP_MS);
    g_assert_cmpstr(fix.events->str, ==, "b! ");
    close_fixture();
}

static void
test_removed_listener_is_not_told(void)
{
    open_fixture();
    join('a');
    join('b');
    join('c');
    ClientLimits_HasRoom(fix.limits, &fix.listeners[1], fix.now_ms);
    ClientLimits_RemoveListener(fix.limits, &fix.listeners[1]);
    ClientLimits_RemoveListener(fix.limits, &fix.listeners[1]);
    ClientLimits_Leave(&fix.clients['a']);
    g_assert_cmpstr(fix.events->str, ==, "a! ");
    close_fixture();
}

static void
add_cases(const char *group, const limits_case *cases, size_t count)
{
    size_t i;

    for (i = 0; i < count; i++) {
        char *path = g_strdup_printf("/client limits/%s/%s", group,
                                     cases[i].name);
        g_test_add_data_func(path, &cases[i], run_case);
        g_free(path);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    add_cases("bytes", byte_cases, G_N_ELEMENTS(byte_cases));
    add_cases("connections", connection_cases, G_N_ELEMENTS(connection_cases));
    g_test_add_func("/client limits/counts are right in any order",
                    test_counts_are_right_in_any_order);
    g_test_add_func("/client limits/metrics text", test_metrics_text);
    g_test_add_func("/client limits/a new request goes after idle ones",
                    test_new_request_goes_after_idle_ones);
    g_test_add_func("/client limits/a new answer is not closed",
                    test_new_answer_is_not_closed);
    g_test_add_func("/client limits/a removed listener is not told",
                    test_removed_listener_is_not_told);
    g_test_add_func("/client limits/the second listener is told beside a busy "
                    "one",
                    test_second_listener_is_told_beside_a_busy_one);
    g_test_add_func("/client limits/the first listener is told beside a busy "
                    "one",
                    test_first_listener_is_told_beside_a_busy_one);
    return g_test_run();
}
