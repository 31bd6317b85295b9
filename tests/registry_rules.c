/* When the registry of entries is read, and which entry writes and deletes
 * records. */
#include <glib.h>

#include "lease/entry_registry.h"
#include "tests/test_table.h"

#define SELF 100
#define OTHER 200
#define THIRD 300
#define START_MS 1000

typedef struct {
    EntryRegistry registry;
    Peers peers;
    Address gone;
} fixture;

static void
begin(fixture *f, Address self)
{
    Peers_Init(&f->peers, self == 0 ? 1 : self);
    EntryRegistry_Init(&f->registry, self, START_MS);
    f->gone = 0;
}

static void
end(fixture *f)
{
    EntryRegistry_Clear(&f->registry);
    Peers_Clear(&f->peers);
}

static EntryRegistry_Step
next(fixture *f, int64_t now_ms)
{
    return EntryRegistry_Next(&f->registry, now_ms, &f->peers, &f->gone);
}

/* The registry holds the first `count` of these entries. */
static void
answer(fixture *f, int64_t now_ms, const Address *entries, guint count)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(Peers_RegistryRecord));
    guint i;

    for (i = 0; i < count; i++) {
        Peers_RegistryRecord named = {entries[i], "own"};
        g_array_append_val(list, named);
    }
    EntryRegistry_OnRead(&f->registry, now_ms, list, &f->peers);
    g_array_unref(list);
}

static const Address all_entries[] = {SELF, OTHER, THIRD};

static void
test_read_at_once(void)
{
    fixture f;

    begin(&f, SELF);
    g_assert_cmpint(next(&f, START_MS), ==, ENTRY_REGISTRY_READ);
    g_assert_cmpint(next(&f, START_MS + 5000), ==, ENTRY_REGISTRY_WAIT);
    end(&f);
}

static void
test_entries_are_named(void)
{
    fixture f;

    begin(&f, SELF);
    next(&f, START_MS);
    answer(&f, START_MS, all_entries, 3);
    g_assert_nonnull(Peers_Find(&f.peers, OTHER));
    g_assert_nonnull(Peers_Find(&f.peers, THIRD));
    g_assert_cmpuint(f.peers.rows->len, ==, 2);
    end(&f);
}

static void
test_failed_read_backs_off(void)
{
    static const int64_t delays[] = {100, 200, 400, 800, 1600, 2000, 2000};
    int64_t now_ms = START_MS;
    fixture f;
    size_t i;

    begin(&f, SELF);
    next(&f, now_ms);
    for (i = 0; i < G_N_ELEMENTS(delays); i++) {
        EntryRegistry_OnRead(&f.registry, now_ms, NULL, &f.peers);
        g_assert_cmpint(next(&f, now_ms + delays[i] - 1), ==,
                        ENTRY_REGISTRY_WAIT);
        now_ms += delays[i];
        g_assert_cmpint(next(&f, now_ms), ==, ENTRY_REGISTRY_READ);
    }
    end(&f);
}

static void
test_missing_record_is_written(void)
{
    fixture f;

    begin(&f, SELF);
    next(&f, START_MS);
    answer(&f, START_MS, &all_entries[1], 2);
    g_assert_cmpint(next(&f, START_MS), ==, ENTRY_REGISTRY_WRITE);
    EntryRegistry_OnWritten(&f.registry, START_MS, true);
    g_assert_cmpint(next(&f, START_MS), ==, ENTRY_REGISTRY_WAIT);
    end(&f);
}

static void
test_unconfirmed_write_is_checked(void)
{
    fixture f;

    begin(&f, SELF);
    next(&f, START_MS);
    answer(&f, START_MS, &all_entries[1], 2);
    next(&f, START_MS);
    EntryRegistry_OnWritten(&f.registry, START_MS, false);
    g_assert_cmpint(next(&f, START_MS + 100), ==, ENTRY_REGISTRY_READ);
    answer(&f, START_MS + 100, &all_entries[1], 2);
    g_assert_cmpint(next(&f, START_MS + 100), ==, ENTRY_REGISTRY_WRITE);
    end(&f);
}

static void
test_existing_record_is_not_written(void)
{
    fixture f;

    begin(&f, SELF);
    next(&f, START_MS);
    answer(&f, START_MS, all_entries, 3);
    g_assert_cmpint(next(&f, START_MS), ==, ENTRY_REGISTRY_WAIT);
    end(&f);
}

static void
test_isolated_reads_again(void)
{
    fixture f;

    begin(&f, 0);
    next(&f, START_MS);
    answer(&f, START_MS, all_entries, 3);
    g_assert_cmpint(next(&f, START_MS + 999), ==, ENTRY_REGISTRY_WAIT);
    g_assert_cmpint(next(&f, START_MS + 1000), ==, ENTRY_REGISTRY_READ);
    end(&f);
}

