#include "tests/soak/store.h"

#include <glib.h>
#include <jansson.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace soak {

namespace {

const int64_t TICK_MS = 5;
const char *const OPERATORS_TOPIC = "keyed.op";
const int64_t SLOW_MS = 400;

/* Value of a numeric query parameter, or 0; @p name ends in "=". */
uint64_t
query_number(const char *query, const char *name)
{
    const char *found = strstr(query, name);

    return found == nullptr ? 0 : strtoull(found + strlen(name), nullptr, 10);
}

/* Value of a query parameter, or ""; @p name ends in "=". */
std::string
query_text(const char *query, const char *name)
{
    const char *found = strstr(query, name);

    if (found == nullptr) {
        return "";
    }
    found += strlen(name);
    std::string text;
    for (size_t left = strcspn(found, "&"); left > 0; found++, left--) {
        unsigned byte = (unsigned char)*found;
        if (*found == '%' && left > 2 &&
            sscanf(found + 1, "%2x", &byte) == 1) {
            found += 2;
            left -= 2;
        }
        text.push_back((char)byte);
    }
    return text;
}

uint64_t
read_big_endian(const char *bytes)
{
    uint64_t value = 0;

    for (int i = 0; i < 4; i++) {
        value = value << 8 | (uint8_t)bytes[i];
    }
    return value;
}

void
append_big_endian(std::string &out, uint64_t value, int size)
{
    for (int i = size - 1; i >= 0; i--) {
        out.push_back((char)(value >> (8 * i)));
    }
}

/* An item of a page of newest records. Bytes of the key that JSON does not
 * allow in a string as they are stand there all the same. */
std::string
item_text(const std::string &key, const std::string &value, uint64_t offset)
{
    gchar *encoded = g_base64_encode((const guchar *)value.data(),
                                     value.size());
    std::string text = "{\"key\":\"";

    for (char byte : key) {
        text += byte == '"' || byte == '\\' ? "\\" : "";
        text.push_back(byte);
    }
    text += std::string("\",\"value\":\"") + encoded +
            "\",\"offset\":" + std::to_string(offset) + "}";
    g_free(encoded);
    return text;
}

struct DelayedResponse {
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
    HttpServer_Response response = {};

    response.status = status;
    response.body = body.data();
    response.length = body.size();
    HttpServer_Respond(server, request, &response);
}

void
on_delay_closed(uv_handle_t *handle)
{
    delete (DelayedResponse *)handle->data;
}

void
on_delay_over(uv_timer_t *timer)
{
    DelayedResponse *delayed = (DelayedResponse *)timer->data;

    send(delayed->server, delayed->request, delayed->status, delayed->body);
    uv_close((uv_handle_t *)timer, on_delay_closed);
}

} // namespace

const char *
StoreFaultMode_Text(StoreFaultMode mode)
{
    static const char *const texts[] = {"well", "busy", "silent", "slow",
                                        "lossy"};

    return texts[(int)mode];
}

Store::Store(uv_loop_t *event_loop, Address address) : loop(event_loop)
{
    static const HttpServer_Route routes[] = {{"/", serve},
                                              {nullptr, nullptr}};
    Status status;

    server = HttpServer_New(loop, address, routes, this, &status);
    if (server == nullptr) {
        fprintf(stderr, "store: %s\n", status.message);
        exit(2); /* could not run */
    }
    uv_timer_init(loop, &tick);
    tick.data = this;
    uv_timer_start(&tick, on_tick, TICK_MS, TICK_MS);
}

void
Store::put(const std::string &key, const std::string &value)
{
    topics[OPERATORS_TOPIC].records.push_back({key, value});
    answer_pending_reads();
}

void
Store::append(const std::string &topic, const std::string &key,
              const std::string &value)
{
    topics[topic].records.push_back({key, value});
    answer_pending_reads();
}

const Store::Topic *
Store::topic_with(const std::string &key_prefix, const Record **newest) const
{
    const Topic *found = nullptr;

    for (const auto &pair : topics) {
        for (const Record &record : pair.second.records) {
            if (record.key.compare(0, key_prefix.size(), key_prefix) == 0) {
                found = &pair.second;
                *newest = &record;
            }
        }
    }
    return found;
}

std::string
Store::find(const std::string &key_prefix) const
{
    const Record *newest;

    return topic_with(key_prefix, &newest) == nullptr ? "" : newest->value;
}

void
Store::append_beside(const std::string &key_prefix, const std::string &key,
                     const std::string &value)
{
    const Record *newest;
    const Topic *found = topic_with(key_prefix, &newest);

    for (auto &pair : topics) {
        if (&pair.second == found) {
            pair.second.records.push_back({key, value});
        }
    }
    answer_pending_reads();
}

