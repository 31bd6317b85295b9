#include "base/client_limits.h"

#include "base/event.h"

struct ClientLimits {
    size_t max_bytes;
    GPtrArray *clients;
    size_t bytes;         /* of all clients */
    size_t closing_bytes; /* of those that are being closed */
    uint64_t closed[CLIENT_LIMIT_COUNT];
};

static const char *const reason_texts[] = {
#define X(name, text) text,
    CLIENT_LIMIT_LIST(X)
#undef X
};

ClientLimits *
ClientLimits_New(size_t max_bytes)
{
    ClientLimits *limits = g_new0(ClientLimits, 1);

    limits->max_bytes = max_bytes;
    limits->clients = g_ptr_array_new();
    return limits;
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
    if (limits->bytes > 2 * limits->max_bytes) {
        ClientLimits_Close(client, CLIENT_LIMIT_BYTES);
    }
}

/* ---- connections ---- */

void
ClientLimits_Join(ClientLimits *limits, ClientLimits_Client *client)
{
    client->limits = limits;
    client->index = limits->clients->len;
    client->bytes = 0;
    client->closing = false;
    g_ptr_array_add(limits->clients, client);
}

void
ClientLimits_Leave(ClientLimits_Client *client)
{
    ClientLimits *limits = client->limits;

    limits->bytes -= client->bytes;
    if (client->closing) {
        limits->closing_bytes -= client->bytes;
    }
    g_ptr_array_remove_index_fast(limits->clients, client->index);
    if (client->index < limits->clients->len) {
        client_at(limits, client->index)->index = client->index;
    }
}

/* ---- metrics ---- */

void
ClientLimits_Print(const ClientLimits *limits, GString *out)
{
    int i;

    g_string_append_printf(out,
                           "levercove_client_bytes %zu\n"
                           "levercove_client_bytes_limit %zu\n"
                           "levercove_client_connections %u\n",
                           limits->bytes, limits->max_bytes,
                           limits->clients->len);
    for (i = 0; i < CLIENT_LIMIT_COUNT; i++) {
        g_string_append_printf(
            out,
            "levercove_clients_closed{limit=\"%s\"} %" G_GUINT64_FORMAT "\n",
            reason_texts[i], limits->closed[i]);
    }
}
