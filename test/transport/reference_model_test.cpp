// Tests of the arithmetic that every end-to-end check rests on.
#include <gtest/gtest.h>

#include "reference_model.hpp"

using namespace auburnlb;
using namespace auburnlb::fakes;

TEST(reference_model, answer_does_not_depend_on_where_the_model_is_split)
{
    std::string const prompt = render_user_prompt("retin two pans");
    std::string const whole = expected_answer(prompt, 12, 4);
    layer_cache first;
    layer_cache second;
    std::string input = prompt;
    std::string answer;
    for (int index = 0; index < 4; ++index)
    {
        std::string const middle = run_layers({0, 5}, first, embed(input));
        input = sample(run_layers({5, 12}, second, middle));
        answer += input;
    }
    EXPECT_EQ(answer, whole);
}

TEST(reference_model, skipped_repeated_or_forgotten_work_changes_the_answer)
{
    std::string const input = embed("x");
    layer_cache whole;
    std::string const right = run_layers({0, 4}, whole, input);
    layer_cache skipping;
    EXPECT_NE(run_layers({1, 4}, skipping, input), right);
    layer_cache head;
    layer_cache tail;
    std::string const head_out = run_layers({0, 2}, head, input);
    layer_cache again;
    std::string const repeated = run_layers({0, 2}, again, head_out);
    EXPECT_NE(run_layers({2, 4}, tail, repeated), right);
    layer_cache fresh;
    std::string const next = run_layers({0, 4}, whole, embed("y"));
    EXPECT_NE(run_layers({0, 4}, fresh, embed("y")), next);
}
