// Order of the changes of the platform's store, also over a restoration of the
// store from an older copy.
#ifndef AUBURNLB_COORDINATION_STORE_VERSION_HPP
#define AUBURNLB_COORDINATION_STORE_VERSION_HPP

#include <compare>
#include <cstdint>

namespace auburnlb
{

/// A revision within one of the store's histories. A store that is restored
/// begins a new history, which gives out later revisions of the previous one
/// again. Invariant: versions that differ in either member may belong to
/// different content.
struct store_version
{
    /// Rises with each restoration; 0 for a store that is never restored.
    std::uint64_t epoch_ = 0;
    std::uint64_t revision_ = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): a false positive.
    auto operator<=>(store_version const&) const = default;
};

/// Epoch of a store that was never restored; 0 if it has no epochs.
inline constexpr std::uint64_t first_epoch = 1;

/// Bits of a fencing number that hold the revision. Those above hold the epoch.
/// JSON numbers are exact up to 53 bits.
inline constexpr unsigned fencing_revision_bits = 40;

/// Returns a number that rises with the version.
constexpr std::uint64_t to_fencing_number(store_version const& version)
{
    return (version.epoch_ << fencing_revision_bits) | version.revision_;
}

} // namespace auburnlb

#endif
