// Entries of the platform's list with the revisions of their changes, so that a
// router can tell another what has changed since a revision.
#ifndef AUBURNLB_COORDINATION_VERSIONED_ENTRIES_HPP
#define AUBURNLB_COORDINATION_VERSIONED_ENTRIES_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnlb
{

struct versioned_entry
{
    std::string value_;
    /// The entry's last change was at this revision or before.
    std::uint64_t revision_ = 0;

    bool operator==(versioned_entry const&) const = default;
};

/// Invariants: no revision is above revision_; an entry is not also removed.
struct versioned_entries
{
    std::map<std::string, versioned_entry> entries_;
    /// Entries that are gone, and by which revision.
    std::map<std::string, std::uint64_t> removed_;
    /// All changes up to this revision are in; zero before the first list.
    std::uint64_t revision_ = 0;
    /// Removals up to this revision may be forgotten.
    std::uint64_t floor_ = 0;

    bool operator==(versioned_entries const&) const = default;
};

/// What has changed, or all entries if the changes alone are not known.
struct entries_delta
{
    std::uint64_t revision_ = 0;
    bool is_full_ = false;
    std::map<std::string, std::string> changed_;
    std::vector<std::string> removed_;

    bool operator==(entries_delta const&) const = default;
};

/// Removals that are remembered; a router further behind gets all entries.
inline constexpr std::size_t max_remembered_removals = 256;

/// Takes changes that are newer; others are in already. Gives whether it did.
bool apply_delta(versioned_entries& entries, entries_delta const& delta);

/// What a router that knows all up to a revision lacks; none if nothing.
std::optional<entries_delta> changes_since(versioned_entries const& entries,
                                           std::uint64_t revision);

} // namespace auburnlb

#endif
