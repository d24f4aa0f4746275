// Tests of which responses are awaited, and which are passed on.
#include <gtest/gtest.h>

#include "auburnlb/coordination/response_check.hpp"

using namespace auburnlb;

namespace
{

response_facts complete_response()
{
    response_facts facts;
    facts.is_signed_ = true;
    facts.names_request_ = true;
    return facts;
}

response_facts success()
{
    response_facts facts = complete_response();
    facts.is_success_ = true;
    return facts;
}

attempt_outcome outcome_of(response_facts const& facts)
{
    auto const failure = check_response(facts);
    EXPECT_TRUE(failure);
    return failure.value_or(response_failure{}).outcome_;
}

} // namespace

TEST(response_check, a_signed_response_is_passed_on_unless_the_server_failed)
{
    EXPECT_FALSE(check_response(success()));
    EXPECT_FALSE(check_response(complete_response()));
    response_facts error = complete_response();
    error.is_server_error_ = true;
    EXPECT_EQ(outcome_of(error), attempt_outcome::failed);
}

TEST(response_check, a_response_without_a_signature_is_not_passed_on)
{
    response_facts facts = success();
    facts.is_signed_ = false;
    EXPECT_EQ(outcome_of(facts), attempt_outcome::broken);
}

TEST(response_check, a_refusal_that_may_be_of_another_request_is_not_believed)
{
    response_facts facts = complete_response();
    facts.is_server_error_ = true;
    facts.is_not_executed_ = true;
    facts.is_connection_reused_ = true;
    EXPECT_EQ(outcome_of(facts), attempt_outcome::refused);
    facts.names_request_ = false;
    EXPECT_EQ(outcome_of(facts), attempt_outcome::broken);
    facts.is_connection_reused_ = false;
    EXPECT_EQ(outcome_of(facts), attempt_outcome::refused);
}

TEST(response_check, a_success_that_may_be_of_another_request_is_not_passed_on)
{
    response_facts facts = success();
    facts.is_connection_reused_ = true;
    EXPECT_FALSE(check_response(facts));
    facts.names_request_ = false;
    EXPECT_EQ(outcome_of(facts), attempt_outcome::broken);
    facts.is_connection_reused_ = false;
    EXPECT_FALSE(check_response(facts));
}

TEST(response_check, a_head_without_a_name_is_awaited_on_a_new_connection_alone)
{
    head_facts facts;
    EXPECT_EQ(origin_of(facts), response_origin::awaited_request);
    facts.is_connection_reused_ = true;
    EXPECT_EQ(origin_of(facts), response_origin::unknown);
    facts.names_request_ = true;
    EXPECT_EQ(origin_of(facts), response_origin::another_request);
    facts.names_awaited_request_ = true;
    EXPECT_EQ(origin_of(facts), response_origin::awaited_request);
}

TEST(response_check, a_head_with_repeated_fields_is_of_several_requests)
{
    head_facts facts;
    facts.names_request_ = true;
    facts.names_awaited_request_ = true;
    facts.has_repeated_fields_ = true;
    EXPECT_EQ(origin_of(facts), response_origin::several_requests);
}

TEST(response_check, an_error_without_a_body_or_a_length_is_passed_on)
{
    response_facts facts = complete_response();
    facts.is_unframed_and_empty_ = true;
    EXPECT_FALSE(check_response(facts));
    facts.is_success_ = true;
    EXPECT_EQ(outcome_of(facts), attempt_outcome::broken);
}

TEST(response_check, a_body_that_another_response_completed_is_not_passed_on)
{
    response_facts facts = success();
    facts.contains_response_ = true;
    EXPECT_EQ(outcome_of(facts), attempt_outcome::broken);
    facts.is_success_ = false;
    facts.is_server_error_ = true;
    EXPECT_EQ(outcome_of(facts), attempt_outcome::broken);
    facts.is_not_executed_ = true;
    EXPECT_EQ(outcome_of(facts), attempt_outcome::refused);
}

TEST(response_check, nothing_but_its_rest_follows_a_stream_that_has_begun)
{
    response_facts facts = complete_response();
    facts.has_begun_ = true;
    EXPECT_EQ(outcome_of(facts), attempt_outcome::failed);
}
