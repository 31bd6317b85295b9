/**
 * @file world.h
 * @brief A small deployment on loopback: `levercoved` processes with the
 * settings of deploy/entry.json and deploy/companion.json, the project's
 * stand-in of the store, minions, gates for cuts, and clients. Everything that
 * is sent, answered and run goes to the record.
 */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <signal.h>
#include <unistd.h>

#include <cstdarg>
#include <memory>

#include "review/stand-2/gate.h"
#include "review/stand-2/minion.h"
#include "tests/soak/process.h"
#include "tests/soak/store.h"

extern "C" {
#include "wire/levercove.h"
}

namespace review {

struct Setup {
    int entries = 3;
    int companions = 4;
    int64_t cpu_milli = 16000;
    std::string queue = "lohu930"; /* its name in the configuration */
    std::string program = "target/daemon/levercoved";
    std::string folder; /* for settings and logs */
    std::string record; /* path of record.txt */
};

class World {
  public:
    /** A state, or the status if there is none. */
    using Answered = std::function<void(int status, const std::string &body)>;

    explicit World(const Setup &world_setup)
        : setup(world_setup), loop(uv_default_loop()),
          client(HttpClient_New(loop)), first_octet(1 + (int)getpid() % 250),
          second_octet((int)(getpid() / 250) % 250),
          first_port(21000 + (int)getpid() % 900 * 10)
    {
        begin = (int64_t)uv_now(loop);
        out = fopen(setup.record.c_str(), "w");
        if (out == nullptr) {
            perror(setup.record.c_str());
            exit(2);
        }
        create();
    }

    int64_t
    now() const
    {
        return (int64_t)uv_now(loop) - begin;
    }

    void
    note(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        va_list args;

        fprintf(out, "%6" PRId64 " ", now());
        va_start(args, format);
        vfprintf(out, format, args);
        va_end(args);
        fputc('\n', out);
    }

    void
    after(int64_t ms, std::function<void()> run)
    {
        struct Timer {
            uv_timer_t handle;
            std::function<void()> run;
        };
        Timer *timer = new Timer{{}, std::move(run)};

        uv_timer_init(loop, &timer->handle);
        timer->handle.data = timer;
        uv_timer_start(
            &timer->handle,
            [](uv_timer_t *handle) {
                Timer *due = (Timer *)handle->data;
                due->run();
                uv_close((uv_handle_t *)handle, [](uv_handle_t *closed) {
                    delete (Timer *)closed->data;
                });
            },
            (uint64_t)ms, 0);
    }

    /** Starts all processes and publishes the routes. */
    void
    start(const std::string &routes_fields)
    {
        std::string rows;

        for (int i = 0; i < setup.entries; i++) {
            rows += std::string(i == 0 ? "" : ",") + "{\"name\":\"" + setup.queue + "\"," +
                    "\"host\":\"" + ip(10 + i) + "\"," +
                    "\"path_prefix\":\"/lohu930/\",\"service\":\"verdict\"," +
                    routes_fields + "}";
        }
        store->put("config", "{\"version\":3,\"routes\":[" + rows +
                                 "],\"services\":[],\"limits\":{}}");
        for (auto &process : companions) {
            process->start();
        }
        for (auto &process : entries) {
            process->start();
        }
    }

    void
    send(int entry, const char *method, const std::string &id,
         const std::string &body, Answered answered)
    {
        struct Call {
            World *world;
            std::string what;
            Answered answered;
        };
        HttpClient_Request request = {};
        std::string path = "/lohu930/" + id;
        Call *call = new Call{this,
                              std::string(method) + " " + path + " at entry " +
                                  std::to_string(entry),
                              std::move(answered)};

        if (strcmp(method, "GET") != 0) {
            note("%s %.200s", call->what.c_str(), body.c_str());
        }
        request.to = address(10 + entry, CALLERS);
        request.method = method;
        request.path = path.c_str();
        request.headers = "Content-Type: application/json\r\n"
                          "X-Deadline-Ms: 3000\r\n";
        request.body = body.data();
        request.length = body.size();
        request.timeout_ms = 3000;
        HttpClient_Send(
            client, &request,
            [](void *context, const HttpClient_Answer *answer) {
                std::unique_ptr<Call> done((Call *)context);
                bool got = answer->end == HTTP_CLIENT_ANSWERED;
                std::string text(got ? answer->body : "",
                                 got ? answer->length : 0);
                done->world->note("%s -> %d %.200s", done->what.c_str(),
                                  got ? answer->status : 0, text.c_str());
                if (done->answered) {
                    done->answered(got ? answer->status : 0, text);
                }
            },
            call);
    }

    /** What an entry tells operators of itself. */
    void
    admin(int entry, std::function<void(const std::string &text)> told)
    {
        struct Call {
            std::function<void(const std::string &text)> told;
        };
        HttpClient_Request request = {};

        request.to = address(10 + entry, ADMIN);
        request.method = "GET";
        request.path = "/state";
        request.timeout_ms = 500;
        HttpClient_Send(
            client, &request,
            [](void *context, const HttpClient_Answer *answer) {
                std::unique_ptr<Call> done((Call *)context);
                if (answer->end == HTTP_CLIENT_ANSWERED) {
                    done->told(std::string(answer->body, answer->length));
                }
            },
            new Call{std::move(told)});
    }

    /** Cuts entry 0 off from the store and from the other entries, or ends the
     * cut; companions and clients still reach it. */
    void
    cut_entry_0(bool on)
    {
        note("%s: entry 0 from the store and from the other entries",
             on ? "cut" : "cut ends");
        store_gates[0]->set_cut(on);
        for (auto &gate : entry_gates) {
            gate->set_cut(on);
        }
    }

