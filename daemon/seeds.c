#include "daemon/seeds.h"

#include <glib.h>

#define REREAD_INTERVAL_MS 2000
#define PORT_MASK 0xFFFFU

void
Seeds_Init(Seeds *seeds, const Options *options)
{
    seeds->options = options;
    seeds->read_ms = INT64_MIN / 2;
}

/* Peers listen on the same port on every host: that of this process. */
static Address
peer_at(Address seed, Address own)
{
    return (seed & ~(Address)PORT_MASK) | (own & PORT_MASK);
}

static void
apply_seeds(Peers *peers, const Options *options, int64_t now_ms)
{
    Address list[SETTING_MAX_ADDRESSES];
    uint32_t i;

    for (i = 0; i < options->seeds.count; i++) {
        list[i] = peer_at(options->seeds.list[i], options->rpc);
    }
    Peers_SetSeeds(peers, list, options->seeds.count, now_ms);
}

void
Seeds_Refresh(Seeds *seeds, Peers *peers, int64_t now_ms)
{
    Options fresh;
    char *errors = NULL;

    if (now_ms - seeds->read_ms < REREAD_INTERVAL_MS) {
        return;
    }
    seeds->read_ms = now_ms;
    if (Options_Load(seeds->options->file, &fresh, &errors) == ERR_OK) {
        apply_seeds(peers, &fresh, now_ms);
    }
    g_free(errors);
}
