// Assignment of key shards to endpoints, and takeover of a dead owner's
// shards.
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

/// Kinds of the platform objects that hold claims.
inline constexpr char const* claim_table_kind = "claim_tables";
inline constexpr char const* claim_segment_kind = "claims";

/// Returns the shard of "<workspace>/<key>".
std::uint32_t shard_of(std::string const& key, std::uint32_t shards);

/// Owner of one shard. address_ is empty if the shard has no owner.
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
    /// Wall clock time in milliseconds since 1970.
    std::int64_t sealed_at_ms_ = 0;

    bool operator==(claim_log_entry const&) const = default;
};

/// Content of the object claim_tables/<service>, which is changed by
/// conditional updates.
/// Invariant: logs_ lists every log that may hold an unexpired key.
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

/// Returns the owner to which an entry sends a keyed call; its address is empty
/// if there is none.
shard_owner_entry owner_of(claim_table const& table, std::string const& key);

/// Returns the live endpoint that rendezvous hashing selects as the shard's
/// owner; empty if no endpoint is live.
std::string preferred_owner(std::uint32_t shard,
                            std::vector<std::string> const& live_addresses);

/// Input for an owner's planning: its own state and its view of the other
/// endpoints.
struct claim_view
{
    std::string address_;
    claim_log_id log_;
    std::vector<shard_ownership> ownership_;
    /// Shards whose state transfer segment is durable, to be removed from the
    /// table.
    std::vector<std::uint32_t> released_;
    /// Addresses of endpoints that accept new shards.
    std::vector<std::string> live_addresses_;
    /// Incarnations that are presumed dead. If one is alive, its owner has to
    /// start a new log, but no call runs twice.
    std::vector<incarnation_id> dead_incarnations_;
    std::int64_t wall_clock_ms_ = 0;
    seconds key_lifetime_{3'600};
};

/// Returns the shards that this owner should take over: those without an owner
/// or with a dead one for which it is the preferred owner, and those that the
/// table assigns to it but that it does not serve.
std::vector<std::uint32_t> shards_to_take(claim_table const& table,
                                          claim_view const& view);

/// Returns the shards served by this owner whose preferred owner is another
/// live endpoint.
std::vector<std::uint32_t> shards_to_release(claim_view const& view);

/// Returns the table without this log as owner of the shards, or std::nullopt
/// if the log is the owner of none of them.
std::optional<claim_table>
without_shards(claim_table const& table, claim_log_id const& log,
               std::vector<std::uint32_t> const& shards);

/// Returns the names of segments that no takeover needs any more. The segments
/// of a log become removable when it has been sealed for the key lifetime, and
/// its seal a day later, when no create can be in progress. Segments of a log
/// that is not sealed are never removable.
std::vector<std::string>
removable_segments(std::string const& service, claim_log_entry const& entry,
                   std::vector<std::uint64_t> const& numbers,
                   std::int64_t wall_clock_ms, seconds key_lifetime);

// Takeover: seals the logs of dead owners, reads every log and updates the
// table. Shards are released by the same sequence, so that a process never has
// two conflicting table updates in progress.

enum class takeover_phase
{
    idle,
    reading_table,
    listing,
    sealing,
    updating,
    /// Reads the table again after a conflict or a lost reply.
    verifying_update,
};

/// State of the takeovers of one service at one process.
struct takeover
{
    std::string service_;
    std::uint32_t shard_count_ = 0;
    takeover_phase phase_ = takeover_phase::idle;
    claim_view view_;
    claim_table table_;
    std::uint64_t table_version_ = 0;
    std::vector<std::uint32_t> targets_;
    /// Index in table_.logs_ of the log being read.
    std::size_t log_index_ = 0;
    std::vector<inherited_key> inherited_;
    std::uint32_t attempts_ = 0;
};

struct takeover_started
{
    claim_view view_;
};

/// Result of reading the table. table_ is empty if the object does not exist.
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

/// Result of a takeover. The caller has to apply acquired_ to the shard owner.
struct takeover_ended
{
    bool is_failed_ = false;
    /// Another process sealed the owner's own log: the caller has to apply
    /// log_sealed to the shard owner.
    bool is_log_sealed_ = false;
    claim_table table_;
    shards_acquired acquired_;
    std::vector<std::uint32_t> released_;
};

using takeover_action =
    std::variant<read_table, list_log, put_segment, put_table, takeover_ended>;

/// Applies an event and returns the resulting actions. At most one action is in
/// progress at a time.
std::vector<takeover_action> apply(takeover& state,
                                   takeover_event const& event);

} // namespace auburnlb

#endif
