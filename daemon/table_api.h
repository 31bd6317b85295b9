/**
 * @file table_api.h
 * @brief The operators' HTTP interface to the group table:
 * `GET /v1/table`, and `GET`, `PUT` and `DELETE /v1/table/groups/{name}` with
 * ETag and If-Match.
 */
#ifndef LC_DAEMON_TABLE_API_H
#define LC_DAEMON_TABLE_API_H

#include "core/entry.h"
#include "daemon/http_server.h"

/** Serves the whole table as JSON. */
void TableApi_ServeAll(Http_Server *server, Entry *entry,
                       const HttpServer_Request *request);

/** Serves one row. Edits are answered later, through TableApi_Edited. */
void TableApi_ServeRow(Http_Server *server, Entry *entry, Node_Time now,
                       const HttpServer_Request *request);

/** Answers an edit with its result: an error, or the row's new version. */
void TableApi_Edited(Http_Server *server, uint64_t request,
                     const Status *status, uint64_t version);

#endif
