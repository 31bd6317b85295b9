#include "daemon/registry_sync.h"

#include "base/event.h"
#include "daemon/process.h"

static void
on_read(void *context, const GArray *entries)
{
    Registry_Sync *registry = context;

    EntryRegistry_OnRead(&registry->state, Process_Now().mono_ms, entries,
                         registry->peers);
    if (entries != NULL && registry->on_entries != NULL) {
        registry->on_entries(registry->context);
    }
}

static void
on_written(void *context, bool confirmed)
{
    Registry_Sync *registry = context;

    EntryRegistry_OnWritten(&registry->state, Process_Now().mono_ms,
                            confirmed);
}

static const RegistryClient_Ports ports = {.read = on_read,
                                           .written = on_written};

void
RegistrySync_Open(Registry_Sync *registry, uv_loop_t *loop, Address self,
                  Address store, const char *hall, Peers *peers)
{
    registry->peers = peers;
    registry->hall = hall;
    EntryRegistry_Init(&registry->state, self, Process_Now().mono_ms);
    if (store != 0) {
        registry->client = RegistryClient_New(HttpClient_New(loop), store,
                                              &ports, registry);
    }
}

void
RegistrySync_Tick(Registry_Sync *registry, int64_t now_ms)
{
    Address expired = 0;

    if (registry->client == NULL) {
        return;
    }
    switch (EntryRegistry_Next(&registry->state, now_ms, registry->peers,
                               &expired)) {
    case ENTRY_REGISTRY_WAIT:
        break;
    case ENTRY_REGISTRY_READ:
        RegistryClient_Read(registry->client);
        break;
    case ENTRY_REGISTRY_WRITE:
        RegistryClient_Write(registry->client, registry->state.self,
                             registry->hall);
        break;
    case ENTRY_REGISTRY_DELETE:
        Event_Log(EVENT_PEER_DROPPED, "%s", Address_Text(expired));
        RegistryClient_Delete(registry->client, expired);
        break;
    }
}
