#include "tests/soak/store.h"

#include <glib.h>
#include <jansson.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace soak {

namespace {

const int64_t TICK_MS = 20;
const int64_t SLOW_MS = 400;

/* Number behind NAME= in a query. */
uint64_t
number_of(const char *query, const char *name)
{
    const char *place = strstr(query, name);

    return place == nullptr ? 0 : strtoull(place + strlen(name), nullptr, 10);
}

void
append_big(std::string &out, uint64_t value, int size)
{
    for (int i = size - 1; i >= 0; i--) {
        out.push_back((char)(value >> (8 * i)));
    }
}

struct Later {
    uv_timer_t timer;
    Http_Server *server;
    uint64_t request;
    int status;
    std::string body;
};

void
send(Http_Server *server, uint64_t request, int status,
     const std::string &body)
{
    Http_Response response = {};

    response.status = status;
    response.body = body.data();
    response.length = body.size();
    Http_Respond(server, request, &response);
}

void
on_later_closed(uv_handle_t *handle)
{
    delete (Later *)handle->data;
}

void
on_later(uv_timer_t *timer)
{
    Later *later = (Later *)timer->data;

    send(later->server, later->request, later->status, later->body);
    uv_close((uv_handle_t *)timer, on_later_closed);
}

} // namespace

const char *
StoreManner_Text(StoreManner manner)
{
    static const char *const texts[] = {"well", "busy", "silent", "slow",
                                        "lossy"};

    return texts[(int)manner];
}

Store::Store(uv_loop_t *on, Address address) : loop(on)
{
    static const Http_Route routes[] = {{"/", serve}, {nullptr, nullptr}};
    Status status;

    server = Http_NewServer(loop, address, routes, this, &status);
    if (server == nullptr) {
        fprintf(stderr, "store: %s\n", status.message);
        exit(1);
    }
    uv_timer_init(loop, &tick);
    tick.data = this;
    uv_timer_start(&tick, on_tick, TICK_MS, TICK_MS);
}

void
Store::put(const std::string &key, const std::string &value)
{
    records.push_back({end++, key, value});
}

void
Store::compact()
{
    first = end;
}

void
Store::respond(uint64_t request, int status, const std::string &body)
{
    if (manner == StoreManner::Lossy && rand() % 3 == 0) {
        return;
    }
    if (manner == StoreManner::Slow) {
        Later *later = new Later{{}, server, request, status, body};
        uv_timer_init(loop, &later->timer);
        later->timer.data = later;
        uv_timer_start(&later->timer, on_later, SLOW_MS, 0);
        return;
    }
    send(server, request, status, body);
}

void
Store::serve_newest(uint64_t request)
{
    json_t *items = json_array();
    json_t *body;
    char *text;

    for (size_t i = 0; i < records.size(); i++) {
        bool newest = true;
        for (size_t j = i + 1; j < records.size(); j++) {
            newest &= records[j].key != records[i].key;
        }
        if (newest) {
            gchar *value = g_base64_encode(
                (const guchar *)records[i].value.data(),
                records[i].value.size());
            json_array_append_new(
                items, json_pack("{s:s, s:s, s:I}", "key",
                                 records[i].key.c_str(), "value", value,
                                 "offset", (json_int_t)records[i].offset));
            g_free(value);
        }
    }
    body = json_pack("{s:o, s:b, s:I}", "items", items, "more", 0, "end",
                     (json_int_t)end);
    text = json_dumps(body, JSON_COMPACT);
    respond(request, 200, text);
    free(text);
    json_decref(body);
}

bool
Store::answer_read(const Reader &reader)
{
    std::string body;

    if (reader.from < first) {
        respond(reader.request, 410,
                "{\"first\":" + std::to_string(first) + "}");
        return true;
    }
    if (reader.from >= end && (int64_t)uv_now(loop) < reader.until_ms) {
        return false;
    }
    append_big(body, end, 8);
    append_big(body, first, 8);
    for (const Record &record : records) {
        if (record.offset >= reader.from) {
            append_big(body, 1 + record.key.size() + record.value.size(), 4);
            body.push_back((char)record.key.size());
            body += record.key + record.value;
        }
    }
    respond(reader.request, 200, body);
    return true;
}

void
Store::serve_read(const Http_Request *request)
{
    Reader reader;

    reader.request = request->id;
    reader.from = number_of(request->query, "from=");
    reader.until_ms = (int64_t)uv_now(loop) +
                      (int64_t)number_of(request->query, "wait_ms=");
    if (!answer_read(reader)) {
        readers.push_back(reader);
    }
}

void
Store::serve(void *context, const Http_Request *request)
{
    Store *self = (Store *)context;

    self->calls++;
    if (self->manner == StoreManner::Silent) {
        return;
    }
    if (self->manner == StoreManner::Busy) {
        send(self->server, request->id, 503, "{}");
    }
    else if (strcmp(request->path, "/log-newest") == 0) {
        self->serve_newest(request->id);
    }
    else if (strcmp(request->path, "/log-read") == 0) {
        self->serve_read(request);
    }
    else {
        send(self->server, request->id, 404, "{}");
    }
}

void
Store::on_tick(uv_timer_t *timer)
{
    Store *self = (Store *)timer->data;
    std::vector<Reader> left;

    if (self->manner == StoreManner::Silent) {
        return;
    }
    for (const Reader &reader : self->readers) {
        if (!self->answer_read(reader)) {
            left.push_back(reader);
        }
    }
    self->readers = left;
}

} // namespace soak
