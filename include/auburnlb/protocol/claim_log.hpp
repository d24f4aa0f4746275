// State machine of a shard owner, which stores idempotency keys durably before
// their calls run.
#ifndef AUBURNLB_PROTOCOL_CLAIM_LOG_HPP
#define AUBURNLB_PROTOCOL_CLAIM_LOG_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <variant>
#include <vector>

#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/error.hpp"
#include "auburnlb/state/ids.hpp"
#include "auburnlb/state/refusal.hpp"

namespace auburnlb
{

/// Identifies one claim log. A fenced process continues with a log of its next
/// epoch, so that a delayed create for the fenced log never enters the new one.
struct claim_log_id
{
    incarnation_id incarnation_ = 0;
    std::uint32_t epoch_ = 0;

    bool operator==(claim_log_id const&) const = default;
};

/// Identifies an idempotency key by the first 16 bytes of its SHA-256.
struct key_id
{
    std::uint64_t high_ = 0;
    std::uint64_t low_ = 0;

    bool operator==(key_id const&) const = default;
};

struct key_id_hash
{
    std::size_t operator()(key_id const& id) const noexcept { return id.low_; }
};

/// Returns the identifier of "<workspace>/<key>".
key_id make_key_id(std::string const& key);

/// Returns the fingerprint of a call. Calls that are sent again under the same
/// key must have the same fingerprint.
std::uint64_t fingerprint_of(std::string const& method, std::string const& path,
                             std::string const& body);

/// Response of a finished call.
struct call_outcome
{
    std::int32_t status_ = 0;
    std::vector<std::pair<std::string, std::string>> headers_;
    std::string body_;

    bool operator==(call_outcome const&) const = default;
};

/// One key of a segment. Only state transfer segments carry outcomes.
struct claimed_key
{
    key_id key_;
    std::uint32_t shard_ = 0;
    std::uint64_t fingerprint_ = 0;
    std::shared_ptr<call_outcome const> outcome_;

    bool operator==(claimed_key const&) const = default;
};

enum class segment_kind
{
    claims,
    /// Ends the log. Written by the process that takes over its shards.
    seal,
    /// The owner releases shards and passes on the outcomes of their keys.
    state_transfer,
};

/// One object of a claim log, created only if its name does not exist.
struct claim_segment
{
    std::string service_;
    claim_log_id log_;
    std::uint64_t number_ = 0;
    /// The process that wrote the segment: the log's owner, or the process that
    /// sealed the log.
    incarnation_id writer_ = 0;
    /// Distinguishes segments of one writer under one name.
    std::uint64_t content_id_ = 0;
    segment_kind kind_ = segment_kind::claims;
    std::vector<claimed_key> keys_;
    /// The shards released by a state transfer segment.
    std::vector<std::uint32_t> shards_;

