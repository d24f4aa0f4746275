// What the mains of entry and companion share: signals and options.
#ifndef AUBURNLB_TRANSPORT_DAEMON_HPP
#define AUBURNLB_TRANSPORT_DAEMON_HPP

#include <functional>

#include "auburnlb/state/settings.hpp"
#include "auburnlb/transport/companion.hpp"
#include "auburnlb/transport/daemon_command.hpp"
#include "auburnlb/transport/entry.hpp"

namespace auburnlb
{

/// Blocks SIGTERM and SIGINT in this and all later threads. Call it before the
/// first thread starts.
void block_stop_signals();

/// Waits for SIGTERM or SIGINT, calls begin_leaving for each, and returns when
/// the wait function does.
void run_until_stopped(std::function<void()> const& begin_leaving,
                       std::function<void()> const& wait);

/// Options from settings; an error names the field that is missing.
result<entry_options> read_entry_options(settings const& values);
result<companion_options> read_companion_options(settings const& values);

} // namespace auburnlb

#endif
