/**
 * @file jobs_api.h
 * @brief The callers' interface: `POST /v1/jobs` and `GET /v1/jobs/{key}`.
 */
#ifndef LC_DAEMON_JOBS_API_H
#define LC_DAEMON_JOBS_API_H

#include "core/entry.h"
#include "daemon/http_server.h"

/** Takes a job and hands it to the entry, which answers later. */
void JobsApi_Post(Http_Server *server, Entry *entry, Node_Time now,
                  const Http_Request *request);

/** Looks for a job by its key. */
void JobsApi_Get(Http_Server *server, Entry *entry, Node_Time now,
                 const Http_Request *request);

/** Writes the entry's answer to the caller. */
void JobsApi_Answer(Http_Server *server, uint64_t request,
                    const Node_Answer *answer);

#endif
