// Application and computation of changes by revision.
#include "auburnlb/coordination/versioned_entries.hpp"

#include <algorithm>

namespace auburnlb
{

namespace
{

void drop_oldest_removals(versioned_entries& entries)
{
    while (entries.removed_.size() > max_kept_removals)
    {
        auto const oldest =
            std::min_element(entries.removed_.begin(), entries.removed_.end(),
                             [](auto const& left, auto const& right)
                             { return left.second < right.second; });
        entries.compacted_revision_ =
            std::max(entries.compacted_revision_, oldest->second);
        entries.removed_.erase(oldest);
    }
}

/// Records the removal even if the entry is unknown here: a router that later
/// requests changes may have received the entry from another router.
void remove_entry(versioned_entries& entries, std::string const& name,
                  std::uint64_t revision)
{
    entries.entries_.erase(name);
    entries.removed_[name] = revision;
}

/// Updates the revision even if the value is the same: it may have been
/// different in between.
void set_entry(versioned_entries& entries, std::string const& name,
               std::string const& value, std::uint64_t revision)
{
    entries.removed_.erase(name);
    entries.entries_[name] = {value, revision};
}

} // namespace

bool apply_delta(versioned_entries& entries, entries_delta const& delta)
{
    if (delta.version_ <= entries.version_)
    {
        return false;
    }
    std::uint64_t const revision = delta.version_.revision_;
    if (delta.version_.epoch_ != entries.version_.epoch_)
    {
        if (!delta.is_full_)
        {
            return false;
        }
        // The revisions of the previous history mean nothing in this one, and
        // removals before this list are unknown.
        entries = {};
        entries.compacted_revision_ = revision;
    }
    std::vector<std::string> removed = delta.removed_;
    if (delta.is_full_)
    {
        for (auto const& [name, entry] : entries.entries_)
        {
            if (!delta.changed_.contains(name))
            {
                removed.push_back(name);
            }
        }
    }
    for (std::string const& name : removed)
    {
        remove_entry(entries, name, revision);
    }
    for (auto const& [name, value] : delta.changed_)
    {
        set_entry(entries, name, value, revision);
    }
    if (entries.version_ == store_version{})
    {
        // Removals before the first list are unknown.
        entries.compacted_revision_ = revision;
    }
    entries.version_ = delta.version_;
    drop_oldest_removals(entries);
    return true;
}

std::optional<entries_delta> changes_since(versioned_entries const& entries,
                                           store_version const& version)
{
    if (entries.version_ <= version)
    {
        return std::nullopt;
    }
    std::uint64_t const revision = version.revision_;
    entries_delta delta;
    delta.version_ = entries.version_;
    delta.is_full_ = version.epoch_ != entries.version_.epoch_ ||
                     revision < entries.compacted_revision_;
    for (auto const& [name, entry] : entries.entries_)
    {
        if (delta.is_full_ || entry.revision_ > revision)
        {
            delta.changed_[name] = entry.value_;
        }
    }
    for (auto const& [name, removed_at] : entries.removed_)
    {
        if (!delta.is_full_ && removed_at > revision)
        {
            delta.removed_.push_back(name);
        }
    }
    return delta;
}

} // namespace auburnlb
