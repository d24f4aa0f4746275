// Entries of the platform's list with the revisions of their changes, so that a
// router can send another one the changes since a revision.
#ifndef AUBURNLB_COORDINATION_VERSIONED_ENTRIES_HPP
#define AUBURNLB_COORDINATION_VERSIONED_ENTRIES_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "auburnlb/coordination/store_version.hpp"

namespace auburnlb
{

struct versioned_entry
{
    std::string value_;
    /// Upper bound of the revision of the entry's last change.
    std::uint64_t revision_ = 0;

    bool operator==(versioned_entry const&) const = default;
};

/// Invariants: all revisions are of the epoch of version_, and none is above
/// its revision; no name is in both entries_ and removed_.
struct versioned_entries
{
    std::map<std::string, versioned_entry> entries_;
    /// Names of removed entries with upper bounds of the removals' revisions.
    std::map<std::string, std::uint64_t> removed_;
    /// All changes up to this version are applied; zero before the first list.
    store_version version_;
    /// Removals up to this revision may have been dropped from removed_.
    std::uint64_t compacted_revision_ = 0;

    bool operator==(versioned_entries const&) const = default;
};

/// Changes up to a version, or all entries if is_full_ is set.
struct entries_delta
{
    store_version version_;
    bool is_full_ = false;
    std::map<std::string, std::string> changed_;
    std::vector<std::string> removed_;

    bool operator==(entries_delta const&) const = default;
};

/// Number of removals that are kept. A router that lacks older ones gets all
/// entries.
inline constexpr std::size_t max_kept_removals = 256;

/// Applies a delta with a newer version. Returns false for another one, whose
/// changes have been applied already, and for changes of a history whose
/// entries are unknown.
bool apply_delta(versioned_entries& entries, entries_delta const& delta);

/// Returns the changes after a version, or std::nullopt if there are none.
std::optional<entries_delta> changes_since(versioned_entries const& entries,
                                           store_version const& version);

} // namespace auburnlb

#endif