    /** Cuts a minion off from all machines, its own too, or ends the cut; it
     * runs on. */
    void
    cut_minion(size_t minion, bool on)
    {
        note("%s: minion m%zu from all machines", on ? "cut" : "cut ends",
             minion);
        minions[minion]->cut_off = on;
        app_gates[minion]->set_cut(on);
    }

    /** Ends all processes, then the loop. */
    void
    finish()
    {
        for (auto *list : {&entries, &companions}) {
            for (auto &process : *list) {
                process->kill_without_restart();
            }
        }
        after(300, [this] { uv_stop(loop); });
    }

    void
    run()
    {
        uv_run(loop, UV_RUN_DEFAULT);
        fclose(out);
    }

    Setup setup;
    uv_loop_t *loop;
    std::unique_ptr<soak::Store> store;
    std::vector<std::unique_ptr<soak::Process>> entries;
    std::vector<std::unique_ptr<soak::Process>> companions;
    std::vector<std::unique_ptr<Minion>> minions;

  private:
    /* Every process has an IP address of its own; the ports are the same. */
    enum {
        RPC,
        RPC_LISTEN,
        ADMIN,
        CALLERS,
        READY,
        CONTROL,
        APP,
        APP_GATE,
        STORE
    };

    std::string
    ip(int host) const
    {
        return "127." + std::to_string(first_octet) + "." +
               std::to_string(second_octet) + "." + std::to_string(host);
    }

    std::string
    text(int host, int port) const
    {
        return ip(host) + ":" + std::to_string(first_port + port);
    }

    Address
    address(int host, int port) const
    {
        Address parsed = 0;

        Address_Parse(text(host, port).c_str(), &parsed);
        return parsed;
    }

    std::string
    settings(const char *role, int host) const
    {
        std::string seeds;

        for (int i = 0; i < setup.entries; i++) {
            seeds += (i == 0 ? "\"" : ",\"") + text(10 + i, RPC) + "\"";
        }
        return std::string("{\"role\":\"") + role +
               "\",\"jobs\":\"leased\",\"hall\":\"hall-" +
               std::to_string(host % 3) + "\",\"rpc\":\"" + text(host, RPC) +
               "\",\"rpc_listen\":\"" + text(host, RPC_LISTEN) +
               "\",\"admin\":\"" + text(host, ADMIN) + "\",\"seeds\":[" +
               seeds +
               "],\"times\":{\"resubmit_ms\":1300,\"keep_ms\":120000,"
               "\"hold_max_ms\":1000,\"stop_ms\":50,\"beat_ms\":1500,"
               "\"grace_ms\":6000},";
    }

    /* Number of the entry that a first call names as its sender, or -1. */
    int
    sender(const std::string &first) const
    {
        uint64_t found = 0;

        for (size_t i = 44; i < 52; i++) {
            found = found << 8 | (uint8_t)first[i];
        }
        for (int i = 0; i < setup.entries; i++) {
            if (found == address(10 + i, RPC)) {
                return i;
            }
        }
        return -1;
    }

    /* Whether a connection to entry @p to is between entry 0, the one that
     * cases cut off, and another one. Companions call entries to report only;
     * a call for the store does not name its sender: only an entry that does
     * not reach the store itself makes such calls. */
    bool
    is_cut_off(int to, const std::string &first) const
    {
        uint32_t procedure = (uint32_t)(uint8_t)first[27];

        return procedure != LC_REPORT && (to == 0 || sender(first) <= 0);
    }

    void
    create()
    {
        store.reset(new soak::Store(loop, address(200, STORE)));
        for (int i = 0; i < setup.companions; i++) {
            int host = 50 + i;
            minions.emplace_back(new Minion(
                loop, client, "m" + std::to_string(i), address(host, APP),
                address(host, CONTROL), setup.cpu_milli));
            app_gates.emplace_back(
                new Gate(loop, address(host, APP_GATE), address(host, APP),
                         [](const std::string &) { return true; }, true));
            companion_gates.emplace_back(new Gate(
                loop, address(host, RPC), address(host, RPC_LISTEN),
                [](const std::string &) { return false; }));
            companions.emplace_back(new soak::Process(
                loop, "companion-" + std::to_string(i), setup.program,
                setup.folder,
                settings("companion", host) + "\"upstream\":\"" +
                    text(host, APP_GATE) + "\",\"beats\":\"" + text(host, CONTROL) +
                    "\",\"store\":\"" + text(200, STORE) + "\"}"));
        }
        for (int i = 0; i < setup.entries; i++) {
            int host = 10 + i;
            entry_gates.emplace_back(
                new Gate(loop, address(host, RPC), address(host, RPC_LISTEN),
                         [this, i](const std::string &first) {
                             return is_cut_off(i, first);
                         }));
            store_gates.emplace_back(
                new Gate(loop, address(host, STORE), address(200, STORE),
                         [](const std::string &) { return true; }));
            entries.emplace_back(new soak::Process(
                loop, "entry-" + std::to_string(i), setup.program,
                setup.folder,
                settings("entry", host) + "\"callers\":\"" +
                    text(host, CALLERS) + "\",\"ready\":\"" +
                    text(host, READY) + "\",\"store\":\"" + text(host, STORE) +
                    "\",\"limits\":{\"link_mbps\":1000}}"));
        }
    }

    HttpClient *client;
    int first_octet;
    int second_octet;
    int first_port;
    int64_t begin;
    FILE *out;
    std::vector<std::unique_ptr<Gate>> app_gates;
    std::vector<std::unique_ptr<Gate>> entry_gates;
    std::vector<std::unique_ptr<Gate>> companion_gates;
    std::vector<std::unique_ptr<Gate>> store_gates;
};

} // namespace review

#endif