void
Store::compact()
{
    for (auto &pair : topics) {
        pair.second.first_offset = pair.second.records.size();
    }
}

void
Store::respond(uint64_t request, int status, const std::string &body)
{
    if (mode == StoreFaultMode::Lossy && rand() % 3 == 0) {
        return;
    }
    if (mode == StoreFaultMode::Slow) {
        DelayedResponse *delayed = new DelayedResponse{
            {}, server, request, status, body};
        uv_timer_init(loop, &delayed->timer);
        delayed->timer.data = delayed;
        uv_timer_start(&delayed->timer, on_delay_over, SLOW_MS, 0);
        return;
    }
    send(server, request, status, body);
}

void
Store::serve_newest(const HttpServer_Request *request)
{
    const Topic &topic = topics[query_text(request->query, "topic=")];
    std::string after = query_text(request->query, "depends_on=");
    std::map<std::string, uint64_t> last;
    std::vector<std::string> items = odd_items;
    size_t records = 0;
    bool more = false;
    std::string text;

    for (uint64_t i = 0; i < topic.records.size(); i++) {
        last[topic.records[i].key] = i;
    }
    for (auto &pair : last) {
        const Record &record = topic.records[pair.second];
        if (record.key <= after || record.value.empty()) {
            continue;
        }
        if (records++ == page_records) {
            more = true;
            break;
        }
        items.push_back(item_text(record.key, record.value, pair.second));
    }
    items.insert(items.end(), odd_last_items.begin(), odd_last_items.end());
    for (const std::string &item : items) {
        text += (text.empty() ? "" : ",") + item;
    }
    respond(request->id, 200,
            "{\"items\":[" + text + "],\"more\":" + (more ? "true" : "false") +
                ",\"end\":" + std::to_string(topic.records.size()) + "}");
}

bool
Store::answer_read(const PendingRead &read)
{
    const Topic &topic = topics[read.topic];
    uint64_t end = topic.records.size();
    std::string body;

    if (read.from < topic.first_offset) {
        respond(read.request, 410,
                "{\"first\":" + std::to_string(topic.first_offset) + "}");
        return true;
    }
    if (read.from >= end && (int64_t)uv_now(loop) < read.until_ms) {
        return false;
    }
    append_big_endian(body, end, 8);
    append_big_endian(body, topic.first_offset, 8);
    for (uint64_t i = read.from; i < end; i++) {
        const Record &record = topic.records[i];
        append_big_endian(body, 1 + record.key.size() + record.value.size(),
                          4);
        body.push_back((char)record.key.size());
        body += record.key + record.value;
    }
    respond(read.request, 200, body);
    return true;
}

void
Store::serve_read(const HttpServer_Request *request)
{
    PendingRead read;

    read.request = request->id;
    read.topic = query_text(request->query, "topic=");
    read.from = query_number(request->query, "from=");
    read.until_ms = (int64_t)uv_now(loop) +
                    (int64_t)query_number(request->query, "wait_ms=");
    if (!answer_read(read)) {
        pending_reads.push_back(read);
    }
}

/* Appends all records of a request, once for each number of a producer. */
void
Store::serve_append(const HttpServer_Request *request)
{
    Topic &topic = topics[query_text(request->query, "topic=")];
    bool numbered = strstr(request->query, "producer=") != nullptr;
    uint64_t sequence = query_number(request->query, "&seq=");
    uint64_t &last =
        topic.last_sequences[query_text(request->query, "producer=")];
    size_t position = 0;

    if (!numbered) {
        sequence = last + 1; /* unnumbered: not deduplicated */
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
    while (position + 4 < request->length) {
        size_t size = read_big_endian(request->body + position);
        const char *bytes = request->body + position + 4;
        size_t key = (uint8_t)bytes[0];
        topic.records.push_back(
            {std::string(bytes + 1, key),
             std::string(bytes + 1 + key, size - 1 - key)});
        position += 4 + size;
    }
    respond(request->id, 200, "{\"offset\":0,\"end\":0}");
    answer_pending_reads();
}

void
Store::answer_pending_reads()
{
    std::vector<PendingRead> still_pending;

    if (mode == StoreFaultMode::Silent) {
        return;
    }
    for (const PendingRead &read : pending_reads) {
        if (!answer_read(read)) {
            still_pending.push_back(read);
        }
    }
    pending_reads = still_pending;
}

void
Store::serve(void *context, const HttpServer_Request *request)
{
    Store *self = (Store *)context;

    self->calls++;
    if (self->mode == StoreFaultMode::Silent) {
        return;
    }
    if (self->mode == StoreFaultMode::Busy) {
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

    if (self->mode != StoreFaultMode::Healthy) {
        self->last_fault_ms = (int64_t)uv_now(self->loop);
    }
    self->answer_pending_reads();
}

} // namespace soak
