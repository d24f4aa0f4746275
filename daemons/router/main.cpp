// The router's daemon: serves callers on the users' platform.
#include <csignal>
#include <fstream>
#include <sstream>
#include <utility>

#include <malloc.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include "auburnlb/router/boot_clock.hpp"
#include "auburnlb/router/router.hpp"
#include "auburnlb/state/log.hpp"
#include "auburnlb/transport/daemon_command.hpp"
#include "auburnlb/transport/stop_signals.hpp"
#include "protocol.hpp"

namespace
{

using namespace auburnlb;

/// How often the settings file is compared with what is in force: it may
/// change without a signal.
constexpr seconds settings_poll{2};

/// Larger buffers, such as those of bodies, go back to the system when they are
/// freed. By default the threshold grows, and freed bodies stay in the heap.
constexpr int returned_buffer_bytes = 128 * 1'024;

std::string read_text(std::string const& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Follows signals and the settings file.
class supervisor
{
public:
    supervisor(asio::io_context& io, router& process, std::string path)
        : process_(process)
        , path_(std::move(path))
        , text_(read_text(path_))
        , signals_(io, SIGTERM, SIGINT, SIGHUP)
        , timer_(io)
    {
        follow_signals();
        follow_settings();
    }

private:
    void follow_signals()
    {
        signals_.async_wait(
            [this](asio::error_code const& failure, int signal)
            {
                if (failure)
                {
                    return;
                }
                if (signal == SIGHUP)
                {
                    reload();
                }
                else
                {
                    process_.begin_stop();
                }
                follow_signals();
            });
    }

    void follow_settings()
    {
        timer_.expires_after(settings_poll);
        timer_.async_wait(
            [this](asio::error_code const& failure)
            {
                if (!failure)
                {
                    reload();
                    follow_settings();
                }
            });
    }

    void reload()
    {
        std::string text = read_text(path_);
        if (text == text_)
        {
            return;
        }
        text_ = std::move(text);
        auto const values = settings::parse(path_, text_);
        auto const options = values ? read_router_options(values.value())
                                    : result<router_options>(values.error());
        if (options)
        {
            process_.reload(options.value());
            return;
        }
        log(log_level::error, log_event::settings_rejected, {},
            options.error().detail_ + "; the settings before stay in force");
    }

    router& process_;
    std::string path_;
    /// The file's content as last read.
    std::string text_;
    asio::signal_set signals_;
    asio::steady_timer timer_;
};

} // namespace

int main(int argc, char** argv)
{
    ::mallopt(M_MMAP_THRESHOLD, returned_buffer_bytes);
    block_signals();
    daemon_command const command =
        read_daemon_command(argc, argv, "auburnlb-router");
    if (command.exit_)
    {
        return static_cast<int>(*command.exit_);
    }
    auto options = read_router_options(command.settings_);
    if (!options)
    {
        log(log_level::error, log_event::settings_rejected, {},
            options.error().detail_);
        return static_cast<int>(exit_code::usage);
    }
    if (is_stop_pending())
    {
        log(log_level::info, log_event::process_stopped, {},
            "stopped before it listened");
        return static_cast<int>(exit_code::success);
    }
    constexpr int single_thread = 1;
    asio::io_context io(single_thread);
    boot_clock const clock;
    router process(io, clock, platform::protocol(), std::move(options).value());
    supervisor const supervisor(io, process, command.settings_path_);
    unblock_signals();
    if (auto started = process.start(); !started)
    {
        log(log_level::error, log_event::port_unavailable,
            {{"peer", started.error().peer_}}, to_string(started.error()));
        return static_cast<int>(exit_code::failure);
    }
    log(log_level::info, log_event::process_started, {}, "the router is up");
    set_log_batched(true);
    io.run();
    flush_log();
    return static_cast<int>(exit_code::success);
}
