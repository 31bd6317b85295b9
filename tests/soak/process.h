/**
 * @file process.h
 * @brief A real `levercoved` process that the soak starts, signals and
 * restarts.
 */
#ifndef LC_TESTS_SOAK_PROCESS_H
#define LC_TESTS_SOAK_PROCESS_H

#include <uv.h>

#include <string>

namespace soak {

/** One process, restarted with the same settings after each exit. */
class Process {
  public:
    Process(uv_loop_t *loop, std::string name, std::string program,
            std::string folder, std::string settings);

    void start();
    /** Sends a signal to the process, if it is running. */
    void signal(int number);
    /** Kills the process; it is restarted after @p down_ms. */
    void kill(int64_t down_ms);
    /** Kills the process and does not restart it. */
    void kill_without_restart();

    /** From the next start on, the log goes to a pipe that nobody reads until
     * drain_log. */
    void
    stall_log()
    {
        stalled = true;
    }
    /** Copies what the pipe holds, and all that follows, into the log file. */
    void drain_log();

    bool
    is_up() const
    {
        return up;
    }
    int
    pid() const
    {
        return up ? handle->pid : 0;
    }
    /** Limit of open files from the next start on; 0: as this process. */
    long max_open_files = 0;
    /** The same, but set once the process has begun: it does not know. */
    long hidden_max_open_files = 0;
    uint64_t starts = 0;
    uint64_t unexpected_exits = 0; /**< exits without SIGTERM or SIGKILL */
    int64_t started_ms = 0;        /**< loop time of the last start */
    int64_t sigterm_ms = 0; /**< loop time of the first SIGTERM since then */
    int64_t last_fault_ms = 0; /**< loop time of the last signal or start */

    const std::string name;

  private:
    static void on_exit(uv_process_t *process, int64_t status, int number);
    static void on_restart(uv_timer_t *timer);
    static void on_log(uv_stream_t *stream, ssize_t count,
                       const uv_buf_t *buffer);

    uv_loop_t *loop;
    std::string program;
    std::string log_file;
    std::string settings_file;
    uv_process_t *handle = nullptr;
    uv_pipe_t log_pipe;
    bool stalled = false;
    uv_timer_t restart;
    bool up = false;
    bool restart_enabled = true;
    bool exit_requested = false; /* SIGTERM or SIGKILL was sent */
    int64_t down_ms = 100;
};

} // namespace soak

#endif
