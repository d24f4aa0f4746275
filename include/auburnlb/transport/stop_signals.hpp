// The signals that stop a daemon, or let it read its settings again.
#ifndef AUBURNLB_TRANSPORT_STOP_SIGNALS_HPP
#define AUBURNLB_TRANSPORT_STOP_SIGNALS_HPP

#include <functional>

namespace auburnlb
{

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and all threads created
/// later, and ignores SIGPIPE. Must be the first call of main: a signal that
/// comes before its handler is set would end the process.
void block_signals();

/// Lets the signals of block_signals() reach this thread, also those that have
/// come meanwhile. Called when their handlers are set.
void unblock_signals();

/// Whether a blocked SIGTERM or SIGINT has come.
bool is_stop_pending();

/// Calls begin_leaving for each SIGTERM or SIGINT while the wait function runs.
/// Returns when wait returns.
void run_until_stopped(std::function<void()> const& begin_leaving,
                       std::function<void()> const& wait);

} // namespace auburnlb

#endif
