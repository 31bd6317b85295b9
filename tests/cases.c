/* Runs the cases in tests/cases of the modules for jobs owned by key. */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/idempotency_key.h"
#include "cli/table_csv.h"
#include "core/group.h"
#include "core/replica.h"
#include "core/slot_arbiter.h"
#include "daemon/options.h"
#include "tests/case_table.h"
#include "wire/msg.h"

static void
run_key(const char *input, GString *output)
{
    char **lines = CaseTable_Lines(input);
    char text[KEY_TEXT_LENGTH + 1];
    Key key;
    guint i;

    for (i = 0; lines[i] != NULL; i++) {
        if (!Key_Parse(lines[i], &key)) {
            g_string_append(output, "refused\n");
            continue;
        }
        Key_Format(&key, text);
        g_string_append_printf(output, "%s minted at %lld\n", text,
                               (long long)Key_CreatedMs(&key));
    }
    g_strfreev(lines);
}

static char *
write_temporary(const char *text)
{
    char *name = NULL;
    int fd = g_file_open_tmp("levercove-XXXXXX", &name, NULL);

    g_assert_cmpint(fd, >=, 0);
    g_assert_cmpint(write(fd, text, strlen(text)), ==, (ssize_t)strlen(text));
    close(fd);
    return name;
}

static void
run_settings(const char *input, GString *output)
{
    char *file = write_temporary(input);
    char *errors;
    Options options;

    if (Options_Load(file, &options, &errors) == ERR_OK) {
        g_string_append_printf(output, "accepted: %s in %s\n", options.role,
                               options.hall);
    }
    else {
        g_string_append(output, errors);
        g_string_replace(output, file, "FILE", 0);
    }
    unlink(file);
    g_free(errors);
    g_free(file);
}

static const char *const replica_result_texts[] = {
    [REPLICA_ALREADY_APPLIED] = "old",
    [REPLICA_GAP] = "gap",
    [REPLICA_SKIPPED] = "skipped",
    [REPLICA_VIEW] = "view",
    [REPLICA_VIEW_REFUSED] = "view refused",
    [REPLICA_EDIT] = "edit",
    [REPLICA_EDIT_REFUSED] = "edit refused",
    [REPLICA_SNAPSHOT] = "snapshot",
    [REPLICA_LOADED] = "loaded",
};

static void
describe_replica(const Replica *replica, GString *output)
{
    const View *view = Replica_View(replica);
    GPtrArray *rows = GroupTable_SortedRows(Replica_GroupTable(replica), true);
    guint i;

    g_string_append_printf(output, "next %llu%s",
                           (unsigned long long)Replica_NextOffset(replica),
                           Replica_IsSynced(replica) ? "" : ", out of step");
    for (i = 0; i < view->members->len; i++) {
        const View_Member *member = &g_array_index(view->members, View_Member,
                                                   i);
        g_string_append_printf(output, ", %s%s",
                               Address_Text(member->node.address),
                               member->leaving ? " leaving" : "");
    }
    for (i = 0; i < rows->len; i++) {
        const GroupTable_Row *row = g_ptr_array_index(rows, i);
        g_string_append_printf(output, ", %s", row->group);
        if (row->present) {
            g_string_append_printf(output, " weight %lld",
                                   (long long)row->weight);
        }
        else {
            g_string_append(output, " deleted");
        }
    }
    g_string_append_c(output, '\n');
    g_ptr_array_unref(rows);
}

/* Input lines: "OFFSET RECORD" applies a log record, "expired FIRST" expires
 * the records before FIRST, "snapshot OFFSET" applies a snapshot of
 * the current state. */
static void
run_replica(const char *input, GString *output)
{
    Replica *replica = Replica_New(600000);
    char **lines = CaseTable_Lines(input);
    guint i;

    for (i = 0; lines[i] != NULL; i++) {
        Status status = {ERR_OK, ""};
        char *space = strchr(lines[i], ' ');
        uint64_t offset = strtoull(lines[i], NULL, 10);
        char *snapshot_record = NULL;
        const char *text = space + 1;
        Replica_Result result;
        if (g_str_has_prefix(lines[i], "expired ")) {
            Replica_OnRecordsExpired(replica, strtoull(text, NULL, 10));
            continue;
        }
        if (g_str_has_prefix(lines[i], "snapshot ")) {
            offset = strtoull(text, NULL, 10);
            snapshot_record = Replica_EncodeSnapshot(replica);
            text = snapshot_record;
        }
        result = Replica_Apply(replica, offset, text, &status);
        g_string_append(output, replica_result_texts[result]);
        if (status.message[0] != '\0' && result != REPLICA_EDIT &&
            result != REPLICA_VIEW && result != REPLICA_SNAPSHOT &&
            result != REPLICA_LOADED) {
            g_string_append_printf(output, ": %s", status.message);
        }
        g_string_append_c(output, '\n');
        free(snapshot_record);
    }
    describe_replica(replica, output);
    g_strfreev(lines);
    Replica_Free(replica);
}

