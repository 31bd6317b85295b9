/**
 * @file store.h
 * @brief A stand-in of the platform's store: compacted topics with appends
 * numbered by producer, snapshots of the newest records, and long-polled
 * reads. It can be busy, silent, slow or lossy.
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

/** How the store behaves: answers; answers 503; answers nothing; answers 400
 * ms late; loses one in three answers. */
enum class StoreFaultMode { Healthy, Busy, Silent, Slow, Lossy, Count };

/** Name for the figures. */
const char *StoreFaultMode_Text(StoreFaultMode mode);

/** The store, as an HTTP server. */
class Store {
  public:
    Store(uv_loop_t *loop, Address address);

    /** Appends a record to the operators' topic. */
    void put(const std::string &key, const std::string &value);
    /** Value of the newest record whose key begins so; empty if there is none.
     */
    std::string find(const std::string &key_prefix) const;
    /** Appends a record to the topic that has one whose key begins so. */
    void append_beside(const std::string &key_prefix, const std::string &key,
                       const std::string &value);
    /** Expires the history of all topics: readers of older offsets get 410 and
     * must read a snapshot. */
    void compact();

    /** Appends a record to a topic. */
    void append(const std::string &topic, const std::string &key,
                const std::string &value);

    /** JSON texts of items that stand before the records of each page of
     * newest records, whatever they are. */
    std::vector<std::string> odd_items;
    /** The same behind the records; they have no keys. */
    std::vector<std::string> odd_last_items;
    size_t page_records = 500; /**< most records of a page */
    StoreFaultMode mode = StoreFaultMode::Healthy;
    int64_t last_fault_ms =
        0; /**< loop time at which it was last not healthy */
    uint64_t calls = 0;

  private:
    struct Record {
        std::string key;
        std::string value;
    };
    struct Topic {
        std::vector<Record> records; /* by offset */
        uint64_t first_offset =
            0; /* offset of the oldest record that can be read */
        std::map<std::string, uint64_t>
            last_sequences; /* last number, by producer */
    };
    struct PendingRead {
        uint64_t request;
        std::string topic;
        uint64_t from;
        int64_t until_ms;
    };

    const Topic *topic_with(const std::string &key_prefix,
                            const Record **newest) const;
    static void serve(void *context, const HttpServer_Request *request);
    static void on_tick(uv_timer_t *timer);
    void serve_newest(const HttpServer_Request *request);
    void serve_append(const HttpServer_Request *request);
    void answer_pending_reads();
    void serve_read(const HttpServer_Request *request);
    bool answer_read(const PendingRead &read);
    void respond(uint64_t request, int status, const std::string &body);

    Http_Server *server;
    uv_loop_t *loop;
    uv_timer_t tick;
    std::map<std::string, Topic> topics;
    std::vector<PendingRead> pending_reads;
};

} // namespace soak

#endif