/* A companion with live peers learns of other entries from them. */
static void
test_reader_with_live_peers_stops(void)
{
    fixture f;

    begin(&f, 0);
    next(&f, START_MS);
    answer(&f, START_MS, all_entries, 3);
    Peers_MarkAlive(&f.peers, OTHER, START_MS + 500);
    g_assert_cmpint(next(&f, START_MS + 5000), ==, ENTRY_REGISTRY_WAIT);
    g_assert_cmpint(next(&f, START_MS + 9000), ==, ENTRY_REGISTRY_READ);
    answer(&f, START_MS + 9000, NULL, 0);
    g_assert_cmpint(next(&f, START_MS + 9001), ==, ENTRY_REGISTRY_WAIT);
    end(&f);
}

static void
test_entry_checks_record_periodically(void)
{
    fixture f;

    begin(&f, SELF);
    next(&f, START_MS);
    Peers_MarkAlive(&f.peers, OTHER, START_MS);
    answer(&f, START_MS, all_entries, 3);
    Peers_MarkAlive(&f.peers, OTHER, START_MS + 29000);
    g_assert_cmpint(next(&f, START_MS + 29999), ==, ENTRY_REGISTRY_WAIT);
    g_assert_cmpint(next(&f, START_MS + 30000), ==, ENTRY_REGISTRY_READ);
    end(&f);
}

/* Reads the registry every 30 s. OTHER (SELF if that is the reader) sends
 * messages all the time, THIRD only one, after `heard_ms` (0 for none).
 * Returns ENTRY_REGISTRY_DELETE as soon as a record is to be deleted, else
 * ENTRY_REGISTRY_WAIT after `until_ms`. */
static EntryRegistry_Step
run_with_silent_entry(fixture *f, Address self, int64_t heard_ms,
                      int64_t until_ms)
{
    Address speaker = self == OTHER ? SELF : OTHER;
    int64_t now_ms;

    begin(f, self);
    for (now_ms = START_MS; now_ms <= until_ms; now_ms += 1000) {
        Peers_MarkAlive(&f->peers, speaker, now_ms);
        if (heard_ms != 0 && now_ms == START_MS + heard_ms) {
            Peers_MarkAlive(&f->peers, THIRD, now_ms);
        }
        switch (next(f, now_ms)) {
        case ENTRY_REGISTRY_READ:
            answer(f, now_ms, all_entries, 3);
            break;
        case ENTRY_REGISTRY_DELETE:
            return ENTRY_REGISTRY_DELETE;
        default:
            break;
        }
    }
    return ENTRY_REGISTRY_WAIT;
}

static void
test_gone_record_is_deleted(void)
{
    fixture f;

    /* In ring order 100, not 200, is the successor of 300. */
    g_assert_cmpint(run_with_silent_entry(&f, SELF, 0, START_MS + 59000), ==,
                    ENTRY_REGISTRY_WAIT);
    end(&f);
    g_assert_cmpint(run_with_silent_entry(&f, SELF, 0, START_MS + 60000), ==,
                    ENTRY_REGISTRY_DELETE);
    g_assert_cmpuint(f.gone, ==, THIRD);
    end(&f);
}

static void
test_one_entry_deletes(void)
{
    fixture f;

    g_assert_cmpint(run_with_silent_entry(&f, OTHER, 0, START_MS + 100000), ==,
                    ENTRY_REGISTRY_WAIT);
    end(&f);
}

static void
test_heard_entry_is_not_deleted(void)
{
    fixture f;

    g_assert_cmpint(run_with_silent_entry(&f, SELF, 59000, START_MS + 100000),
                    ==, ENTRY_REGISTRY_WAIT);
    end(&f);
}

static void
test_isolated_entry_deletes_nothing(void)
{
    fixture f;
    int64_t now_ms;

    begin(&f, SELF);
    for (now_ms = START_MS; now_ms <= START_MS + 100000; now_ms += 1000) {
        EntryRegistry_Step step = next(&f, now_ms);
        g_assert_cmpint(step, !=, ENTRY_REGISTRY_DELETE);
        if (step == ENTRY_REGISTRY_READ) {
            answer(&f, now_ms, all_entries, 3);
        }
    }
    end(&f);
}

static const TestTable_Row rules[] = {
    {"/registry/is read at start", test_read_at_once},
    {"/registry/names all entries", test_entries_are_named},
    {"/registry/a failed read is retried with back-off",
     test_failed_read_backs_off},
    {"/registry/an entry writes its record if it is missing",
     test_missing_record_is_written},
    {"/registry/an unconfirmed write is checked",
     test_unconfirmed_write_is_checked},
    {"/registry/an existing record is not written again",
     test_existing_record_is_not_written},
    {"/registry/an isolated process reads again", test_isolated_reads_again},
    {"/registry/a companion with live peers stops reading",
     test_reader_with_live_peers_stops},
    {"/registry/an entry checks its record periodically",
     test_entry_checks_record_periodically},
    {"/registry/the record of an entry that is gone is deleted",
     test_gone_record_is_deleted},
    {"/registry/only one entry deletes it", test_one_entry_deletes},
    {"/registry/the record of a heard entry is not deleted",
     test_heard_entry_is_not_deleted},
    {"/registry/an isolated entry deletes nothing",
     test_isolated_entry_deletes_nothing},
};

int
main(int argc, char **argv)
{
    return TestTable_Main(argc, argv, rules, G_N_ELEMENTS(rules));
}
