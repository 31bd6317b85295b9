// Stand-ins for the review: the platform's store, minions, clients, and the
// processes of the project. Written from PROTOCOL.md and DEPLOY.md. Header
// only; each case is one program. Loopback addresses and the real clock only.
#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace stand {

using std::string;

// ---- time and record ----

inline int64_t clock_ms(clockid_t id = CLOCK_MONOTONIC)
{
    timespec t;
    clock_gettime(id, &t);
    return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

inline int64_t &begin_ms()
{
    static int64_t begin = clock_ms();
    return begin;
}

inline int64_t now() { return clock_ms() - begin_ms(); }

inline void sleep_ms(int64_t ms)
{
    if (ms > 0) {
        usleep((useconds_t)(ms * 1000));
    }
}

inline FILE *&record_file()
{
    static FILE *file = stdout;
    return file;
}

inline void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
inline void record(const char *format, ...)
{
    static std::mutex lock;
    char text[2000];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    std::lock_guard<std::mutex> hold(lock);
    fprintf(record_file(), "%7.3f %s\n", (double)now() / 1000.0, text);
    fflush(record_file());
}

// ---- HTTP ----

struct Request {
    string method, path, query, body;
    std::map<string, string> headers; // lower case names
    string header(const string &name) const
    {
        auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
    string param(const string &name) const
    {
        size_t at = 0;
        while (at < query.size()) {
            size_t end = query.find('&', at);
            if (end == string::npos) {
                end = query.size();
            }
            string part = query.substr(at, end - at);
            size_t eq = part.find('=');
            if (eq != string::npos && part.substr(0, eq) == name) {
                return part.substr(eq + 1);
            }
            at = end + 1;
        }
        return "";
    }
    int64_t number(const string &name, int64_t otherwise = 0) const
    {
        string text = param(name);
        return text.empty() ? otherwise : strtoll(text.c_str(), nullptr, 10);
    }
};

struct Response {
    int status = 200;
    string body = "{}";
    bool silent = false; // no answer on this connection
};

inline sockaddr_in address_of(const string &ip, int port)
{
    sockaddr_in a;
    memset(&a, 0, sizeof(a));
    a.sin_family = AF_INET;
    a.sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
    return a;
}

inline bool read_more(int fd, string &buffer, int64_t until)
{
    char bytes[65536];
    pollfd p = {fd, POLLIN, 0};
    int64_t left = until - clock_ms();
    if (left <= 0 || poll(&p, 1, (int)left) <= 0) {
        return false;
    }
    ssize_t n = read(fd, bytes, sizeof(bytes));
    if (n <= 0) {
        return false;
    }
    buffer.append(bytes, (size_t)n);
    return true;
}

inline bool write_all(int fd, const string &text)
{
    size_t at = 0;
    while (at < text.size()) {
        ssize_t n = send(fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        at += (size_t)n;
    }
    return true;
}

// Reads a head and a body by Content-Length; `first` gets the first line.
inline bool read_message(int fd, string &buffer, int64_t until, string &first,
                         std::map<string, string> &headers, string &body)
{
    size_t head;
    while ((head = buffer.find("\r\n\r\n")) == string::npos) {
        if (!read_more(fd, buffer, until)) {
            return false;
        }
    }
    headers.clear();
    size_t at = buffer.find("\r\n");
    first = buffer.substr(0, at);
    while (at < head) {
        size_t start = at + 2;
        size_t end = buffer.find("\r\n", start);
        string line = buffer.substr(start, end - start);
        size_t colon = line.find(':');
        if (colon != string::npos) {
            string name = line.substr(0, colon);
            for (char &c : name) {
                c = (char)tolower(c);
            }
            size_t v = line.find_first_not_of(' ', colon + 1);
            headers[name] = v == string::npos ? "" : line.substr(v);
        }
        at = end;
    }
    size_t length = 0;
    if (headers.count("content-length")) {
        length = strtoul(headers["content-length"].c_str(), nullptr, 10);
    }
    while (buffer.size() < head + 4 + length) {
        if (!read_more(fd, buffer, until)) {
            return false;
        }
    }
    body = buffer.substr(head + 4, length);
    buffer.erase(0, head + 4 + length);
    return true;
}

class Server {
  public:
    std::function<Response(const Request &)> handler;

    bool open(const string &ip, int port)
    {
        int one = 1;
        sockaddr_in a = address_of(ip, port);
        fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        if (bind(fd, (sockaddr *)&a, sizeof(a)) != 0 || listen(fd, 256) != 0) {
            return false;
        }
        std::thread([this, listener = fd] { accept_all(listener); }).detach();
        return true;
    }

    // Connections are refused and reset from now on, until it is opened again.
    void stop()
    {
        std::lock_guard<std::mutex> hold(lock);
        shutdown(fd, SHUT_RDWR);
        close(fd);
        for (int c : connections) {
            linger reset = {1, 0};
            setsockopt(c, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            shutdown(c, SHUT_RDWR);
        }
    }

  private:
    void accept_all(int listener)
    {
        for (;;) {
            int c = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (c < 0) {
                if (errno == EINVAL || errno == EBADF) {
                    return;
                }
                usleep(1000);
                continue;
            }
            {
                std::lock_guard<std::mutex> hold(lock);
                connections.insert(c);
            }
            int one = 1;
            setsockopt(c, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            std::thread([this, c] { serve(c); }).detach();
        }
    }

    void serve(int c)
    {
        string buffer, first;
        for (;;) {
            Request request;
            if (!read_message(c, buffer, clock_ms() + 300000, first,
                              request.headers, request.body)) {
                break;
            }
            size_t space = first.find(' ');
            size_t second = first.find(' ', space + 1);
            string target = first.substr(space + 1, second - space - 1);
            request.method = first.substr(0, space);
            size_t mark = target.find('?');
            request.path = target.substr(0, mark);
            request.query = mark == string::npos ? "" : target.substr(mark + 1);
            Response response = handler(request);
            if (response.silent) {
                continue;
            }
            string text = "HTTP/1.1 " + std::to_string(response.status) +
                          " S\r\nContent-Type: application/json\r\n"
                          "Content-Length: " +
                          std::to_string(response.body.size()) + "\r\n\r\n" +
                          response.body;
            if (!write_all(c, text)) {
                break;
            }
        }
        std::lock_guard<std::mutex> hold(lock);
        connections.erase(c);
        close(c);
    }

    int fd = -1;
    std::mutex lock;
    std::set<int> connections;
};

struct Reply {
    int status = 0; // 0: no answer
    string body;
};

inline Reply call(const string &ip, int port, const string &method,
                  const string &path, const string &host, const string &body,
                  int64_t timeout_ms, const string &extra = "")
{
    Reply reply;
    int64_t until = clock_ms() + timeout_ms;
    sockaddr_in a = address_of(ip, port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval tv = {(time_t)(timeout_ms / 1000),
                  (suseconds_t)(timeout_ms % 1000 * 1000)};
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
    if (connect(fd, (sockaddr *)&a, sizeof(a)) == 0) {
        string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                      "\r\nContent-Type: application/json\r\nConnection: "
                      "close\r\n" +
                      extra + "Content-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body;
        string buffer, first;
        std::map<string, string> headers;
        if (write_all(fd, text) &&
            read_message(fd, buffer, until, first, headers, reply.body)) {
            reply.status = atoi(first.c_str() + 9);
        }
    }
    close(fd);
    return reply;
}

// ---- the platform's store: the log and its keyed topics ----

class Store {
  public:
    struct Record {
        string key, value;
        int64_t at;
    };
    int64_t answer_ms = 4;   // "4 ms an answer"
    int64_t keep_ms = 20000; // "20 s of history"
    std::atomic<bool> down{false}; // answers 503, nothing is done

    bool open(const string &ip, int port)
    {
        server.handler = [this](const Request &r) { return serve(r); };
        return server.open(ip, port);
    }

    // What the operator writes; the return is the acknowledgement.
    void put(const string &topic, const string &key, const string &value)
    {
        std::lock_guard<std::mutex> hold(lock);
        topics[topic].records.push_back({key, value, now()});
        changed.notify_all();
    }

  private:
    struct Producer {
        int64_t epoch = -1;
        int64_t last = -1;
        std::deque<std::pair<int64_t, string>> answers;
    };
    struct Topic {
        std::vector<Record> records;
        size_t first = 0;
        std::map<string, Producer> producers;
    };

    static void number(string &out, uint64_t value, int size)
    {
        for (int i = size - 1; i >= 0; i--) {
            out.push_back((char)(value >> (8 * i)));
        }
    }

    void expire(Topic &topic)
    {
        while (topic.first < topic.records.size() &&
               topic.records[topic.first].at < now() - keep_ms) {
            topic.first++;
        }
    }

    Response serve(const Request &r)
    {
        Response response;
        sleep_ms(answer_ms);
        if (down) {
            response.status = 503;
        }
        else if (r.path == "/log-append") {
            append(r, response);
        }
        else if (r.path == "/log-read") {
            read(r, response);
        }
        else if (r.path == "/log-newest") {
            newest(r, response);
        }
        else if (r.path == "/log-trim") {
            std::lock_guard<std::mutex> hold(lock);
            Topic &topic = topics[r.param("topic")];
            topic.first = std::max(topic.first, (size_t)r.number("before"));
        }
        else {
            response.status = 404;
        }
        return response;
    }

    void append(const Request &r, Response &response)
    {
        std::lock_guard<std::mutex> hold(lock);
        Topic &topic = topics[r.param("topic")];
        std::vector<Record> fresh;
        size_t at = 0;
        while (at + 4 <= r.body.size()) {
            size_t size = 0;
            for (int i = 0; i < 4; i++) {
                size = size << 8 | (uint8_t)r.body[at + (size_t)i];
            }
            if (size < 1 || size > 262144 || at + 4 + size > r.body.size()) {
                response.status = 400;
                return;
            }
            size_t key = (uint8_t)r.body[at + 4];
            fresh.push_back({r.body.substr(at + 5, key),
                             r.body.substr(at + 5 + key, size - 1 - key),
                             now()});
            at += 4 + size;
        }
        string name = r.param("producer");
        int64_t epoch = r.number("epoch"), seq = r.number("seq");
        if (!r.param("at").empty() &&
            (size_t)r.number("at") != topic.records.size()) {
            response.status = 412;
            response.body = "{\"end\":" + std::to_string(topic.records.size()) + "}";
            return;
        }
        if (!name.empty()) {
            Producer &p = topic.producers[name];
            if (epoch < p.epoch) {
                response.status = 409;
                response.body = "{\"reason\":\"fenced\"}";
                return;
            }
            if (epoch == p.epoch && seq != p.last + 1) {
                for (auto &known : p.answers) {
                    if (known.first == seq) {
                        response.body = known.second;
                        return;
                    }
                }
                response.status = 409;
                response.body = "{\"reason\":\"seq\",\"seq\":" +
                                std::to_string(p.last + 1) + "}";
                return;
            }
            if (epoch > p.epoch) {
                p.answers.clear();
            }
            p.epoch = epoch;
            p.last = seq;
        }
        string text = "{\"offset\":" + std::to_string(topic.records.size());
        for (Record &record : fresh) {
            topic.records.push_back(record);
        }
        text += ",\"end\":" + std::to_string(topic.records.size()) + "}";
        if (!name.empty()) {
            Producer &p = topic.producers[name];
            p.answers.push_back({seq, text});
            if (p.answers.size() > 5) {
                p.answers.pop_front();
            }
        }
        response.body = text;
        changed.notify_all();
    }

    void read(const Request &r, Response &response)
    {
        std::unique_lock<std::mutex> hold(lock);
        string name = r.param("topic");
        size_t from = (size_t)r.number("from");
        int64_t until = now() + std::min<int64_t>(r.number("wait_ms"), 30000);
        size_t most = (size_t)r.number("max_kb", 1024) * 1024;
        while (from >= topics[name].records.size() && now() < until && !down) {
            changed.wait_for(hold, std::chrono::milliseconds(until - now()));
        }
        Topic &topic = topics[name];
        expire(topic);
        if (from < topic.first) {
            response.status = 410;
            response.body = "{\"first\":" + std::to_string(topic.first) + "}";
            return;
        }
        response.body.clear();
        number(response.body, topic.records.size(), 8);
        number(response.body, topic.first, 8);
        for (size_t i = from; i < topic.records.size(); i++) {
            const Record &record = topic.records[i];
            size_t size = 1 + record.key.size() + record.value.size();
            if (i > from && response.body.size() + size > most) {
                break;
            }
            number(response.body, size, 4);
            response.body.push_back((char)record.key.size());
            response.body += record.key + record.value;
        }
    }

    static string base64(const string &in)
    {
        static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmno"
                                    "pqrstuvwxyz0123456789+/";
        string out;
        for (size_t i = 0; i < in.size(); i += 3) {
            uint32_t v = (uint32_t)(uint8_t)in[i] << 16;
            v |= i + 1 < in.size() ? (uint32_t)(uint8_t)in[i + 1] << 8 : 0;
            v |= i + 2 < in.size() ? (uint32_t)(uint8_t)in[i + 2] : 0;
            out.push_back(digits[v >> 18 & 63]);
            out.push_back(digits[v >> 12 & 63]);
            out.push_back(i + 1 < in.size() ? digits[v >> 6 & 63] : '=');
            out.push_back(i + 2 < in.size() ? digits[v & 63] : '=');
        }
        return out;
    }

    void newest(const Request &r, Response &response)
    {
        std::lock_guard<std::mutex> hold(lock);
        Topic &topic = topics[r.param("topic")];
        string after = r.param("depends_on");
        std::map<string, size_t> last;
        json_t *items = json_array();
        bool more = false;
        for (size_t i = 0; i < topic.records.size(); i++) {
            last[topic.records[i].key] = i;
        }
        for (auto &pair : last) {
            const Record &record = topic.records[pair.second];
            if (record.value.empty() || (!after.empty() && pair.first <= after)) {
                continue;
            }
            if (json_array_size(items) == 500) {
                more = true;
                break;
            }
            json_array_append_new(
                items, json_pack("{s:s#,s:s,s:I}", "key", record.key.data(),
                                 (int)record.key.size(), "value",
                                 base64(record.value).c_str(), "offset",
                                 (json_int_t)pair.second));
        }
        json_t *body = json_pack("{s:o,s:b,s:I}", "items", items, "more",
                                 (int)more, "end",
                                 (json_int_t)topic.records.size());
        char *text = json_dumps(body, JSON_COMPACT);
        response.body = text;
        free(text);
        json_decref(body);
    }

    Server server;
    std::mutex lock;
    std::condition_variable changed;
    std::map<string, Topic> topics;
};

// ---- runs, as minions see them ----

struct Run {
    string minion, task, spec;
    int run = 0;
    int64_t started = 0, ended = 0, noted = 0; // 0: not yet
    string how;
    bool lapsed = false; // the minion's lease lapsed before the end was noted
};

class History {
  public:
    std::mutex lock;
    std::vector<Run> runs;

    size_t start(const string &minion, const string &task, int run, const string &spec)
    {
        std::lock_guard<std::mutex> hold(lock);
        Run r;
        r.minion = minion;
        r.task = task;
        r.run = run;
        r.spec = spec;
        r.started = std::max<int64_t>(now(), 1);
        runs.push_back(r);
        record("minion %s starts %s run %d", minion.c_str(), task.c_str(), run);
        return runs.size() - 1;
    }
    void end(size_t i, const string &how)
    {
        std::lock_guard<std::mutex> hold(lock);
        runs[i].ended = now();
        runs[i].how = how;
        record("minion %s ends %s run %d: %s", runs[i].minion.c_str(),
               runs[i].task.c_str(), runs[i].run, how.c_str());
    }
    void lapse(size_t i)
    {
        std::lock_guard<std::mutex> hold(lock);
        runs[i].lapsed = true;
    }
    // An end that is let go of after the minion's lease has lapsed in between
    // does not count as taken note of (rule TWICE).
    void note(size_t i)
    {
        std::lock_guard<std::mutex> hold(lock);
        runs[i].noted = runs[i].lapsed ? 0 : now();
        record("minion %s: last_seen reaches the end of %s run %d (%s)%s",
               runs[i].minion.c_str(), runs[i].task.c_str(), runs[i].run,
               runs[i].how.c_str(),
               runs[i].lapsed ? ", but its lease had lapsed in between" : "");
    }
    std::vector<Run> of(const string &prefix)
    {
        std::lock_guard<std::mutex> hold(lock);
        std::vector<Run> list;
        for (const Run &r : runs) {
            if (r.task.compare(0, prefix.size(), prefix) == 0) {
                list.push_back(r);
            }
        }
        return list;
    }
};

// ---- a minion ----

class Minion {
  public:
    string id, ip, companion_ip, service, zone;
    int port = 0, control = 0;
    int cpu = 16000, mem = 65536;
    std::vector<string> labels;
    History *history = nullptr;
    bool tells_born = false;
    int64_t heartbeat_ms = 1500, hold_max_ms = 1000, stop_ms = 25;
    // ms of work of a run, and whether it fails at its end; -1: it lasts
    std::function<int64_t(const string &task, int run, const string &spec)> work;
    std::function<bool(const string &task, int run)> fails;

    bool open()
    {
        server.handler = [this](const Request &r) { return serve(r); };
        if (!server.open(ip, port)) {
            return false;
        }
        std::thread([this] {
            for (;;) {
                sleep_ms(2);
                tick();
            }
        }).detach();
        std::thread([this] { beat_all(); }).detach();
        return true;
    }

    // The minion is gone for good (srv_crash gone): nothing answers.
    void go()
    {
        std::lock_guard<std::mutex> hold(lock);
        up = false;
        record("minion %s is lost", id.c_str());
        for (auto &pair : running) {
            history->end(pair.second.index, "crashed");
        }
        running.clear();
        changed.notify_all();
    }

    // Crashes; a new life comes after `down_ms`, under a new id, or under the
    // same one with another `born`.
    void crash(int64_t down_ms, bool same_id, bool refuses = false)
    {
        go();
        if (refuses) {
            server.stop();
        }
        std::thread([this, down_ms, same_id, refuses] {
            sleep_ms(down_ms);
            if (refuses && !server.open(ip, port)) {
                record("minion %s cannot listen again", id.c_str());
                return;
            }
            std::lock_guard<std::mutex> hold(lock);
            lives++;
            if (!same_id) {
                id += "x";
            }
            born = clock_ms(CLOCK_REALTIME);
            token = deadline = last_end = beats = 0;
            ended_up_to.clear();
            ends.clear();
            clock_offset = same_id ? 1000 - now() : clock_offset - 1000 * lives;
            up = true;
            record("minion %s is up again", id.c_str());
            std::thread([this] { beat_all(); }).detach();
        }).detach();
    }

    // Asked for each start that comes; if true, it gets no answer and is kept,
    // to be carried out late by execute_kept().
    std::function<bool(const string &task)> keeps;

    // Carries out the first start that was kept, unless the life refuses it.
    bool execute_kept()
    {
        std::lock_guard<std::mutex> hold(lock);
        json_t *body = json_loads(kept_body.c_str(), 0, nullptr);
        int64_t sent = json_integer_value(json_object_get(body, "fencing_token"));
        bool refused = body == nullptr || !up || kept_instance != id || sent < token;
        if (!refused) {
            token = sent;
            const char *task = json_string_value(json_object_get(body, "task"));
            refused = start(body, task, (int)json_integer_value(json_object_get(body, "run"))).status != 200;
        }
        json_decref(body);
        record("minion %s carries out a start late: %s", id.c_str(), refused ? "refused" : "started");
        return !refused;
    }

    // Fails a task at work now.
    bool fail(const string &task)
    {
        std::lock_guard<std::mutex> hold(lock);
        auto found = running.find(task);
        if (found == running.end()) {
            return false;
        }
        finish(task, "failed");
        return true;
    }

  private:
    struct Active {
        int run;
        size_t index;
        int64_t began, work, stop_at;
    };
    struct End {
        int64_t number;
        string task;
        int run;
        string how;
        size_t index;
    };

    int64_t own_clock() const { return now() + clock_offset; }

    string born_field() const
    {
        return tells_born ? ",\"born\":" + std::to_string(born) : "";
    }

    // The lock is held.
    void finish(const string &task, const string &how)
    {
        Active a = running[task];
        running.erase(task);
        int &top = ended_up_to[task];
        top = std::max(top, a.run);
        ends.push_back({++last_end, task, a.run, how, a.index});
        history->end(a.index, how);
        changed.notify_all();
    }

    void tick()
    {
        std::lock_guard<std::mutex> hold(lock);
        if (!up) {
            return;
        }
        std::vector<std::pair<string, string>> over;
        bool lapsed = own_clock() >= deadline;
        for (auto &pair : running) {
            const Active &a = pair.second;
            if (a.stop_at != 0 && now() >= a.stop_at) {
                over.push_back({pair.first, "stopped"});
            }
            else if (lapsed) {
                over.push_back({pair.first, "lapsed"});
            }
            else if (a.work >= 0 && now() - a.began >= a.work) {
                bool bad = fails && fails(pair.first, a.run);
                over.push_back({pair.first, bad ? "failed" : "done"});
            }
        }
        for (auto &pair : over) {
            finish(pair.first, pair.second);
        }
        for (const End &end : ends) {
            if (lapsed) {
                history->lapse(end.index);
            }
        }
    }

    // Takes a new end of the lease; it never shortens, and a longer one is cut.
    void extend(const json_t *body)
    {
        json_t *value = json_object_get(body, "deadline_ms");
        if (json_is_number(value)) {
            int64_t asked = (int64_t)json_number_value(value);
            deadline = std::max(deadline,
                                std::min(asked, own_clock() + hold_max_ms));
        }
    }

    string answer(const string &extra = "")
    {
        return "{\"clock_ms\":" + std::to_string(own_clock()) + extra + born_field() + "}";
    }

    Response refuse(const char *reason)
    {
        Response r;
        r.status = 409;
        r.body = answer(string(",\"reason\":\"") + reason + "\"");
        return r;
    }

    Response serve(const Request &r)
    {
        Response response;
        std::unique_lock<std::mutex> hold(lock);
        if (!up) {
            response.silent = true;
            return response;
        }
        if (r.path == "/health") {
            return response;
        }
        string expected = r.header("x-expect-instance");
        if (!expected.empty() && expected != id) {
            response.status = 421;
            response.body = answer();
            return response;
        }
        json_t *body = json_loadb(r.body.data(), r.body.size(), 0, nullptr);
        if (body == nullptr) {
            response.status = 400;
            response.body = answer();
            return response;
        }
        int64_t sent = json_integer_value(json_object_get(body, "fencing_token"));
        if (sent < token) {
            json_decref(body);
            return refuse("fence");
        }
        token = sent;
        const char *text = json_string_value(json_object_get(body, "task"));
        string task = text == nullptr ? "" : text;
        int run = (int)json_integer_value(json_object_get(body, "run"));
        if (r.path == "/run-start" && keeps && keeps(task)) {
            if (kept_body.empty()) {
                kept_body = r.body;
                kept_instance = expected;
            }
            response.silent = true;
        }
        else if (r.path == "/run-start") {
            response = start(body, task, run);
        }
        else if (r.path == "/run-stop") {
            auto found = running.find(task);
            int &top = ended_up_to[task];
            if (found != running.end() && found->second.run <= run) {
                if (found->second.stop_at == 0) {
                    record("minion %s is told to stop %s run %d", id.c_str(),
                           task.c_str(), run);
                    found->second.stop_at = now() + stop_ms;
                }
            }
            top = std::max(top, run);
            response.body = answer();
        }
        else if (r.path == "/hold") {
            response = serve_hold(hold, body);
        }
        else {
            response.status = 404;
        }
        json_decref(body);
        return response;
    }

    Response start(const json_t *body, const string &task, int run)
    {
        Response response;
        auto found = running.find(task);
        const char *spec = json_string_value(json_object_get(body, "spec"));
        json_t *until = json_object_get(body, "deadline_ms");
        if (found != running.end() && found->second.run == run) {
            extend(body);
            response.body = answer();
            return response;
        }
        if (ended_up_to.count(task) && run <= ended_up_to[task]) {
            extend(body);
            return refuse("old");
        }
        if (json_is_number(until) &&
            (int64_t)json_number_value(until) <= own_clock()) {
            return refuse("late");
        }
        extend(body);
        string key = task;
        if (found != running.end()) { // a second run beside the first
            key = task + "#" + std::to_string(run);
        }
        Active a;
        a.run = run;
        a.index = history->start(id, task, run, spec == nullptr ? "" : spec);
        a.began = now();
        a.stop_at = 0;
        a.work = work ? work(task, run, spec == nullptr ? "" : spec) : 100;
        running[key] = a;
        response.body = answer();
        return response;
    }

    Response serve_hold(std::unique_lock<std::mutex> &hold, const json_t *body)
    {
        Response response;
        int64_t seen = json_integer_value(json_object_get(body, "last_seen"));
        int64_t wait = json_integer_value(json_object_get(body, "wait_ms"));
        int64_t until = now() + std::min<int64_t>(wait, 2000);
        extend(body);
        while (!ends.empty() && ends.front().number <= seen) {
            history->note(ends.front().index);
            ends.pop_front();
        }
        while (ends.empty() && now() < until && up) {
            changed.wait_for(hold, std::chrono::milliseconds(until - now()));
        }
        if (!up) {
            response.silent = true;
            return response;
        }
        string extra = ",\"running\":[";
        bool first = true;
        for (auto &pair : running) {
            const Active &a = pair.second;
            int64_t percent = a.work <= 0 ? 100 : (now() - a.began) * 100 / a.work;
            string task = pair.first.substr(0, pair.first.find('#'));
            extra += string(first ? "" : ",") + "[\"" + task + "\"," +
                     std::to_string(a.run) + ",\"\"," +
                     std::to_string(std::min<int64_t>(percent, 100)) + "]";
            first = false;
        }
        extra += "],\"ended\":[";
        first = true;
        size_t count = 0;
        for (const End &e : ends) {
            if (count++ == 500) {
                break;
            }
            extra += string(first ? "" : ",") + "[" + std::to_string(e.number) +
                     ",\"" + e.task.substr(0, e.task.find('#')) + "\"," +
                     std::to_string(e.run) + ",\"" + e.how + "\",\"\"]";
            first = false;
        }
        response.body = answer(extra + "]");
        return response;
    }

    void beat_all()
    {
        int64_t life = lives;
        for (;;) {
            string body;
            {
                std::lock_guard<std::mutex> hold(lock);
                if (!up || life != lives) {
                    return;
                }
                string list;
                for (const string &label : labels) {
                    list += string(list.empty() ? "" : ",") + "\"" + label + "\"";
                }
                body = "{\"service\":\"" + service + "\",\"address\":\"" + ip +
                       ":" + std::to_string(port) + "\",\"zone\":\"" + zone +
                       "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
                       "\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":" +
                       std::to_string(cpu) + ",\"mem_mb\":" +
                       std::to_string(mem) + ",\"gpu\":0},\"labels\":[" + list +
                       "],\"clock_ms\":" + std::to_string(own_clock()) +
                       ",\"seq\":" + std::to_string(++beats) + born_field() + "}";
            }
            Reply reply = call(companion_ip, control, "POST",
                               "/instances/" + id + "/heartbeat", companion_ip,
                               body, 1000);
            // With no acknowledgement it tries again soon.
            sleep_ms(reply.status / 100 == 2 ? heartbeat_ms : 200);
        }
    }

    Server server;
    std::mutex lock;
    std::condition_variable changed;
    bool up = true;
    int64_t born = clock_ms(CLOCK_REALTIME), clock_offset = 400000, lives = 0;
    int64_t token = 0, deadline = 0, last_end = 0, beats = 0;
    std::map<string, Active> running;
    std::map<string, int> ended_up_to;
    std::deque<End> ends;
    string kept_body, kept_instance;
};

// ---- processes of the project ----

class Process {
  public:
    string name, program, settings, log;

    void start()
    {
        int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        string config = "LEVERCOVE_CONFIG=" + settings;
        string path = string("PATH=") + (getenv("PATH") == nullptr ? "" : getenv("PATH"));
        char *args[] = {(char *)program.c_str(), (char *)settings.c_str(), nullptr};
        char *environment[] = {(char *)config.c_str(), (char *)path.c_str(), nullptr};
        pid = fork();
        if (pid == 0) { // only calls that are safe beside other threads
            prctl(PR_SET_PDEATHSIG, SIGKILL); // it never outlives the case
            dup2(out, 1);
            dup2(out, 2);
            execve(args[0], args, environment);
            _exit(127);
        }
        close(out);
        started = now();
        record("process %s starts, pid %d", name.c_str(), (int)pid);
    }
    bool alive()
    {
        int status;
        if (pid <= 0) {
            return false;
        }
        if (waitpid(pid, &status, WNOHANG) == pid) {
            record("process %s has ended (%s %d)", name.c_str(),
                   WIFSIGNALED(status) ? "signal" : "code",
                   WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
            pid = 0;
            return false;
        }
        return true;
    }
    void signal(int number)
    {
        if (alive()) {
            record("process %s gets signal %d", name.c_str(), number);
            ::kill(pid, number);
        }
    }
    // Ends it with SIGKILL and waits for that.
    void kill()
    {
        signal(SIGKILL);
        while (alive()) {
            sleep_ms(2);
        }
    }
    pid_t pid = 0;
    int64_t started = 0;
};

// ---- a small deployment ----

class Cluster {
  public:
    string folder, prefix, root;
    int base = 0; // ports are the same on all machines
    Store store;
    History history;
    std::vector<std::unique_ptr<Process>> entries, companions;
    std::vector<std::unique_ptr<Minion>> minions;

    string entry_ip(int i) const { return prefix + std::to_string(10 + i); }
    string side_ip(int i) const { return prefix + std::to_string(100 + i); }
    string store_ip() const { return prefix + "7"; }
    enum { FRONT, READY, CONTROL, RPC, ADMIN, APP, STORE };
    int port(int kind) const { return base + kind; }

    // Chooses addresses and ports that are free, lays out the settings as
    // deploy/entry.json and deploy/companion.json do, opens the stand-ins.
    bool prepare(int entry_count, int side_count)
    {
        char name[] = "/tmp/review-XXXXXX";
        folder = mkdtemp(name);
        root = getenv("ROOT") == nullptr ? "." : getenv("ROOT");
        signal(SIGPIPE, SIG_IGN);
        unsigned seed = 0;
        FILE *random = fopen("/dev/urandom", "r");
        if (random == nullptr || fread(&seed, sizeof(seed), 1, random) != 1) {
            seed = (unsigned)(getpid() * 7919 ^ clock_ms());
        }
        if (random != nullptr) {
            fclose(random);
        }
        srand(seed);
        bool found = false;
        for (int i = 0; i < 50 && !found; i++) {
            prefix = "127." + std::to_string(20 + rand() % 200) + "." +
                     std::to_string(rand() % 250) + ".";
            base = 11000 + rand() % 2000 * 8;
            found = all_free(entry_count, side_count);
        }
        if (!found || !store.open(store_ip(), port(STORE))) {
            return false;
        }
        for (int i = 0; i < entry_count; i++) {
            entries.push_back(process("entry-" + std::to_string(i), entry_settings(i)));
        }
        for (int i = 0; i < side_count; i++) {
            companions.push_back(process("companion-" + std::to_string(i), side_settings(i)));
            Minion *m = new Minion;
            m->id = "i-" + std::to_string(i);
            m->ip = m->companion_ip = side_ip(i);
            m->port = port(APP);
            m->control = port(CONTROL);
            m->service = "work";
            m->zone = zone(i);
            m->labels = {"a", "r" + std::to_string(i / 3)};
            m->history = &history;
            minions.emplace_back(m);
        }
        return true;
    }

    void start()
    {
        for (auto &p : entries) {
            p->start();
        }
        for (auto &p : companions) {
            p->start();
        }
        for (auto &m : minions) {
            if (!m->open()) {
                record("cannot open %s", m->id.c_str());
                finish(2);
            }
        }
    }

    bool ready(int i)
    {
        return call(entry_ip(i), port(READY), "GET", "/ready", entry_ip(i), "",
                    300).status == 200;
    }

    bool wait_ready(int64_t until_ms)
    {
        for (;;) {
            bool all = true;
            for (size_t i = 0; i < entries.size(); i++) {
                all = all && ready((int)i) &&
                      metric((int)i, "levercove_companions_well") >=
                          (double)companions.size();
            }
            if (all) {
                return true;
            }
            if (now() > until_ms) {
                return false;
            }
            sleep_ms(50);
        }
    }

    double metric(int entry, const string &name)
    {
        Reply r = call(entry_ip(entry), port(ADMIN), "GET", "/metrics",
                       entry_ip(entry), "", 300);
        size_t at = r.body.find("\n" + name + " ");
        if (r.status != 200 || at == string::npos) {
            return -1;
        }
        return atof(r.body.c_str() + at + 2 + name.size());
    }

    Reply request(int entry, const string &method, const string &path,
                  const string &host, const string &body)
    {
        Reply r = call(entry_ip(entry), port(FRONT), method, path, host, body,
                       2500, "X-Deadline-Ms: 1500\r\n");
        record("client: %s %s at entry %d -> %d %s", method.c_str(),
               path.c_str(), entry, r.status, r.body.substr(0, 120).c_str());
        return r;
    }

    // A configuration with these routes: name, prefix, priority.
    struct Queue {
        string name, prefix;
        int priority, max_attempts;
    };
    void configure(int version, const std::vector<Queue> &queues)
    {
        string rows;
        for (const Queue &q : queues) {
            rows += string(rows.empty() ? "" : ",") + "{\"name\":\"" + q.name +
                    "\",\"host\":\"jobs.example\",\"path_prefix\":\"" +
                    q.prefix +
                    "\",\"kind\":\"unsafe\",\"timeout_ms\":1500,"
                    "\"target_latency_ms\":60,\"priority\":" +
                    std::to_string(q.priority) +
                    ",\"service\":\"work\",\"max_attempts\":" +
                    std::to_string(q.max_attempts) + ",\"stretch\":1.6}";
        }
        store.put("keyed.op", "config",
                  "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
                      rows +
                      "],\"services\":[{\"name\":\"work\",\"health_path\":"
                      "\"/health\",\"max_connections\":64,\"protocol\":\"h1\","
                      "\"tls\":false,\"admission_check\":false,\"spare\":"
                      "false}],\"limits\":{\"max_header_bytes\":16384,"
                      "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
                      "\"idle_timeout_ms\":15000}}");
        record("operator: configuration %d is acknowledged, %zu routes",
               version, queues.size());
    }

    // Ends all processes that were started, and this one.
    [[noreturn]] void finish(int code)
    {
        for (auto *list : {&entries, &companions}) {
            for (auto &p : *list) {
                p->signal(SIGCONT);
                p->kill();
            }
        }
        record("exit %d", code);
        if (getenv("KEEP_LOGS") == nullptr) {
            string command = "rm -rf '" + folder + "'";
            if (system(command.c_str()) != 0) {
                record("cannot remove %s", folder.c_str());
            }
        }
        _exit(code);
    }

  private:
    static string zone(int i) { return "zone-" + std::to_string(i % 3); }

    bool all_free(int entry_count, int side_count)
    {
        std::vector<string> ips = {store_ip()};
        for (int i = 0; i < entry_count; i++) {
            ips.push_back(entry_ip(i));
        }
        for (int i = 0; i < side_count; i++) {
            ips.push_back(side_ip(i));
        }
        for (const string &ip : ips) {
            for (int k = FRONT; k <= STORE; k++) {
                sockaddr_in a = address_of(ip, port(k));
                int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                int result = bind(fd, (sockaddr *)&a, sizeof(a));
                close(fd);
                if (result != 0) {
                    return false;
                }
            }
        }
        return true;
    }

    std::unique_ptr<Process> process(const string &name, const string &settings)
    {
        std::unique_ptr<Process> p(new Process);
        p->name = name;
        p->program = root + "/target/daemon/levercoved"; // deploy/system.toml
        p->settings = folder + "/" + name + ".json";
        p->log = folder + "/" + name + ".log";
        FILE *out = fopen(p->settings.c_str(), "w");
        fputs(settings.c_str(), out);
        fclose(out);
        return p;
    }

    string common(const string &role, const string &ip, int i)
    {
        string seeds;
        for (int k = 0; k < 3; k++) {
            seeds += string(k == 0 ? "" : ",") + "\"" + entry_ip(k) + ":" +
                     std::to_string(port(CONTROL)) + "\"";
        }
        return "{\"role\":\"" + role + "\",\"jobs\":\"leased\",\"hall\":\"" +
               zone(i) + "\",\"rpc\":\"" + ip + ":" + std::to_string(port(RPC)) +
               "\",\"admin\":\"" + ip + ":" + std::to_string(port(ADMIN)) +
               "\",\"store\":\"" + store_ip() + ":" +
               std::to_string(port(STORE)) + "\",\"seeds\":[" + seeds + "],";
    }

    string entry_settings(int i)
    {
        string ip = entry_ip(i);
        return common("entry", ip, i) + "\"callers\":\"" + ip + ":" +
               std::to_string(port(FRONT)) + "\",\"ready\":\"" + ip + ":" +
               std::to_string(port(READY)) +
               "\",\"times\":{\"resubmit_ms\":1300,\"keep_ms\":120000,"
               "\"hold_max_ms\":1000,\"stop_ms\":50,\"beat_ms\":1500,"
               "\"grace_ms\":6000},\"limits\":{\"link_mbps\":1000.0}}";
    }

    string side_settings(int i)
    {
        string ip = side_ip(i);
        return common("companion", ip, i) + "\"upstream\":\"" + ip + ":" +
               std::to_string(port(APP)) + "\",\"beats\":\"" + ip + ":" +
               std::to_string(port(CONTROL)) +
               "\",\"times\":{\"resubmit_ms\":1300,\"hold_max_ms\":1000,"
               "\"stop_ms\":50,\"beat_ms\":1500,\"grace_ms\":6000}}";
    }
};

// Opens the record, and ends everything in time whatever happens.
inline void open_record(const char *path, Cluster *cluster, int64_t limit_ms)
{
    begin_ms();
    if (path != nullptr) {
        record_file() = fopen(path, "w");
    }
    std::thread([cluster, limit_ms] {
        sleep_ms(limit_ms);
        record("the case took too long");
        cluster->finish(2);
    }).detach();
}

inline bool trouble()
{
    const char *text = getenv("TROUBLE");
    return text == nullptr || strcmp(text, "0") != 0;
}

} // namespace stand

#endif
