// The home of a service's key shards: claims keys durably before they run.
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

/// Names one claim log. A process that was fenced goes on under its next
/// epoch, so that a delayed create of the fenced log never enters a new one.
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

/// Identifies "<workspace>/<key>".
key_id make_key_id(std::string const& key);

/// Fingerprint of what a key was used for; a re-send must have the same.
std::uint64_t fingerprint_of(std::string const& method, std::string const& path,
                             std::string const& body);

/// The finished answer of a call.
struct call_outcome
{
    std::int32_t status_ = 0;
    std::vector<std::pair<std::string, std::string>> headers_;
    std::string body_;

    bool operator==(call_outcome const&) const = default;
};

/// One key of a segment. Only a hand-over carries outcomes.
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
    /// Ends the log. Written by whoever takes its shards over.
    seal,
    /// The home gives the listed keys' shards back, with known outcomes.
    hand_over,
};

/// One object of a claim log, created only if its name is free.
struct claim_segment
{
    std::string service_;
    claim_log_id log_;
    std::uint64_t number_ = 0;
    /// The process that wrote it: the log's home, or the one that sealed it.
    incarnation_id writer_ = 0;
    /// Tells two segments of one writer under one name apart.
    std::uint64_t content_id_ = 0;
    segment_kind kind_ = segment_kind::claims;
    std::vector<claimed_key> keys_;
    /// The shards given back by a hand-over.
    std::vector<std::uint32_t> shards_;

    bool operator==(claim_segment const&) const = default;
};

/// "<service>/<incarnation>-<epoch>/", the prefix of a log's object names.
std::string log_prefix(std::string const& service, claim_log_id const& log);
/// The prefix followed by the number, padded so that names sort by number.
std::string segment_name(std::string const& service, claim_log_id const& log,
                         std::uint64_t number);
std::string to_json(claim_segment const& segment);
result<claim_segment> segment_from_json(std::string const& text);

struct shard_owner_settings
{
    /// Shortest time between the starts of two puts: the group commit.
    microseconds group_interval_{5'000};
    /// How long a call waits for a store that does not answer.
    milliseconds store_timeout_{2'000};
    /// Pause after the store's first failure. Doubles up to a second.
    milliseconds retry_interval_{50};
    seconds key_lifetime_{3'600};
    std::size_t max_group_keys_ = 2'000;
    /// Remembered keys; new keys are refused beyond.
    std::size_t max_keys_ = 1'000'000;
    /// Remembered outcomes; the oldest lose their body beyond.
    std::size_t max_outcome_bytes_ = 32U << 20U;

    bool operator==(shard_owner_settings const&) const = default;
};

/// How far a key has come at this home.
enum class key_stage
{
    /// In the queue or in the put in flight.
    waiting,
    /// Durable in this home's log and never sent to the endpoint.
    claimed,
    running,
    done,
    /// Ran; its outcome is no longer remembered.
    forgotten,
    /// May have run. Never runs here.
    unknown,
};

struct key_waiter
{
    request_id request_;
    time_point arrived_;
    time_point deadline_;

    bool operator==(key_waiter const&) const = default;
};

/// Invariant: a key leaves `running` only by its endpoint's answer, and only
/// `claimed` leads to `running`.
struct key_record
{
    key_stage stage_ = key_stage::waiting;
    std::uint32_t shard_ = 0;
    std::uint64_t fingerprint_ = 0;
    std::vector<key_waiter> waiters_;
    std::shared_ptr<call_outcome const> outcome_;
};

enum class put_phase
{
    writing,
    reading,
    /// Waits until retry_at_ before it writes or reads again.
    write_later,
    read_later,
};

/// The segment in flight. At most one, so that no later segment can be durable
/// while an earlier one is not.
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
    /// Being given back: takes no new keys.
    closing,
};

/// A key that an earlier home may have run.
struct inherited_key
{
    claimed_key claim_;
    claim_log_id log_;

    bool operator==(inherited_key const&) const = default;
};

/// State of one service's claims at one process.
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
    /// Keys in the order in which they are forgotten.
    std::deque<std::pair<time_point, key_id>> expiry_;
    /// Keys with outcomes, oldest first.
    std::deque<key_id> outcomes_;
    std::size_t outcome_bytes_ = 0;
    /// Every key with a waiter, and perhaps some that have none any more.
    std::unordered_set<key_id, key_id_hash> awaited_;
    /// Records whose stage is running.
    std::size_t running_ = 0;
    bool is_fenced_ = false;
    bool is_hand_over_wanted_ = false;
    time_point last_put_at_{};
    /// Start of the store's present failure.
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
    /// Certainly without effect.
    not_sent,
    /// May have happened, or may still happen.
    lost,
};

struct put_finished
{
    std::uint64_t number_ = 0;
    put_status status_ = put_status::lost;
};

/// The read-back of a segment; nothing when the name is free.
struct segment_read
{
    std::uint64_t number_ = 0;
    bool is_failed_ = false;
    std::optional<claim_segment> segment_;
};

enum class call_status
{
    answered,
    /// Nothing left for the endpoint.
    not_sent,
    lost,
};

struct call_finished
{
    key_id key_;
    call_status end_ = call_status::lost;
    std::shared_ptr<call_outcome const> outcome_;
};

/// Shards whose logs were read and whose table entry names this home.
struct shards_acquired
{
    claim_log_id log_;
    std::vector<std::uint32_t> shards_;
    std::vector<inherited_key> inherited_;
};

/// Starts to give shards back.
struct release_requested
{
    std::vector<std::uint32_t> shards_;
};

/// The table says that this log was sealed.
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

/// Sends the call to the endpoint, exactly this once.
struct run_call
{
    request_id request_;
    key_id key_;
};

/// outcome_ is empty for a refusal.
struct respond_to_call
{
    request_id request_;
    refusal_reason reason_ = refusal_reason::not_shard_home;
    run_state run_state_ = run_state::not_run;
    std::shared_ptr<call_outcome const> outcome_;
    bool is_replay_ = false;
};

/// The log was sealed by another process; the shards are no longer served.
struct owner_fenced
{
    claim_log_id log_;
};

/// The hand-over segment is durable: the table may give these shards away.
struct shards_released
{
    std::vector<std::uint32_t> shards_;
};

using claim_action =
    std::variant<put_segment, read_segment, run_call, respond_to_call,
                 owner_fenced, shards_released>;

shard_owner make_shard_owner(std::string service, std::uint32_t shards,
                             claim_log_id log, shard_owner_settings settings);

/// The transition function. Every action must be carried out, in order.
std::vector<claim_action> apply(shard_owner& home, claim_event const& event,
                                time_point now);

/// When a tick has something to do; nothing while only answers are awaited.
std::optional<time_point> next_wake(shard_owner const& home);

/// Whether no call waits or runs.
bool is_idle(shard_owner const& home);

/// The group interval that keeps all homes of a service within their share of
/// the platform's writes a second.
microseconds group_interval(std::size_t homes, std::size_t writes_per_second);

} // namespace auburnlb

#endif