static void
run_csv(const char *input, GString *output)
{
    char *errors;
    GArray *rows = TableCsv_Read(input, &errors);
    guint i;

    g_string_append(output, errors);
    for (i = 0; rows != NULL && i < rows->len; i++) {
        json_t *value = GroupTable_RowToJson(
            &g_array_index(rows, GroupTable_Row, i));
        char *text = json_dumps(value, JSON_COMPACT);
        g_string_append_printf(output, "%s\n", text);
        free(text);
        json_decref(value);
    }
    if (rows != NULL) {
        g_array_unref(rows);
    }
    g_free(errors);
}

static GByteArray *
decode_hex(const char *text)
{
    GByteArray *bytes = g_byte_array_new();

    for (; *text != '\0'; text++) {
        if (g_ascii_isxdigit(text[0]) && g_ascii_isxdigit(text[1])) {
            guint8 byte = (guint8)(g_ascii_xdigit_value(text[0]) << 4 |
                                   g_ascii_xdigit_value(text[1]));
            g_byte_array_append(bytes, &byte, 1);
            text++;
        }
    }
    return bytes;
}

/* Each input line is one RPC record in hexadecimal, without its mark. */
static void
run_rpc(const char *input, GString *output)
{
    static const char *const texts[] = {
        [MSG_IS_CALL] = "call",           [MSG_IS_NULL] = "null",
        [MSG_IS_REPLY] = "reply",         [MSG_IS_DENIED] = "denied",
        [MSG_IS_INVALID_CALL] = "refuse", [MSG_IS_NOT_RPC] = "junk",
    };
    char **lines = CaseTable_Lines(input);
    guint i;

    for (i = 0; lines[i] != NULL; i++) {
        GByteArray *bytes = decode_hex(lines[i]);
        Msg_Record record;
        Msg_Decode(bytes->data, bytes->len, &record);
        g_string_append(output, texts[record.type]);
        if (record.type == MSG_IS_CALL) {
            g_string_append_printf(output, " %s", Msg_Name(record.call.kind));
            Msg_FreeCall(&record.call);
        }
        else if (record.type == MSG_IS_INVALID_CALL) {
            g_string_append_printf(output, " with %d", (int)record.refusal);
        }
        g_string_append_c(output, '\n');
        g_byte_array_unref(bytes);
    }
    g_strfreev(lines);
}

static lc_node
node_at_address(const char *number)
{
    lc_node node = {strtoull(number, NULL, 10), 1};

    return node;
}

/*
 * Input lines: "demand ENTRY GROUP N", "take ENTRY GROUP [GRANT]", "release
 * GROUP MS", "offer", "decline GRANT", "lapse MS" (expires grants), "free".
 */
static void
run_arbiter_line(SlotArbiter *arbiter, const GroupTable *table, char **words,
                 GString *output)
{
    lc_demand demand;
    SlotArbiter_Grant grant;
    lc_node entry;

    if (strcmp(words[0], "demand") == 0) {
        entry = node_at_address(words[1]);
        demand.group = words[2];
        demand.waiting = (u_int)atoi(words[3]);
        SlotArbiter_SetDemand(arbiter, &entry, &demand, 1);
    }
    else if (strcmp(words[0], "take") == 0) {
        entry = node_at_address(words[1]);
        g_string_append(
            output, SlotArbiter_Acquire(
                        arbiter, &entry,
                        words[3] == NULL ? 0 : strtoull(words[3], NULL, 10),
                        words[2], table)
                        ? "taken\n"
                        : "refused\n");
    }
    else if (strcmp(words[0], "release") == 0) {
        SlotArbiter_Release(arbiter, words[1], atoi(words[2]), table);
    }
    else if (strcmp(words[0], "offer") == 0) {
        if (SlotArbiter_GrantFreeSlot(arbiter, 0, &grant)) {
            g_string_append_printf(output, "grant %llu to %llu for %s\n",
                                   (unsigned long long)grant.id,
                                   (unsigned long long)grant.entry.address,
                                   grant.group);
        }
        else {
            g_string_append(output, "nothing\n");
        }
    }
    else if (strcmp(words[0], "decline") == 0) {
        SlotArbiter_OnDecline(arbiter, strtoull(words[1], NULL, 10));
    }
    else if (strcmp(words[0], "lapse") == 0) {
        g_string_append_printf(
            output, "%u lapsed\n",
            SlotArbiter_ExpireGrants(arbiter, atoi(words[1])));
    }
    else {
        g_string_append_printf(output, "%u free\n",
                               SlotArbiter_FreeSlots(arbiter));
    }
}

