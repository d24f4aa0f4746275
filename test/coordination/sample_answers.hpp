// Answers that tests of coordination start from.
#ifndef AUBURNLB_TEST_SAMPLE_ANSWERS_HPP
#define AUBURNLB_TEST_SAMPLE_ANSWERS_HPP

#include <string>

#include "auburnlb/state/questionnaire.hpp"

namespace auburnlb::test
{

inline questionnaire model_answers()
{
    questionnaire answers;
    answers.service_ = "kalai-writer";
    answers.data_centres_ = {"Ahmedabad"};
    answers.model_layers_ = 12;
    answers.endpoint_count_ = 6;
    answers.callers_ = {{"shop-one", std::string(64, '1')}};
    answers.requests_ = {300, 120, 5, 60'000, 940, 44};
    return answers;
}

} // namespace auburnlb::test

#endif
