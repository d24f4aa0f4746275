// Tests of changes to configurations, with races and lost answers.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "auburnlb/coordination/configuration.hpp"
#include "coordination/memory_store.hpp"
#include "coordination/sample_answers.hpp"

using namespace auburnlb;
using namespace auburnlb::test;

namespace
{

change_request amend(std::uint64_t expected, std::string id,
                     std::uint64_t max_tokens)
{
    change_request request;
    request.expected_version_ = expected;
    request.note_ = {std::move(id), "asha", "more tokens"};
    request.amendments_["max_tokens"] = config_value(max_tokens);
    return request;
}

current_service stored_at(std::uint64_t version, service_object const& object)
{
    return {version, object, render_service_object(object)};
}

current_service first_version()
{
    change_request request;
    request.note_ = {"c1", "asha", "first"};
    request.answers_ = model_answers();
    return stored_at(
        5, prepare_change({}, "kalai-writer", request).value().object_);
}

} // namespace

TEST(prepare_change, a_change_names_what_it_changes_and_extends_history)
{
    auto const change =
        prepare_change(first_version(), "kalai-writer", amend(5, "c2", 2'000))
            .value();
    ASSERT_EQ(change.changes_.size(), 1U);
    EXPECT_EQ(change.changes_[0].field_, "max_tokens");
    ASSERT_EQ(change.object_.history_.size(), 1U);
    EXPECT_EQ(change.object_.history_[0].version_, 5U);
    EXPECT_EQ(change.object_.history_[0].note_.change_id_, "c1");
    EXPECT_EQ(change.replaced_text_, first_version().text_);
}

TEST(prepare_change, an_unexpected_version_is_a_conflict)
{
    auto const change =
        prepare_change(first_version(), "kalai-writer", amend(4, "c2", 2'000));
    EXPECT_EQ(change.error().code_, error_code::conflict);
}

TEST(prepare_change, amendments_outlive_changed_answers_until_withdrawn)
{
    auto change =
        prepare_change(first_version(), "kalai-writer", amend(5, "c2", 2'000))
            .value();
    change_request answers;
    answers.expected_version_ = 6;
    answers.note_.change_id_ = "c3";
    answers.answers_ = model_answers();
    answers.answers_->requests_.answer_tokens_ = 300;
    change =
        prepare_change(stored_at(6, change.object_), "kalai-writer", answers)
            .value();
    EXPECT_EQ(effective_fields(change.object_)["max_tokens"],
              config_value(std::uint64_t{2'000}));
    change_request withdraw;
    withdraw.expected_version_ = 7;
    withdraw.note_.change_id_ = "c4";
    withdraw.amendments_["max_tokens"] = std::nullopt;
    change =
        prepare_change(stored_at(7, change.object_), "kalai-writer", withdraw)
            .value();
    EXPECT_EQ(effective_fields(change.object_)["max_tokens"],
              config_value(std::uint64_t{1'200}));
}

TEST(prepare_change, kind_is_fixed_and_claim_shards_stay_as_first_accepted)
{
    change_request more;
    more.expected_version_ = 5;
    more.note_.change_id_ = "c2";
    more.answers_ = model_answers();
    more.answers_->endpoint_count_ = 500;
    auto const change =
        prepare_change(first_version(), "kalai-writer", more).value();
    EXPECT_EQ(effective_fields(change.object_)["claim_shards"],
              config_value(std::uint64_t{64}));
    more.answers_->kind_ = service_kind::plain;
    more.answers_->model_layers_ = 0;
    auto const refused = prepare_change(first_version(), "kalai-writer", more);
    EXPECT_NE(refused.error().detail_.find("field kind"), std::string::npos);
}

TEST(prepare_rollback, old_content_returns_as_a_new_version)
{
    current_service const first = first_version();
    auto const second =
        prepare_change(first, "kalai-writer", amend(5, "c2", 2'000)).value();
    auto const back = prepare_rollback(stored_at(6, second.object_),
                                       first.object_, 6, {"c3", "b", "back"})
                          .value();
    EXPECT_EQ(effective_fields(back.object_), effective_fields(first.object_));
    ASSERT_EQ(back.object_.history_.size(), 2U);
    EXPECT_EQ(back.object_.history_[0].note_.change_id_, "c2");
    EXPECT_EQ(back.object_.note_.change_id_, "c3");
}

TEST(accept_change, history_beyond_the_limit_is_removed)
{
    memory_store store;
    current_service current;
    for (std::uint64_t round = 0; round < max_history_entries + 3; ++round)
    {
        change_request request =
            amend(current.version_, "c" + std::to_string(round), 1 + round);
        request.answers_ = model_answers();
        accept_change(
            store, prepare_change(current, "kalai-writer", request).value(),
            [](result<accept_outcome> const& outcome)
            { EXPECT_EQ(outcome.value().state_, settlement::accepted); });
        store.settle();
        current = read_service(
                      store.find(service_object_kind, "kalai-writer").value())
                      .value();
    }
    EXPECT_EQ(current.object_.history_.size(), max_history_entries);
    std::size_t kept = 0;
    store.list(history_object_kind, "",
               [&](result<std::vector<stored_object>> const& all)
               { kept = all.value().size(); });
    store.settle();
    EXPECT_EQ(kept, max_history_entries);
}

namespace
{

struct racing_operator
{
    std::string change_id_;
    bool is_done_ = false;
    bool is_uncertain_ = false;
    bool is_accepted_ = false;
    std::uint64_t version_ = 0;
};

void offer(memory_store& store, racing_operator& who, std::uint64_t value)
{
    auto const current =
        read_service(store.find(service_object_kind, "kalai-writer").value())
            .value();
    change_request request = amend(current.version_, who.change_id_, value);
    request.answers_ = model_answers();
    accept_change(
        store, prepare_change(current, "kalai-writer", request).value(),
        [&who](result<accept_outcome> const& outcome)
        {
            RC_ASSERT(!who.is_done_);
            who.is_done_ = true;
            who.is_uncertain_ =
                !outcome && outcome.error().code_ == error_code::response_lost;
            who.is_accepted_ =
                outcome && outcome.value().state_ == settlement::accepted;
            who.version_ = outcome ? outcome.value().version_ : 0;
        });
}

// Every write of the service that took effect, as (change id, version).
std::map<std::string, std::vector<std::uint64_t>>
accepted_changes(memory_store const& store)
{
    std::map<std::string, std::vector<std::uint64_t>> accepted;
    std::uint64_t previous = 0;
    for (stored_object const& write : store.log())
    {
        if (write.kind_ != service_object_kind)
        {
            continue;
        }
        auto const object = read_service(write).value().object_;
        std::uint64_t const replaced =
            object.history_.empty() ? 0 : object.history_[0].version_;
        RC_ASSERT(replaced == previous);
        if (previous != 0)
        {
            RC_ASSERT(store
                          .find(history_object_kind,
                                history_name("kalai-writer", previous))
                          .value()
                          .version_ != 0);
        }
        previous = write.version_;
        accepted[object.note_.change_id_].push_back(write.version_);
    }
    return accepted;
}

} // namespace

RC_GTEST_PROP(accept_change, operators_race_while_answers_are_lost, ())
{
    memory_store store;
    std::vector<racing_operator> operators(
        *rc::gen::inRange<std::size_t>(2, 5));
    for (std::size_t index = 0; index < operators.size(); ++index)
    {
        operators[index].change_id_ = "c" + std::to_string(index);
    }
    std::size_t started = 0;
    auto const steps = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::arbitrary<std::uint32_t>());
    for (std::uint32_t const step : steps)
    {
        if (started < operators.size() && step % 4 == 0)
        {
            offer(store, operators[started], started + 1);
            ++started;
        }
        else if (step % 4 == 1)
        {
            store.run_late();
        }
        else if (store.pending() > 0)
        {
            store.run(step / 64, static_cast<call_fate>(step / 4 % 5));
        }
    }
    store.settle();
    auto const accepted = accepted_changes(store);
    for (racing_operator const& who : operators)
    {
        auto const found = accepted.find(who.change_id_);
        // RC_ASSERT evaluates both sides of ||, so that the iterator is only
        // read where it names an element.
        if (found != accepted.end())
        {
            RC_ASSERT(found->second.size() == 1U);
        }
        RC_ASSERT(who.is_accepted_ <= (found != accepted.end()));
        if (who.is_accepted_)
        {
            RC_ASSERT(found->second.at(0) == who.version_);
        }
        else if (!who.is_uncertain_)
        {
            RC_ASSERT(found == accepted.end());
        }
    }
}

TEST(accept_change, a_lost_answer_is_settled_by_reading_back)
{
    for (call_fate const fate :
         {call_fate::response_lost, call_fate::effect_late,
          call_fate::request_lost})
    {
        memory_store store;
        racing_operator who;
        who.change_id_ = "c1";
        offer(store, who, 7);
        store.run(0, fate);
        store.settle();
        EXPECT_TRUE(who.is_accepted_);
        EXPECT_EQ(accepted_changes(store)["c1"].size(), 1U);
    }
}
