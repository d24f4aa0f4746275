// Which endpoint is the home of each key shard, and how a home is replaced.
#ifndef AUBURNLB_PROTOCOL_CLAIM_SHARDS_HPP
#define AUBURNLB_PROTOCOL_CLAIM_SHARDS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "auburnlb/protocol/claim_log.hpp"
#include "auburnlb/state/error.hpp"
#include "auburnlb/state/ids.hpp"

namespace auburnlb
{

/// Kinds of the platform's objects for claims.
inline constexpr char const* claim_table_kind = "claim_tables";
inline constexpr char const* claim_segment_kind = "claims";

/// The shard of "<workspace>/<key>".
std::uint32_t shard_of(std::string const& key, std::uint32_t shards);

/// Home of one shard. An empty address means that nobody is.
struct shard_owner_entry
{
    std::string address_;
    claim_log_id log_;

    bool operator==(shard_owner_entry const&) const = default;
};

/// A log that may hold keys of the service.
struct claim_log_entry
{
    claim_log_id log_;
    std::string address_;
    bool is_sealed_ = false;
    /// Wall clock, milliseconds since 1970.
    std::int64_t sealed_at_ms_ = 0;

    bool operator==(claim_log_entry const&) const = default;
};

/// The object claim_tables/<service>, changed by conditional update.
/// Invariant: logs_ names every log that may hold an unexpired key.
struct claim_table
{
    std::string service_;
    std::vector<shard_owner_entry> shards_;
    std::vector<claim_log_entry> logs_;

    bool operator==(claim_table const&) const = default;
};

claim_table make_claim_table(std::string service, std::uint32_t shards);
std::string to_json(claim_table const& table);
result<claim_table> table_from_json(std::string const& text);

/// The home to which an entry sends a keyed call; an empty address if none.
shard_owner_entry owner_of(claim_table const& table, std::string const& key);

/// The endpoint wished for by rendezvous hash; empty without one.
std::string preferred_owner(std::uint32_t shard,
                            std::vector<std::string> const& live_addresses);

/// What a home knows when it plans.
struct claim_view
{
    std::string address_;
    claim_log_id log_;
    std::vector<shard_ownership> ownership_;
    /// Shards whose hand-over is durable, to be taken off the table.
    std::vector<std::uint32_t> released_;
    /// Addresses of endpoints that take new shards.
    std::vector<std::string> live_addresses_;
    /// Incarnations that are thought dead. A wrong guess costs the home a new
    /// log, never a second run.
    std::vector<incarnation_id> dead_incarnations_;
    std::int64_t wall_clock_ms_ = 0;
    seconds key_lifetime_{3'600};
};

/// Shards that this home should take: nobody's or a gone home's that it is
/// wished for, and those that the table gives it but that it does not serve.
std::vector<std::uint32_t> shards_to_take(claim_table const& table,
                                          claim_view const& view);

/// Shards served here that another live endpoint is wished for.
std::vector<std::uint32_t> shards_to_release(claim_view const& view);

/// The table without this log as home of the shards. Gives nothing when the
/// table does not name it for any of them.
std::optional<claim_table>
without_shards(claim_table const& table, claim_log_id const& log,
               std::vector<std::uint32_t> const& shards);

/// Names of segments that no take-over needs any more. Of a sealed log all but
/// the seal go after the key lifetime, and the seal a day later, when no create
/// can be under way. A log that is not sealed keeps everything.
std::vector<std::string>
removable_segments(std::string const& service, claim_log_entry const& entry,
                   std::vector<std::uint64_t> const& numbers,
                   std::int64_t wall_clock_ms, seconds key_lifetime);

// Take-over: seal the logs of gone homes, read every log, change the table.
// Shards are given back by the same sequence, so that a process never has two
// changes of the table under way that contradict each other.

enum class takeover_phase
{
    idle,
    reading_table,
    listing,
    sealing,
    updating,
    settling,
};

struct takeover
{
    std::string service_;
    std::uint32_t shard_count_ = 0;
    takeover_phase phase_ = takeover_phase::idle;
    claim_view view_;
    claim_table table_;
    std::uint64_t table_version_ = 0;
    std::vector<std::uint32_t> targets_;
    /// Position in table_.logs_ of the log that is being read.
    std::size_t log_at_ = 0;
    std::vector<inherited_key> inherited_;
    std::uint32_t tries_ = 0;
};

struct takeover_started
{
    claim_view view_;
};

/// Nothing in table_ means that the object does not exist.
struct table_read
{
    bool is_failed_ = false;
    std::uint64_t version_ = 0;
    std::optional<claim_table> table_;
};

struct log_listed
{
    bool is_failed_ = false;
    /// Sorted by number.
    std::vector<claim_segment> segments_;
};

struct seal_finished
{
    put_status status_ = put_status::lost;
};

struct table_put_finished
{
    put_status status_ = put_status::lost;
};

using takeover_event = std::variant<takeover_started, table_read, log_listed,
                                    seal_finished, table_put_finished>;

struct read_table
{
};

struct list_log
{
    claim_log_id log_;
};

struct put_table
{
    claim_table table_;
    std::uint64_t expected_version_ = 0;
};

/// acquired_ is to be applied to the claim home.
struct takeover_ended
{
    bool is_failed_ = false;
    /// The home's own log was sealed by another: apply log_sealed to the home.
    bool is_log_sealed_ = false;
    claim_table table_;
    shards_acquired acquired_;
    std::vector<std::uint32_t> released_;
};

using takeover_action =
    std::variant<read_table, list_log, put_segment, put_table, takeover_ended>;

/// The transition function. At most one action is in flight at a time.
std::vector<takeover_action> apply(takeover& state,
                                   takeover_event const& event);

} // namespace auburnlb

#endif
