#include "daemon/table_api.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

static void
respond_json(Http_Server *server, uint64_t id, json_t *body, uint64_t version)
{
    char *text = json_dumps(body, JSON_COMPACT);
    char etag[32];
    HttpServer_Response response = {
        .status = 200, .body = text, .length = strlen(text)};

    if (version != 0) {
        g_snprintf(etag, sizeof(etag), "\"%" G_GUINT64_FORMAT "\"", version);
        response.etag = etag;
    }
    HttpServer_Respond(server, id, &response);
    free(text);
    json_decref(body);
}

void
TableApi_ServeAll(Http_Server *server, Entry *entry,
                  const HttpServer_Request *request)
{
    GPtrArray *rows;
    json_t *list;
    guint i;

    if (strcmp(request->method, "GET") != 0) {
        HttpServer_RespondError(server, request->id, ERR_METHOD, "use GET", 0);
        return;
    }
    rows = GroupTable_SortedRows(Entry_GroupTable(entry), false);
    list = json_array();
    for (i = 0; i < rows->len; i++) {
        const GroupTable_Row *row = g_ptr_array_index(rows, i);
        json_t *item = GroupTable_RowToJson(row);
        json_object_set_new(item, "version",
                            json_integer((json_int_t)row->version));
        json_array_append_new(list, item);
    }
    respond_json(server, request->id, json_pack("{s:o}", "groups", list), 0);
    g_ptr_array_unref(rows);
}

static void
serve_get(Http_Server *server, Entry *entry, const HttpServer_Request *request)
{
    const GroupTable_Row *row = GroupTable_Find(Entry_GroupTable(entry),
                                                request->rest);
    json_t *body;

    if (row == NULL) {
        HttpServer_RespondError(server, request->id, ERR_NOT_FOUND,
                                "no such group", 0);
        return;
    }
    body = GroupTable_RowToJson(row);
    json_object_set_new(body, "version",
                        json_integer((json_int_t)row->version));
    respond_json(server, request->id, body, row->version);
}

/* Reads the version that an edit is based on: that of If-Match, or of the
 * tombstone (0 if there is none) for a new row. */
static Err_Kind
read_base(Entry *entry, const HttpServer_Request *request, uint64_t *base,
          Status *status)
{
    const GroupTable *table = Entry_GroupTable(entry);
    const char *text = request->if_match;
    char *end;

    if (text == NULL) {
        if (GroupTable_Find(table, request->rest) != NULL) {
            return Err_Set(status, ERR_NEED_MATCH,
                           "the group exists: send its ETag as If-Match");
        }
        /* A new row succeeds the tombstone, if there is one. */
        *base = GroupTable_Version(table, request->rest);
        return ERR_OK;
    }
    *base = strtoull(text + (text[0] == '"'), &end, 10);
    if (*base == 0 || (*end != '"' && *end != '\0')) {
        return Err_Set(status, ERR_BAD_REQUEST,
                       "If-Match: expected the ETag of the row");
    }
    return ERR_OK;
}

static Err_Kind
read_row(const HttpServer_Request *request, GroupTable_Row *row,
         Status *status)
{
    json_error_t error;
    json_t *body = json_loadb(request->body, request->length,
                              JSON_REJECT_DUPLICATES, &error);
    Err_Kind kind;

    if (body == NULL) {
        return Err_Set(status, ERR_BAD_JSON, "line %d, column %d: %s",
                       error.line, error.column, error.text);
    }
    kind = GroupTable_RowFromJson(request->rest, body, row, status);
    json_decref(body);
    return kind;
}

static void
serve_edit(Http_Server *server, Entry *entry, Node_Time now,
           const HttpServer_Request *request, bool is_delete)
{
    Status status = {ERR_OK, ""};
    GroupTable_Row row;
    uint64_t base = 0;

    if (!GroupTable_IsValidName(request->rest)) {
        Err_Set(&status, ERR_BAD_REQUEST,
                "group: expected 1 to 64 of [A-Za-z0-9._-]");
    }
    else if (is_delete &&
             GroupTable_Find(Entry_GroupTable(entry), request->rest) == NULL) {
        Err_Set(&status, ERR_NOT_FOUND, "no such group");
    }
    else if (!is_delete) {
        read_row(request, &row, &status);
    }
    if (status.kind == ERR_OK) {
        read_base(entry, request, &base, &status);
    }
    if (status.kind != ERR_OK) {
        HttpServer_RespondError(server, request->id, status.kind,
                                status.message, 0);
        return;
    }
    Entry_Edit(entry, now, request->id, request->rest, base,
               is_delete ? NULL : &row);
}

void
TableApi_ServeRow(Http_Server *server, Entry *entry, Node_Time now,
                  const HttpServer_Request *request)
{
    if (strcmp(request->method, "GET") == 0) {
        serve_get(server, entry, request);
    }
    else if (strcmp(request->method, "PUT") == 0) {
        serve_edit(server, entry, now, request, false);
    }
    else if (strcmp(request->method, "DELETE") == 0) {
        serve_edit(server, entry, now, request, true);
    }
    else {
        HttpServer_RespondError(server, request->id, ERR_METHOD,
                                "use GET, PUT or DELETE", 0);
    }
}

void
TableApi_Edited(Http_Server *server, uint64_t request, const Status *status,
                uint64_t version)
{
    if (status->kind != ERR_OK) {
        HttpServer_RespondError(server, request, status->kind, status->message,
                                Err_HasRetryAfter(status->kind) ? 1000 : 0);
        return;
    }
    respond_json(server, request,
                 json_pack("{s:s, s:I}", "outcome", "accepted", "version",
                           (json_int_t)version),
                 version);
}
