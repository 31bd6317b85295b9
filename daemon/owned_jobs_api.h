/**
 * @file owned_jobs_api.h
 * @brief The callers' HTTP interface to owned jobs: `POST /v1/jobs` and
 * `GET /v1/jobs/{key}`.
 */
#ifndef LC_DAEMON_OWNED_JOBS_API_H
#define LC_DAEMON_OWNED_JOBS_API_H

#include "core/entry.h"
#include "daemon/http_server.h"

/** Parses a job and submits it to the entry, which answers later through
 * OwnedJobsApi_Answer; a malformed job is rejected at once. */
void OwnedJobsApi_Post(Http_Server *server, Entry *entry, Node_Time now,
                       const HttpServer_Request *request);

/** Queries the state of a job by its key; answered like OwnedJobsApi_Post. */
void OwnedJobsApi_Get(Http_Server *server, Entry *entry, Node_Time now,
                      const HttpServer_Request *request);

/** Sends the entry's answer to the caller. */
void OwnedJobsApi_Answer(Http_Server *server, uint64_t request,
                         const Node_Answer *answer);

#endif
