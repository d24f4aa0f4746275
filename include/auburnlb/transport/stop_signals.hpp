// The signals that stop an entry or a companion.
#ifndef AUBURNLB_TRANSPORT_STOP_SIGNALS_HPP
#define AUBURNLB_TRANSPORT_STOP_SIGNALS_HPP

#include <functional>

namespace auburnlb
{

/// Blocks SIGTERM and SIGINT in this thread and all threads created later, and
/// ignores SIGPIPE. Must be called before the first thread is created.
void block_stop_signals();

/// Calls begin_leaving for each SIGTERM or SIGINT while the wait function runs.
/// Returns when wait returns.
void run_until_stopped(std::function<void()> const& begin_leaving,
                       std::function<void()> const& wait);

} // namespace auburnlb

#endif
