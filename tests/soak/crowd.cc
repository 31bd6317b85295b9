/*
 * Plays one crowd of clients that do not behave against one process of a small
 * cluster: requests that never end, that are far too long, or whose answers
 * nobody reads. Checks what does not depend on the machine's speed: the
 * process is still the same one, its memory and descriptors stayed under their
 * bounds, and an ordinary job is served while the crowd stays connected.
 */

#include <dirent.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cinttypes>
#include <cstdio>
#include <cstring>

#include "tests/soak/cluster.h"

namespace {

/* Memory of the machines that run the processes, in MB. */
const long ENTRY_MB = 260;
const long COMPANION_MB = 128;
/* A process keeps at least this many descriptors free of its clients. */
const long OWN_FILES = 16;
const int64_t CALM_MS = 2500;
const int64_t CROWD_MS = 4500;
const int64_t SAMPLE_MS = 50;
/* Longer than the time for which a server waits for a request. */
const int64_t STAY_MS = 14000;
const int64_t SETTLE_MS = 1000; /* once all members have sent their bytes */
const int64_t ORDINARY_END_MS = 9000; /* three attempts of a caller */
const size_t CHUNK_BYTES = 65536;

enum Target {
    CALLERS,
    READY,
    ADMIN,
    RPC,
    BEATS,
    COMPANION_ADMIN,
    COMPANION_RPC
};

enum Kind {
    ANNOUNCED, /* a body of the announced length, without its last byte */
    CHUNKED,   /* a body in chunks, without its end */
    SMALL_CHUNKS,
    WHOLE,       /* a job with a body of that length */
    ONE_BYTE,    /* the first byte of a request */
    TRICKLE,     /* a body of which a byte comes each 200 ms */
    EARLY,       /* a job that lasts, then bytes of later requests */
    UNREAD,      /* requests whose answers are not read */
    RECORD,      /* an RPC record, without its last byte */
    STORE_CALLS, /* RPC calls that pass a read on, which waits at the store */
    UNREAD_REPLIES /* RPC calls whose replies are not read */
};

struct Case {
    const char *name;
    Target target;
    Kind kind;
    size_t connections;
    size_t bytes;        /* sent by each connection, or requests, if UNREAD */
    long max_open_files; /* of the process; 0: the machine's */
};

const Case cases[] = {
    {"announced_bodies", CALLERS, ANNOUNCED, 40, 15900000, 0},
    {"chunked_bodies", CALLERS, CHUNKED, 40, 15900000, 0},
    {"legal_bodies", CALLERS, ANNOUNCED, 1500, 262143, 0},
    {"legal_chunks", CALLERS, SMALL_CHUNKS, 1500, 262000, 0},
    {"whole_bodies", CALLERS, WHOLE, 1500, 262000, 0},
    {"early_bytes", CALLERS, EARLY, 60, 8000000, 0},
    {"unread_answers", ADMIN, UNREAD, 100, 6000, 0},
    {"ready_bodies", READY, ANNOUNCED, 40, 15900000, 0},
    {"admin_bodies", ADMIN, CHUNKED, 40, 15900000, 0},
    {"heartbeat_bodies", BEATS, ANNOUNCED, 20, 15900000, 0},
    {"companion_admin_bodies", COMPANION_ADMIN, ANNOUNCED, 20, 15900000, 0},
    {"unfinished_records", RPC, RECORD, 40, 16000000, 0},
    {"companion_records", COMPANION_RPC, RECORD, 20, 16000000, 0},
    {"unread_replies", RPC, UNREAD_REPLIES, 8, 300000, 0},
    {"companion_unread_replies", COMPANION_RPC, UNREAD_REPLIES, 8, 300000, 0},
    {"store_bodies", RPC, STORE_CALLS, 10, 40, 0},
    {"store_waits", RPC, STORE_CALLS, 1, 600, 512},
    {"no_descriptors", CALLERS, ONE_BYTE, 150, 1, 128},
    {"no_descriptors_slow_bodies", CALLERS, TRICKLE, 150, 2000, 128},
    {"no_descriptors_ready", READY, ONE_BYTE, 150, 1, 128},
    {"no_descriptors_rpc", RPC, ONE_BYTE, 150, 1, 128},
    {"no_descriptors_beats", BEATS, ONE_BYTE, 150, 1, 128},
    {"no_descriptors_companion_rpc", COMPANION_RPC, ONE_BYTE, 150, 1, 128},
};

const Case *played;
soak::Cluster *cluster;
soak::Process *process;
int first_pid;
long most_files;
size_t sending; /* members that have not sent all, or been refused */
uint64_t ordinary_job;
int64_t ordinary_ms; /* when it was submitted */
int status;

bool
is_companion(Target target)
{
    return target == BEATS || target == COMPANION_ADMIN ||
           target == COMPANION_RPC;
}

Address
address_of(Target target)
{
    switch (target) {
    case CALLERS:
        return cluster->entry_address(0, soak::Port::Callers);
    case READY:
        return cluster->entry_address(0, soak::Port::Ready);
    case ADMIN:
        return cluster->entry_address(0, soak::Port::Admin);
    case RPC:
        return cluster->entry_address(0, soak::Port::RpcListen);
    case BEATS:
        return cluster->companion_address(0, soak::Port::Heartbeats);
    case COMPANION_ADMIN:
        return cluster->companion_address(0, soak::Port::Admin);
    default:
        return cluster->companion_address(0, soak::Port::RpcListen);
    }
}

const char *
path_of(Target target)
{
    switch (target) {
    case CALLERS:
        return "/q/00000000ffff0001";
    case READY:
        return "/ready";
    case BEATS:
        return "/instances/i-1/heartbeat";
    default:
        return "/state";
    }
}

/* One connection of the crowd. It repeats `unit` after `head` until `left`
 * bytes have been sent, and stays open. */
struct Member {
    uv_tcp_t tcp;
    uv_connect_t connect;
    uv_write_t write;
    uv_timer_t timer;
    std::string head;
    std::string unit;
    size_t left;
    bool ended = false;
};

void
end_member(Member *member)
{
    if (!member->ended) {
        member->ended = true;
        sending--;
    }
}

void
send_next(Member *member)
{
    std::string *text = &member->head;
    size_t length = member->head.size();

    if (length == 0) {
        text = &member->unit;
        length = std::min(member->left, member->unit.size());
        member->left -= length;
    }
    if (length == 0) {
        end_member(member);
        return;
    }
    uv_buf_t buffer = uv_buf_init((char *)text->data(), (unsigned)length);
    member->write.data = member;
    uv_write(&member->write, (uv_stream_t *)&member->tcp, &buffer, 1,
             [](uv_write_t *write, int result) {
                 Member *self = (Member *)write->data;
                 self->head.clear();
                 if (result != 0) {
                     end_member(self);
                 }
                 else if (played->kind != TRICKLE) {
                     send_next(self);
                 }
             });
}

/* Reads what the process answers, unless nobody is to read it, so that a
 * refusal is seen and the connection closed. */
void
read_answers(Member *member)
{
    if (played->kind == UNREAD || played->kind == UNREAD_REPLIES) {
        return;
    }
    uv_read_start((uv_stream_t *)&member->tcp,
                  [](uv_handle_t *, size_t, uv_buf_t *buffer) {
                      static char chunk[CHUNK_BYTES];
                      *buffer = uv_buf_init(chunk, sizeof(chunk));
                  },
                  [](uv_stream_t *stream, ssize_t count, const uv_buf_t *) {
                      if (count < 0) {
                          uv_read_stop(stream);
                          uv_timer_stop(&((Member *)stream->data)->timer);
                          end_member((Member *)stream->data);
                      }
                  });
}

void
on_connected(uv_connect_t *connect, int result)
{
    Member *member = (Member *)connect->data;

    if (result != 0) {
        end_member(member);
        return;
    }
    read_answers(member);
    send_next(member);
    if (played->kind == TRICKLE) {
        uv_timer_start(
            &member->timer,
            [](uv_timer_t *timer) { send_next((Member *)timer->data); }, 200,
            200);
    }
}

std::string
http_head(const char *method, const std::string &fields)
{
    return std::string(method) + " " + path_of(played->target) +
           " HTTP/1.1\r\nHost: 127.7.0.10\r\n" + fields + "\r\n";
}

/* The request of a job of one task, whose body has at least @p length bytes.
 */
std::string
job_request(size_t length)
{
    static uint64_t id = 0xffff0000;
    char path[40];
    std::string body = "{\"spec\":\"crowd\",\"best_effort\":true,"
                       "\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":1,"
                       "\"estimate_ms\":1000}],\"unused\":\"";

    body.append(length - std::min(length, body.size()), 'x');
    body += "\"}";
    snprintf(path, sizeof(path), "/q/%016" PRIx64, id++);
    return std::string("POST ") + path +
           " HTTP/1.1\r\nHost: 127.7.0.10\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

/* A chunk of a body, with @p length bytes. */
std::string
chunk(size_t length)
{
    char size[24];

    snprintf(size, sizeof(size), "%zx\r\n", length);
    return size + std::string(length, 'x') + "\r\n";
}

/* An RPC call of the procedure 0, which any process answers. */
std::string
null_call()
{
    const uint32_t words[] = {
        0x80000000U | 40, 1, 0, 2, 0x20004c43, 1, 0, 0, 0, 0, 0};
    std::string text;

    for (uint32_t word : words) {
        uint32_t big_endian = htonl(word);
        text.append((const char *)&big_endian, sizeof(big_endian));
    }
    return text;
}

void
put_word(std::string *text, uint32_t word)
{
    uint32_t big_endian = htonl(word);
    text->append((const char *)&big_endian, sizeof(big_endian));
}

void
put_bytes(std::string *text, const std::string &bytes)
{
    put_word(text, (uint32_t)bytes.size());
    text->append(bytes);
    text->append((4 - bytes.size() % 4) % 4, '\0');
}

/* A call to pass a read on to the store, with a body of @p length bytes. */
std::string
store_call(size_t length)
{
    std::string call;
    std::string text;

    for (uint32_t word : {1U, 0U, 2U, 0x20004c43U, 1U, 18U, 0U, 0U, 0U, 0U}) {
        put_word(&call, word);
    }
    put_bytes(&call, "GET");
    put_bytes(&call, "/log-read?topic=none&part=0&from=999999&wait_ms=9000");
    put_bytes(&call, std::string(length, 'x'));
    put_word(&call, 20000);
    put_word(&call, 20000);
    put_word(&text, 0x80000000U | (uint32_t)call.size());
    return text + call;
}

void
fill(Member *member)
{
    const size_t bytes = played->bytes;
    const std::string announced = "Content-Length: " +
                                  std::to_string(bytes + 1) + "\r\n";
    const uint32_t mark = htonl(0x80000000U | (uint32_t)(bytes + 1));

    member->unit.assign(CHUNK_BYTES, 'x');
    member->left = bytes;
    switch (played->kind) {
    case ANNOUNCED:
        member->head = http_head("POST", announced);
        break;
    case TRICKLE:
        member->head = http_head("POST", announced);
        member->unit = "x";
        break;
    case CHUNKED:
    case SMALL_CHUNKS:
        member->head = http_head("POST", "Transfer-Encoding: chunked\r\n");
        member->unit = chunk(played->kind == CHUNKED ? 65000 : 16);
        for (int i = 0; played->kind == SMALL_CHUNKS && i < 10; i++) {
            member->unit += member->unit;
        }
        break;
    case ONE_BYTE:
        member->head = "P";
        member->left = 0;
        break;
    case EARLY: {
        const std::string body =
            "{\"spec\":\"crowd\",\"best_effort\":true,\"steps\":[{\"count\":1,"
            "\"cpu\":100,\"mem_mb\":1,\"estimate_ms\":1000}]}";
        member->head = http_head("POST", "Content-Length: " +
                                             std::to_string(body.size()) +
                                             "\r\n") +
                       body;
        break;
    }
    case WHOLE:
        member->head = job_request(bytes);
        member->left = 0;
        break;
    case UNREAD:
        member->head.clear();
        member->unit = http_head("GET", "");
        member->left = bytes * member->unit.size();
        break;
    case RECORD:
        member->head.assign((const char *)&mark, sizeof(mark));
        break;
    case STORE_CALLS:
        member->head.clear();
        member->unit = store_call(played->max_open_files == 0 ? 1048000 : 4);
        member->left = bytes * member->unit.size();
        break;
    case UNREAD_REPLIES:
        member->head.clear();
        member->unit = null_call();
        member->left = bytes * member->unit.size();
        for (int i = 0; i < 8; i++) {
            member->unit += member->unit;
        }
        break;
    }
}

void
open_member()
{
    Member *member = new Member;
    struct sockaddr_in to = Address_ToSocket(address_of(played->target));

    fill(member);
    uv_tcp_init(cluster->loop, &member->tcp);
    uv_timer_init(cluster->loop, &member->timer);
    member->tcp.data = member;
    member->timer.data = member;
    member->connect.data = member;
    sending++;
    uv_tcp_connect(&member->connect, &member->tcp,
                   (const struct sockaddr *)&to, on_connected);
}

/* Peak of the process's resident memory, in MB; 0 if it is gone. */
long
peak_mb(int pid)
{
    char name[64];
    char line[128];
    long kb = 0;

    snprintf(name, sizeof(name), "/proc/%d/status", pid);
    FILE *file = fopen(name, "r");
    while (file != nullptr && fgets(line, sizeof(line), file) != nullptr) {
        sscanf(line, "VmHWM: %ld", &kb);
    }
    if (file != nullptr) {
        fclose(file);
    }
    return (kb + 1023) / 1024;
}

long
count_files(int pid)
{
    char name[64];
    long count = 0;

    snprintf(name, sizeof(name), "/proc/%d/fd", pid);
    DIR *folder = opendir(name);
    while (folder != nullptr && readdir(folder) != nullptr) {
        count++;
    }
    if (folder != nullptr) {
        closedir(folder);
    }
    return std::max(count - 2, 0L);
}

void
sample()
{
    most_files = std::max(most_files, count_files(process->pid()));
    cluster->run_after(SAMPLE_MS, sample);
}

int
report()
{
    const soak::Job *job = cluster->checker.find(ordinary_job);
    long bound_mb = is_companion(played->target) ? COMPANION_MB : ENTRY_MB;
    long bound_files = played->max_open_files - OWN_FILES;
    long mb = peak_mb(first_pid);
    int failed = 0;

    printf("crowd %s: peak %ld MB of %ld, at most %ld descriptors, ordinary "
           "job %s after %d attempts\n",
           played->name, mb, bound_mb, most_files,
           job->done ? "done" : "not done", job->attempts);
    if (process->starts != 1 || process->pid() != first_pid) {
        printf("violation: the process has ended\n");
        failed = 1;
    }
    if (mb > bound_mb) {
        printf("violation: memory over its bound\n");
        failed = 1;
    }
    if (played->max_open_files != 0 && most_files > bound_files) {
        printf("violation: descriptors over their bound of %ld\n",
               bound_files);
        failed = 1;
    }
    if (!job->done) {
        printf("violation: the ordinary job is not answered\n");
        failed = 1;
    }
    return failed;
}

void
await_answer()
{
    if (cluster->checker.find(ordinary_job)->done ||
        cluster->now() > ordinary_ms + ORDINARY_END_MS) {
        status = report();
        cluster->finish();
        return;
    }
    cluster->run_after(SAMPLE_MS, await_answer);
}

/* Whether the crowd does nothing more: those who only hold connections stay
 * until the process has had time to close them. */
bool
is_settled()
{
    return played->max_open_files == 0 && sending == 0;
}

void
await_crowd()
{
    if (!is_settled() && cluster->now() < CROWD_MS + STAY_MS) {
        cluster->run_after(SAMPLE_MS, await_crowd);
        return;
    }
    cluster->run_after(SETTLE_MS, [] {
        ordinary_job = cluster->submit_job(1, 100, 100, false);
        ordinary_ms = cluster->now();
        await_answer();
    });
}

void
play()
{
    cluster->target_entry = 0;
    cluster->run_after(CALM_MS, [] {
        first_pid = process->pid();
        cluster->submit_job(1, 100, 100, false);
        sample();
    });
    cluster->run_after(CROWD_MS, [] {
        for (size_t i = 0; i < played->connections; i++) {
            open_member();
        }
        await_crowd();
    });
}

int
list_cases()
{
    for (const Case &one : cases) {
        puts(one.name);
    }
    return 0;
}

} // namespace

int
main(int argc, char **argv)
{
    soak::ClusterSettings settings;

    if (argc == 2 && strcmp(argv[1], "--list") == 0) {
        return list_cases();
    }
    for (const Case &one : cases) {
        if (argc == 5 && strcmp(one.name, argv[1]) == 0) {
            played = &one;
        }
    }
    if (played == nullptr) {
        fprintf(stderr, "usage: crowd --list | NAME LEVERCOVED FOLDER PORT\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    settings.entries = 2;
    settings.companions = 1;
    settings.program = argv[2];
    settings.folder = argv[3];
    settings.base_port = atoi(argv[4]);
    cluster = new soak::Cluster(settings);
    process = is_companion(played->target) ? cluster->companions[0].get()
                                           : cluster->entries[0].get();
    process->max_open_files = played->max_open_files;
    cluster->start();
    play();
    uv_run(cluster->loop, UV_RUN_DEFAULT);
    return status;
}
