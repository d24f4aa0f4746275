// Several claim homes on a small store with delays, lost answers and crashes.
#ifndef AUBURNLB_TEST_CLAIM_WORLD_HPP
#define AUBURNLB_TEST_CLAIM_WORLD_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "auburnlb/protocol/claim_log.hpp"
#include "auburnlb/protocol/claim_shards.hpp"

namespace auburnlb::test
{

using store_call_body =
    std::variant<put_segment, read_segment, read_table, list_log, put_table>;

/// A call of the store. It takes effect once or twice at any later time.
struct store_call
{
    std::size_t process_ = 0;
    bool is_of_takeover_ = false;
    store_call_body body_;
    bool is_executed_ = false;
    /// Its process was told that the answer is lost, or is gone.
    bool is_abandoned_ = false;
    put_status status_ = put_status::lost;
    std::optional<claim_segment> segment_;
    std::vector<claim_segment> segments_;
    table_read table_;
};

struct sent_call
{
    std::size_t process_ = 0;
    incarnation_id incarnation_ = 0;
    call_arrived call_;
};

struct endpoint_call
{
    std::size_t process_ = 0;
    key_id key_;
    bool is_sent_ = true;
};

struct process
{
    std::string address_;
    incarnation_id incarnation_ = 0;
    shard_owner home_;
    takeover takeover_;
    std::vector<std::uint32_t> released_;
    bool is_paused_ = false;
};

/// What the histories covered, so that a test can show it is not vacuous.
struct coverage
{
    std::size_t executions_ = 0;
    std::size_t replays_ = 0;
    std::size_t fenced_ = 0;
    std::size_t takeovers_ = 0;
    std::size_t releases_ = 0;
    std::size_t not_run_ = 0;
    std::size_t unknown_ = 0;
    std::size_t crashes_ = 0;
};

/// One random history. Counts executions and checks each answer.
class claim_world
{
public:
    claim_world(std::uint64_t seed, coverage& seen);

    void step();
    /// No more faults: whether every process settles and serves a new key.
    bool settle();
    /// Empty, or the first broken property.
    std::string const& failure() const { return failure_; }

private:
    static constexpr std::size_t process_count = 3;
    static constexpr std::uint32_t shard_count = 4;
    static constexpr incarnation_id first_incarnation = 100;

    std::uint64_t pick(std::uint64_t below) { return random_() % below; }
    std::string key_name(std::uint64_t key) const;
    void restart(process& target);
    void crash(std::size_t at);
    std::size_t home_or_any(std::string const& key);
    void deliver_call();
    void start_takeover(std::size_t at, bool is_truthful);
    void release(std::size_t at);
    void finish_call(bool is_kind);
    void execute_store_call();
    void answer_store_call(bool is_kind);
    void execute(store_call& call);
    void answer(store_call const& call, bool is_lost);
    void advance(milliseconds step);
    void feed(std::size_t at, claim_event const& event);
    void feed(std::size_t at, takeover_event const& event);
    void act(std::size_t at, claim_action const& action);
    void act(std::size_t at, takeover_action const& action);
    void run_without_faults(int rounds);
    bool probe(std::uint64_t number);
    void add_store_call(std::size_t at, bool is_of_takeover,
                        store_call_body body);
    void check_answer(respond_to_call const& answer);
    void fail(std::string text);
    claim_view view_of(process const& self, bool is_truthful);

    std::mt19937_64 random_;
    coverage& seen_;
    time_point now_{};
    incarnation_id next_incarnation_ = first_incarnation;
    std::uint64_t next_request_ = 1;
    std::vector<process> processes_;
    std::map<std::string, claim_segment> segments_;
    std::optional<claim_table> table_;
    std::uint64_t table_version_ = 0;
    std::vector<store_call> store_calls_;
    std::vector<endpoint_call> endpoint_calls_;
    std::unordered_map<key_id, int, key_id_hash> executions_;
    std::unordered_map<request_id, key_id> keys_of_requests_;
    std::unordered_set<request_id> run_requests_;
    std::unordered_set<request_id> not_run_requests_;
    std::unordered_set<request_id> finished_requests_;
    std::vector<sent_call> sent_calls_;
    bool is_settling_ = false;
    std::string failure_;
};

} // namespace auburnlb::test

#endif
