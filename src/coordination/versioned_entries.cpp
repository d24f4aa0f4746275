// Changes of entries, by revision.
#include "auburnlb/coordination/versioned_entries.hpp"

#include <algorithm>

namespace auburnlb
{

namespace
{

void forget_oldest_removals(versioned_entries& entries)
{
    while (entries.removed_.size() > max_remembered_removals)
    {
        auto const oldest =
            std::min_element(entries.removed_.begin(), entries.removed_.end(),
                             [](auto const& left, auto const& right)
                             { return left.second < right.second; });
        entries.floor_ = std::max(entries.floor_, oldest->second);
        entries.removed_.erase(oldest);
    }
}

/// Remembered even if the entry was not known: a router that is asked later may
/// have learned of the entry from another one.
void remove_entry(versioned_entries& entries, std::string const& name,
                  std::uint64_t revision)
{
    entries.entries_.erase(name);
    entries.removed_[name] = revision;
}

/// The revision counts even if the value is the same: it may have been another
/// one in between.
void set_entry(versioned_entries& entries, std::string const& name,
               std::string const& value, std::uint64_t revision)
{
    entries.removed_.erase(name);
    entries.entries_[name] = {value, revision};
}

} // namespace

bool apply_delta(versioned_entries& entries, entries_delta const& delta)
{
    if (delta.revision_ <= entries.revision_)
    {
        return false;
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
        remove_entry(entries, name, delta.revision_);
    }
    for (auto const& [name, value] : delta.changed_)
    {
        set_entry(entries, name, value, delta.revision_);
    }
    if (entries.revision_ == 0)
    {
        // What was removed before the first list is not known.
        entries.floor_ = delta.revision_;
    }
    entries.revision_ = delta.revision_;
    forget_oldest_removals(entries);
    return true;
}

std::optional<entries_delta> changes_since(versioned_entries const& entries,
                                           std::uint64_t revision)
{
    if (entries.revision_ <= revision)
    {
        return std::nullopt;
    }
    entries_delta delta;
    delta.revision_ = entries.revision_;
    delta.is_full_ = revision < entries.floor_;
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
