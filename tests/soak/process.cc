#include "tests/soak/process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <set>
#include <utility>

namespace soak {

namespace {

const int64_t RESTART_MS = 150;
/* Tells a play that could not run from one that broke a rule. */
const int EXIT_COULD_NOT_RUN = 2;

std::set<int> running; /* pids */

/* Nothing is left behind that would disturb a later play. */
[[noreturn]] void
give_up(const std::string &program, int error)
{
    fprintf(stderr, "cannot start %s: %s\n", program.c_str(),
            uv_strerror(error));
    for (int pid : running) {
        uv_kill(pid, SIGKILL);
    }
    exit(EXIT_COULD_NOT_RUN);
}

void
on_closed(uv_handle_t *handle)
{
    delete (uv_process_t *)handle;
}

/* Sets the limit of open files, which processes started from now on inherit;
 * returns the one before. */
rlim_t
set_max_open_files(rlim_t count)
{
    struct rlimit limit;

    getrlimit(RLIMIT_NOFILE, &limit);
    std::swap(limit.rlim_cur, count);
    setrlimit(RLIMIT_NOFILE, &limit);
    return count;
}

} // namespace

Process::Process(uv_loop_t *event_loop, std::string process_name,
                 std::string program_file, std::string folder,
                 std::string settings)
    : name(process_name), loop(event_loop), program(program_file),
      log_file(folder + "/" + process_name + ".log"),
      settings_file(folder + "/" + process_name + ".json")
{
    FILE *file = fopen(settings_file.c_str(), "w");

    fputs(settings.c_str(), file);
    fclose(file);
    uv_timer_init(loop, &restart);
    restart.data = this;
}

void
Process::start()
{
    uv_process_options_t options = {};
    uv_stdio_container_t stdio[3] = {};
    int log = open(log_file.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    char *arguments[] = {(char *)program.c_str(),
                         (char *)settings_file.c_str(), nullptr};

    stdio[0].flags = UV_IGNORE;
    stdio[1].flags = UV_INHERIT_FD;
    stdio[1].data.fd = log;
    stdio[2] = stdio[1];
    if (stalled) {
        uv_pipe_init(loop, &log_pipe, 0);
        log_pipe.data = this;
        stdio[1].flags = (uv_stdio_flags)(UV_CREATE_PIPE | UV_WRITABLE_PIPE);
        stdio[1].data.stream = (uv_stream_t *)&log_pipe;
    }
    options.file = program.c_str();
    options.args = arguments;
    options.stdio = stdio;
    options.stdio_count = 3;
    options.exit_cb = on_exit;
    handle = new uv_process_t;
    handle->data = this;
    rlim_t own_limit = 0;
    if (max_open_files != 0) {
        own_limit = set_max_open_files((rlim_t)max_open_files);
    }
    int error = uv_spawn(loop, handle, &options);
    if (max_open_files != 0) {
        set_max_open_files(own_limit);
    }
    if (error != 0) {
        give_up(program, error);
    }
    if (hidden_max_open_files != 0) {
        struct rlimit limit = {(rlim_t)hidden_max_open_files,
                               (rlim_t)hidden_max_open_files};
        prlimit(handle->pid, RLIMIT_NOFILE, &limit, nullptr);
    }
    running.insert(handle->pid);
    close(log);
    starts++;
    started_ms = (int64_t)uv_now(loop);
    last_fault_ms = started_ms;
    up = true;
    exit_requested = false;
    sigterm_ms = 0;
}

void
Process::on_exit(uv_process_t *process, int64_t status, int number)
{
    Process *self = (Process *)process->data;

    running.erase(process->pid);
    uv_close((uv_handle_t *)process, on_closed);
    self->handle = nullptr;
    self->up = false;
    if (!self->exit_requested) {
        self->unexpected_exits++;
        fprintf(stderr, "%s exited unexpectedly: status %ld, signal %d\n",
                self->name.c_str(), (long)status, number);
    }
    if (self->restart_enabled) {
        uv_timer_start(&self->restart, on_restart, (uint64_t)self->down_ms, 0);
    }
    self->down_ms = RESTART_MS;
}

void
Process::on_log(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
    Process *self = (Process *)stream->data;

    if (count > 0) {
        FILE *file = fopen(self->log_file.c_str(), "a");
        fwrite(buffer->base, 1, (size_t)count, file);
        fclose(file);
    }
    else if (count < 0) {
        uv_read_stop(stream);
    }
}

void
Process::drain_log()
{
    uv_read_start((uv_stream_t *)&log_pipe,
                  [](uv_handle_t *, size_t, uv_buf_t *buffer) {
                      static char chunk[65536];
                      *buffer = uv_buf_init(chunk, sizeof(chunk));
                  },
                  on_log);
}

void
Process::on_restart(uv_timer_t *timer)
{
    ((Process *)timer->data)->start();
}

void
Process::signal(int number)
{
    if (!up) {
        return;
    }
    last_fault_ms = (int64_t)uv_now(loop);
    if (number == SIGTERM || number == SIGKILL) {
        exit_requested = true;
    }
    if (number == SIGTERM && sigterm_ms == 0) {
        sigterm_ms = (int64_t)uv_now(loop);
    }
    uv_process_kill(handle, number);
}

void
Process::kill(int64_t restart_delay_ms)
{
    down_ms = restart_delay_ms;
    signal(SIGCONT);
    signal(SIGKILL);
}

void
Process::kill_without_restart()
{
    restart_enabled = false;
    uv_timer_stop(&restart);
    kill(0);
}

} // namespace soak
