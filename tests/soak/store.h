/**
 * @file store.h
 * @brief A stand-in of the platform's store: topics whose newest record of
 * each key stays, appended to under a writer's number, read whole and
 * followed. It may be down, silent, slow or lossy.
 */
#ifndef LC_TESTS_SOAK_STORE_H
#define LC_TESTS_SOAK_STORE_H

#include <uv.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "daemon/http_server.h"
}

namespace soak {

/** How the store behaves. */
enum class StoreManner { Well, Busy, Silent, Slow, Lossy, Count };

/** For people. */
const char *StoreManner_Text(StoreManner manner);

/** The store. */
class Store {
  public:
    Store(uv_loop_t *loop, Address address);

    /** Writes the newest record of a key of the operators. */
    void put(const std::string &key, const std::string &value);
    /** Drops older records: who follows must read anew. */
    void compact();

    StoreManner manner = StoreManner::Well;
    int64_t troubled_ms = 0; /**< when it was last not well */
    uint64_t calls = 0;

  private:
    struct Record {
        std::string key;
        std::string value;
    };
    struct Topic {
        std::vector<Record> records;               /* by offset */
        uint64_t first = 0;                        /* older ones are gone */
        std::map<std::string, uint64_t> sequences; /* by writer */
    };
    struct Reader {
        uint64_t request;
        std::string topic;
        uint64_t from;
        int64_t until_ms;
    };

    static void serve(void *context, const Http_Request *request);
    static void on_tick(uv_timer_t *timer);
    void serve_newest(const Http_Request *request);
    void serve_append(const Http_Request *request);
    void answer_readers();
    void serve_read(const Http_Request *request);
    bool answer_read(const Reader &reader);
    void respond(uint64_t request, int status, const std::string &body);

    Http_Server *server;
    uv_loop_t *loop;
    uv_timer_t tick;
    std::map<std::string, Topic> topics;
    std::vector<Reader> readers;
};

} // namespace soak

#endif
