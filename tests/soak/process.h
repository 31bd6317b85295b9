/**
 * @file process.h
 * @brief A real `levercoved` that the soak starts, signals and starts again.
 */
#ifndef LC_TESTS_SOAK_PROCESS_H
#define LC_TESTS_SOAK_PROCESS_H

#include <uv.h>

#include <string>

namespace soak {

/** One process and its successors at the same place. */
class Process {
  public:
    Process(uv_loop_t *loop, std::string name, std::string program,
            std::string folder, std::string settings);

    void start();
    /** Sends a signal to the process, if it is there. */
    void signal(int number);
    /** Kills it; it starts again after @p down_ms. */
    void kill(int64_t down_ms);
    /** Ends it for good. */
    void finish();

    /** From the next start on, nobody reads the log until drain_log. */
    void
    stall_log()
    {
        stalled = true;
    }
    /** Reads what waits, and all that follows, into the log's file. */
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
    uint64_t starts = 0;
    uint64_t own_ends = 0;     /**< ends that nobody asked for */
    int64_t started_ms = 0;    /**< when this life began */
    int64_t terminated_ms = 0; /**< when SIGTERM was sent to this life */
    int64_t troubled_ms = 0;   /**< when it was last sent a signal or began */

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
    bool wanted = true;
    bool asked = false; /* the end was asked for */
    int64_t down_ms = 100;
};

} // namespace soak

#endif