    bool operator==(claim_segment const&) const = default;
};

/// Returns "<service>/<incarnation>-<epoch>/", the prefix of a log's object
/// names.
std::string log_prefix(std::string const& service, claim_log_id const& log);
/// Returns the prefix followed by the number, padded so that names sort by
/// number.
std::string segment_name(std::string const& service, claim_log_id const& log,
                         std::uint64_t number);
std::string to_json(claim_segment const& segment);
result<claim_segment> segment_from_json(std::string const& text);

struct shard_owner_settings
{
    /// Minimum time between the starts of two segment writes (group commit).
    microseconds group_interval_{5'000};
    /// Maximum time that a call waits for an unavailable store.
    milliseconds store_timeout_{2'000};
    /// Delay after the store's first failure. Doubles up to one second.
    milliseconds retry_interval_{50};
    seconds key_lifetime_{3'600};
    std::size_t max_group_keys_ = 2'000;
    /// Maximum number of keys in memory; beyond it new keys are refused.
    std::size_t max_keys_ = 1'000'000;
    /// Maximum size of the outcomes in memory; beyond it the oldest are
    /// evicted.
    std::size_t max_outcome_bytes_ = 32U << 20U;

    bool operator==(shard_owner_settings const&) const = default;
};

/// Progress of a key at this owner.
enum class key_state
{
    /// In the queue or in the segment being written.
    waiting,
    /// Durable in this owner's log and not sent to the endpoint.
    claimed,
    running,
    done,
    /// Ran; its outcome is no longer in memory.
    evicted,
    /// May have run. Never runs at this owner.
    unknown,
};

struct key_waiter
{
    request_id request_;
    time_point arrived_;
    time_point deadline_;

    bool operator==(key_waiter const&) const = default;
};

/// State of one key.
/// Invariant: a key enters `running` only from `claimed`, and leaves it only by
/// a call_finished event.
struct key_record
{
    key_state state_ = key_state::waiting;
    std::uint32_t shard_ = 0;
    std::uint64_t fingerprint_ = 0;
    std::vector<key_waiter> waiters_;
    std::shared_ptr<call_outcome const> outcome_;
};

enum class put_phase
{
    writing,
    reading,
    /// Waits until retry_at_ before the segment is written or read again.
    write_later,
    read_later,
};

/// The segment being written. There is at most one, so that no later segment
/// can be durable while an earlier one is not.
struct pending_put
{
    claim_segment segment_;
    put_phase phase_ = put_phase::writing;
    time_point retry_at_;
    std::uint32_t failures_ = 0;
};

enum class shard_ownership
{
    none,
    owned,
    /// Being released: accepts no new keys.
    closing,
};

/// A key that an earlier owner may have run.
struct inherited_key
{
    claimed_key claim_;
    claim_log_id log_;

    bool operator==(inherited_key const&) const = default;
};

/// State of a shard owner: the process that stores the keys of some of a
/// service's shards in its log and decides whether their calls run.
struct shard_owner
{
    shard_owner_settings settings_;
    std::string service_;
    claim_log_id log_;
    /// By shard number.
    std::vector<shard_ownership> shards_;
    std::uint64_t next_number_ = 0;
    std::optional<pending_put> put_;
    std::vector<key_id> queue_;
    std::unordered_map<key_id, key_record, key_id_hash> records_;
    /// Keys in the order in which they expire.
    std::deque<std::pair<time_point, key_id>> expiry_;
    /// Keys with outcomes, oldest first.
    std::deque<key_id> outcomes_;
    std::size_t outcome_bytes_ = 0;
    /// Every key with a waiter; may include keys whose waiters are gone.
    std::unordered_set<key_id, key_id_hash> keys_with_waiters_;
    /// Number of records in the state `running`.
    std::size_t running_ = 0;
    bool is_fenced_ = false;
    bool is_transfer_requested_ = false;
    time_point last_put_at_{};
    /// Start of the store's current failure.
    std::optional<time_point> failing_since_;
};

// Events.

struct call_arrived
{
    request_id request_;
    std::string key_;
    std::uint64_t fingerprint_ = 0;
    time_point deadline_;
    bool is_lookup_ = false;
};

enum class put_status
{
    created,
    conflict,
    /// Certainly had no effect.
    not_sent,
    /// May have had an effect, or may still have one.
    lost,
};

struct put_finished
{
    std::uint64_t number_ = 0;
    put_status status_ = put_status::lost;
};

/// Result of reading a segment back. segment_ is empty if the name does not
/// exist.
struct segment_read
{
    std::uint64_t number_ = 0;
    bool is_failed_ = false;
    std::optional<claim_segment> segment_;
};

enum class call_status
{
    responded,
    /// Nothing was sent to the endpoint.
    not_sent,
    lost,
};

struct call_finished
{
    key_id key_;
    call_status status_ = call_status::lost;
    std::shared_ptr<call_outcome const> outcome_;
};

/// Shards that the table now assigns to this owner, with the keys of their
/// earlier logs.
struct shards_acquired
{
    claim_log_id log_;
    std::vector<std::uint32_t> shards_;
    std::vector<inherited_key> inherited_;
};

/// Starts the release of shards.
struct release_requested
{
    std::vector<std::uint32_t> shards_;
};

/// The table marks this log as sealed.
struct log_sealed
{
    claim_log_id log_;
};

struct tick
{
};

using claim_event =
    std::variant<call_arrived, put_finished, segment_read, call_finished,
                 shards_acquired, release_requested, log_sealed, tick>;

// Actions.

struct put_segment
{
    claim_segment segment_;
};

struct read_segment
{
    claim_log_id log_;
    std::uint64_t number_ = 0;
};

/// Send the call to the endpoint, exactly once.
struct run_call
{
    request_id request_;
    key_id key_;
};

/// Reply to a waiting call. outcome_ is empty for a refusal.
struct respond_to_call
{
    request_id request_;
    refusal_reason reason_ = refusal_reason::not_shard_home;
    run_state run_state_ = run_state::not_run;
    std::shared_ptr<call_outcome const> outcome_;
    bool is_replay_ = false;
};

/// Another process sealed the log; the owner no longer serves its shards.
struct owner_fenced
{
    claim_log_id log_;
};

/// The state transfer segment is durable; the table may assign these shards to
/// other owners.
struct shards_released
{
    std::vector<std::uint32_t> shards_;
};

using claim_action =
    std::variant<put_segment, read_segment, run_call, respond_to_call,
                 owner_fenced, shards_released>;

shard_owner make_shard_owner(std::string service, std::uint32_t shards,
                             claim_log_id log, shard_owner_settings settings);

/// Applies an event and returns the resulting actions. The caller must carry
/// out every action, in order.
std::vector<claim_action> apply(shard_owner& owner, claim_event const& event,
                                time_point now);

/// Returns when the next tick is due, or std::nullopt if the owner has nothing
/// to write or only waits for the store's reply.
std::optional<time_point> next_wake(shard_owner const& owner);

/// Returns whether no segment is being written and no call is queued or
/// running.
bool is_idle(shard_owner const& owner);

/// Returns the group interval with which all owners of a service together stay
/// within their share of the platform's writes per second.
microseconds group_interval(std::size_t owners, std::size_t writes_per_second);

} // namespace auburnlb

#endif
