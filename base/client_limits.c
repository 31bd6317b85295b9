#include "base/client_limits.h"

#include "base/event.h"

/* A request that began to arrive, or an answer that was sent, this long ago is
 * not held up yet. */
#define FRESH_MS 1000

struct ClientLimits {
    size_t max_bytes;
    uint32_t max_connections;
    GPtrArray *clients;
    GPtrArray *listeners;
    size_t bytes;         /* of all clients */
    size_t closing_bytes; /* of those that are being closed */
    uint32_t closing;     /* their number */
    int64_t now_ms;       /* when the table was last used */
    guint next_listener;  /* the first to be told of room */
    uint64_t closed[CLIENT_LIMIT_COUNT];
};

static const char *const reason_texts[] = {
#define X(name, text) text,
    CLIENT_LIMIT_LIST(X)
#undef X
};

ClientLimits *
ClientLimits_New(size_t max_bytes, uint32_t max_connections)
{
    ClientLimits *limits = g_new0(ClientLimits, 1);

    limits->max_bytes = max_bytes;
    limits->max_connections = max_connections;
    limits->clients = g_ptr_array_new();
    limits->listeners = g_ptr_array_new();
    return limits;
}

void
ClientLimits_AddListener(ClientLimits *limits, ClientLimits_Listener *listener)
{
    g_ptr_array_add(limits->listeners, listener);
}

void
ClientLimits_RemoveListener(ClientLimits *limits,
                            ClientLimits_Listener *listener)
{
    g_ptr_array_remove(limits->listeners, listener);
}

static ClientLimits_Client *
client_at(const ClientLimits *limits, guint index)
{
    return g_ptr_array_index(limits->clients, index);
}

void
ClientLimits_Close(ClientLimits_Client *client, ClientLimits_Reason reason)
{
    ClientLimits *limits = client->limits;

    if (client->closing) {
        return;
    }
    client->closing = true;
    limits->closing++;
    limits->closing_bytes += client->bytes;
    limits->closed[reason]++;
    Event_Log(EVENT_CLIENT_CLOSED,
              "%s: holds %zu bytes; all %zu bytes, %u connections",
              reason_texts[reason], client->bytes, limits->bytes,
              limits->clients->len);
    client->close(client->owner);
}

/* ---- bytes ---- */

static ClientLimits_Client *
find_largest(const ClientLimits *limits)
{
    ClientLimits_Client *largest = NULL;
    guint i;

    for (i = 0; i < limits->clients->len; i++) {
        ClientLimits_Client *client = client_at(limits, i);
        if (!client->closing &&
            (largest == NULL || client->bytes > largest->bytes)) {
            largest = client;
        }
    }
    return largest;
}

void
ClientLimits_SetBytes(ClientLimits_Client *client, size_t bytes)
{
    ClientLimits *limits = client->limits;
    bool grows = bytes > client->bytes;

    limits->bytes += bytes - client->bytes;
    if (client->closing) {
        limits->closing_bytes += bytes - client->bytes;
    }
    client->bytes = bytes;
    while (limits->bytes - limits->closing_bytes > limits->max_bytes) {
        ClientLimits_Close(find_largest(limits), CLIENT_LIMIT_BYTES);
    }
    /* Connections that are being closed release their bytes a little later;
     * until then others may not add as much again. */
    if (grows && limits->bytes > 2 * limits->max_bytes) {
        ClientLimits_Close(client, CLIENT_LIMIT_BYTES);
    }
}

/* ---- connections ---- */

/* The higher the longer a connection stays. */
static int
rank(const ClientLimits *limits, const ClientLimits_Client *client)
{
    bool is_fresh = limits->now_ms - client->since_ms < FRESH_MS;

    return client->state < CLIENT_IDLE && is_fresh ? CLIENT_SERVED
                                                   : (int)client->state;
}

static bool
goes_before(const ClientLimits *limits, const ClientLimits_Client *a,
            const ClientLimits_Client *b)
{
    int rank_a = rank(limits, a);
    int rank_b = rank(limits, b);

    return rank_a != rank_b ? rank_a < rank_b : a->since_ms < b->since_ms;
}

/* Whether its request is being served, or its answer is just being sent. */
static bool
is_in_use(const ClientLimits *limits, const ClientLimits_Client *client)
{
    return client->state == CLIENT_SERVED ||
           (client->state == CLIENT_UNREAD &&
            rank(limits, client) == CLIENT_SERVED);
}

