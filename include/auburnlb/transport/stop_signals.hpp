// The signals that stop entry and companion.
#ifndef AUBURNLB_TRANSPORT_STOP_SIGNALS_HPP
#define AUBURNLB_TRANSPORT_STOP_SIGNALS_HPP

#include <functional>

namespace auburnlb
{

/// Blocks SIGTERM and SIGINT in this and all later threads. Call it before the
/// first thread starts.
void block_stop_signals();

/// Waits for SIGTERM or SIGINT, calls begin_leaving for each, and returns when
/// the wait function does.
void run_until_stopped(std::function<void()> const& begin_leaving,
                       std::function<void()> const& wait);

} // namespace auburnlb

#endif
