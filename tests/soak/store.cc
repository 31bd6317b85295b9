#include "tests/soak/store.h"

#include <glib.h>
#include <jansson.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace soak {

namespace {

const int64_t TICK_MS = 5;
const size_t PAGE = 500;
const char *const OPERATORS = "keyed.op";
const int64_t SLOW_MS = 400;

/* Number behind NAME= in a query. */
uint64_t
number_of(const char *query, const char *name)
{
    const char *place = strstr(query, name);

    return place == nullptr ? 0 : strtoull(place + strlen(name), nullptr, 10);
}

/* Text behind NAME= in a query. */
std::string
text_of(const char *query, const char *name)
{
    const char *place = strstr(query, name);

    if (place == nullptr) {
        return "";
    }
    place += strlen(name);
    return std::string(place, strcspn(place, "&"));
}

uint64_t
read_big(const char *bytes)
{
    uint64_t value = 0;

    for (int i = 0; i < 4; i++) {
        value = value << 8 | (uint8_t)bytes[i];
    }
    return value;
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
    topics[OPERATORS].records.push_back({key, value});
    answer_readers();
}

void
Store::compact()
{
    for (auto &pair : topics) {
        pair.second.first = pair.second.records.size();
    }
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
Store::serve_newest(const Http_Request *request)
{
    const Topic &topic = topics[text_of(request->query, "topic=")];
    std::string after = text_of(request->query, "depends_on=");
    std::map<std::string, uint64_t> last;
    json_t *items = json_array();
    bool more = false;
    json_t *body;
    char *text;

    for (uint64_t i = 0; i < topic.records.size(); i++) {
        last[topic.records[i].key] = i;
    }
    for (auto &pair : last) {
        const Record &record = topic.records[pair.second];
        if (record.key <= after || record.value.empty()) {
            continue;
        }
        if (json_array_size(items) == PAGE) {
            more = true;
            break;
        }
        gchar *value = g_base64_encode((const guchar *)record.value.data(),
                                       record.value.size());
        json_array_append_new(items,
                              json_pack("{s:s, s:s, s:I}", "key",
                                        record.key.c_str(), "value", value,
                                        "offset", (json_int_t)pair.second));
        g_free(value);
    }
    body = json_pack("{s:o, s:b, s:I}", "items", items, "more", (int)more,
                     "end", (json_int_t)topic.records.size());
    text = json_dumps(body, JSON_COMPACT);
    respond(request->id, 200, text);
    free(text);
    json_decref(body);
}

bool
Store::answer_read(const Reader &reader)
{
    const Topic &topic = topics[reader.topic];
    uint64_t end = topic.records.size();
    std::string body;

    if (reader.from < topic.first) {
        respond(reader.request, 410,
                "{\"first\":" + std::to_string(topic.first) + "}");
        return true;
    }
    if (reader.from >= end && (int64_t)uv_now(loop) < reader.until_ms) {
        return false;
    }
    append_big(body, end, 8);
    append_big(body, topic.first, 8);
    for (uint64_t i = reader.from; i < end; i++) {
        const Record &record = topic.records[i];
        append_big(body, 1 + record.key.size() + record.value.size(), 4);
        body.push_back((char)record.key.size());
        body += record.key + record.value;
    }
    respond(reader.request, 200, body);
    return true;
}

void
Store::serve_read(const Http_Request *request)
{
    Reader reader;

    reader.request = request->id;
    reader.topic = text_of(request->query, "topic=");
    reader.from = number_of(request->query, "from=");
    reader.until_ms = (int64_t)uv_now(loop) +
                      (int64_t)number_of(request->query, "wait_ms=");
    if (!answer_read(reader)) {
        readers.push_back(reader);
    }
}

/* All or nothing, once for each number of a writer. */
void
Store::serve_append(const Http_Request *request)
{
    Topic &topic = topics[text_of(request->query, "topic=")];
    bool numbered = strstr(request->query, "producer=") != nullptr;
    uint64_t sequence = number_of(request->query, "&seq=");
    uint64_t &last = topic.sequences[text_of(request->query, "producer=")];
    size_t place = 0;

    if (!numbered) {
        sequence = last + 1; /* each copy counts */
    }
    if (sequence <= last) {
        respond(request->id, 200, "{\"offset\":0,\"end\":0}");
        return;
    }
    if (sequence != last + 1) {
        respond(request->id, 409,
                "{\"reason\":\"seq\",\"seq\":" + std::to_string(last + 1) +
                    "}");
        return;
    }
    last = sequence;
    while (place + 4 < request->length) {
        size_t size = read_big(request->body + place);
        const char *bytes = request->body + place + 4;
        size_t key = (uint8_t)bytes[0];
        topic.records.push_back(
            {std::string(bytes + 1, key),
             std::string(bytes + 1 + key, size - 1 - key)});
        place += 4 + size;
    }
    respond(request->id, 200, "{\"offset\":0,\"end\":0}");
    answer_readers();
}

void
Store::answer_readers()
{
    std::vector<Reader> left;

    if (manner == StoreManner::Silent) {
        return;
    }
    for (const Reader &reader : readers) {
        if (!answer_read(reader)) {
            left.push_back(reader);
        }
    }
    readers = left;
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
        self->serve_newest(request);
    }
    else if (strcmp(request->path, "/log-read") == 0) {
        self->serve_read(request);
    }
    else if (strcmp(request->path, "/log-append") == 0) {
        self->serve_append(request);
    }
    else {
        send(self->server, request->id, 404, "{}");
    }
}

void
Store::on_tick(uv_timer_t *timer)
{
    Store *self = (Store *)timer->data;

    if (self->manner != StoreManner::Well) {
        self->troubled_ms = (int64_t)uv_now(self->loop);
    }
    self->answer_readers();
}

} // namespace soak