static void
run_arbiter(const char *input, GString *output)
{
    SlotArbiter *arbiter = SlotArbiter_New(2, 100, 1);
    GroupTable *table = GroupTable_New();
    char **lines = CaseTable_Lines(input);
    GroupTable_Row row;
    guint i;

    memset(&row, 0, sizeof(row));
    row.present = true;
    row.weight = 3;
    g_strlcpy(row.group, "heavy", sizeof(row.group));
    GroupTable_Put(table, &row);
    for (i = 0; lines[i] != NULL; i++) {
        char **words = g_strsplit(lines[i], " ", 0);
        run_arbiter_line(arbiter, table, words, output);
        g_strfreev(words);
    }
    g_strfreev(lines);
    GroupTable_Free(table);
    SlotArbiter_Free(arbiter);
}

static bool
allow_group(Group *group, void *context)
{
    (void)group;
    (void)context;
    return true;
}

static void
queue_job(Groups *groups, Ledger *ledger, char **words, uint8_t number)
{
    Key key = Key_Create(1, 0, number);
    Job *job = Ledger_Add(ledger, &key);

    job->group = g_intern_string(words[1]);
    Job_SetTotal(job, (uint32_t)atoi(words[2]));
    job->arrived_ms = atoi(words[3]);
    job->message = g_intern_string(words[4]);
    Groups_Enqueue(groups, job);
}

/*
 * Input lines: "order NAME" comes first, then "weight GROUP N", "job GROUP
 * TASKS ARRIVED NAME", "send MS" (sends one task) and "end GROUP MS" (ends the
 * task sent last, of a job of GROUP).
 */
static void
run_group(const char *input, GString *output)
{
    Ledger *ledger = Ledger_New(100, 1000);
    Groups *groups = NULL;
    char **lines = CaseTable_Lines(input);
    Job *last = NULL;
    guint i;

    for (i = 0; lines[i] != NULL; i++) {
        char **words = g_strsplit(lines[i], " ", 0);
        if (strcmp(words[0], "order") == 0) {
            groups = Groups_New(Group_OrderFromText(words[1]));
        }
        else if (strcmp(words[0], "weight") == 0) {
            Groups_Get(groups, words[1])->weight = (uint32_t)atoi(words[2]);
        }
        else if (strcmp(words[0], "job") == 0) {
            queue_job(groups, ledger, words, (uint8_t)(i + 1));
        }
        else if (strcmp(words[0], "send") == 0) {
            Group *group = Groups_Choose(groups, allow_group, NULL);
            if (group == NULL) {
                g_string_append(output, "nothing\n");
            }
            else {
                last = Groups_ChooseJob(groups, group, atoi(words[1]));
                last->tasks[Job_NextWaiting(last)].state = TASK_SENT;
                Groups_TaskSent(groups, last);
                g_string_append_printf(output, "%s %s\n", group->name,
                                       last->message);
            }
        }
        else {
            Groups_TaskEnded(groups, last, atoi(words[1]));
        }
        g_strfreev(words);
    }
    g_strfreev(lines);
    Groups_Free(groups);
    Ledger_Free(ledger);
}

static const CaseTable_Kind kinds[] = {
    {"key", run_key},      {"settings", run_settings},
    {"fold", run_replica}, {"csv", run_csv},
    {"rpc", run_rpc},      {"arbiter", run_arbiter},
    {"group", run_group},  {NULL, NULL},
};

int
main(int argc, char **argv)
{
    return CaseTable_Main(argc, argv, kinds);
}