/* The connection that is needed least, or NULL if all are in use. */
static ClientLimits_Client *
find_least_needed(const ClientLimits *limits)
{
    ClientLimits_Client *found = NULL;
    guint i;

    for (i = 0; i < limits->clients->len; i++) {
        ClientLimits_Client *client = client_at(limits, i);
        if (!client->closing && !is_in_use(limits, client) &&
            (found == NULL || goes_before(limits, client, found))) {
            found = client;
        }
    }
    return found;
}

static uint32_t
count_waiting_listeners(const ClientLimits *limits)
{
    uint32_t count = 0;
    guint i;

    for (i = 0; i < limits->listeners->len; i++) {
        const ClientLimits_Listener *listener = g_ptr_array_index(
            limits->listeners, i);
        count += listener->waiting;
    }
    return count;
}

/* Closes as many connections as listeners wait for, besides those that are
 * being closed. */
static void
make_room(const ClientLimits *limits)
{
    uint32_t wanted = count_waiting_listeners(limits);

    while (wanted > 0 && limits->clients->len - limits->closing + wanted >
                             limits->max_connections) {
        ClientLimits_Client *least_needed = find_least_needed(limits);
        if (least_needed == NULL) {
            return;
        }
        ClientLimits_Close(least_needed, CLIENT_LIMIT_CONNECTIONS);
    }
}

bool
ClientLimits_HasRoom(ClientLimits *limits, ClientLimits_Listener *listener,
                     int64_t now_ms)
{
    limits->now_ms = now_ms;
    if (limits->clients->len < limits->max_connections) {
        return true;
    }
    listener->waiting = true;
    make_room(limits);
    return false;
}

void
ClientLimits_Join(ClientLimits *limits, ClientLimits_Client *client,
                  int64_t now_ms)
{
    client->limits = limits;
    client->index = limits->clients->len;
    client->bytes = 0;
    client->state = CLIENT_UNFINISHED;
    client->since_ms = now_ms;
    client->closing = false;
    g_ptr_array_add(limits->clients, client);
}

/* Lets listeners that wait go on, in turn. */
static void
tell_listeners(ClientLimits *limits)
{
    guint count = limits->listeners->len;
    guint first = limits->next_listener;
    guint i;

    for (i = 0; i < count; i++) {
        guint at = (first + i) % count;
        ClientLimits_Listener *listener = g_ptr_array_index(limits->listeners,
                                                            at);
        if (listener->waiting &&
            limits->clients->len < limits->max_connections) {
            listener->waiting = false;
            limits->next_listener = at + 1;
            listener->accept(listener->owner);
        }
    }
    make_room(limits);
}

void
ClientLimits_Leave(ClientLimits_Client *client)
{
    ClientLimits *limits = client->limits;

    limits->bytes -= client->bytes;
    if (client->closing) {
        limits->closing_bytes -= client->bytes;
        limits->closing--;
    }
    g_ptr_array_remove_index_fast(limits->clients, client->index);
    if (client->index < limits->clients->len) {
        client_at(limits, client->index)->index = client->index;
    }
    tell_listeners(limits);
}

void
ClientLimits_SetState(ClientLimits_Client *client, ClientLimits_State state,
                      int64_t now_ms)
{
    client->state = state;
    client->since_ms = now_ms;
    client->limits->now_ms = now_ms;
    if (state == CLIENT_IDLE || state == CLIENT_UNFINISHED) {
        make_room(client->limits);
    }
}

void
ClientLimits_Tick(ClientLimits *limits, int64_t now_ms)
{
    limits->now_ms = now_ms;
    make_room(limits);
}

void
ClientLimits_ExcuseStall(ClientLimits_Client *client, int64_t stall_ms)
{
    client->since_ms += stall_ms;
}

/* ---- metrics ---- */

void
ClientLimits_Print(const ClientLimits *limits, GString *out)
{
    int i;

    g_string_append_printf(out,
                           "levercove_client_bytes %zu\n"
                           "levercove_client_bytes_limit %zu\n"
                           "levercove_client_connections %u\n"
                           "levercove_client_connections_limit %u\n",
                           limits->bytes, limits->max_bytes,
                           limits->clients->len, limits->max_connections);
    for (i = 0; i < CLIENT_LIMIT_COUNT; i++) {
        g_string_append_printf(
            out,
            "levercove_clients_closed{limit=\"%s\"} %" G_GUINT64_FORMAT "\n",
            reason_texts[i], limits->closed[i]);
    }
}
