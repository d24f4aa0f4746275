// Small random changes of valid input, for properties about bad input.
#ifndef AUBURNLB_TEST_TRANSPORT_MUTATION_HPP
#define AUBURNLB_TEST_TRANSPORT_MUTATION_HPP

#include <cstddef>
#include <string>
#include <vector>

#include <rapidcheck.h>

namespace auburnlb
{

/// One change of a text: where, and what kind.
struct mutation
{
    std::size_t position_ = 0;
    int kind_ = 0;
    char letter_ = 0;
};

inline rc::Gen<mutation> any_mutation()
{
    return rc::gen::build<mutation>(
        rc::gen::set(&mutation::position_),
        rc::gen::set(&mutation::kind_, rc::gen::inRange(0, 5)),
        rc::gen::set(&mutation::letter_,
                     rc::gen::oneOf(rc::gen::arbitrary<char>(),
                                    rc::gen::elementOf(
                                        std::string("{}[]\":,0-e.n\\\r\n ")))));
}

inline void apply(std::string& body, mutation const& change)
{
    if (body.empty())
    {
        return;
    }
    std::size_t const position = change.position_ % body.size();
    switch (change.kind_)
    {
    case 0:
        body[position] = change.letter_;
        break;
    case 1:
        body.erase(position, 1);
        break;
    case 2:
        body.insert(position, 1, change.letter_);
        break;
    case 3:
        body.resize(position);
        break;
    default:
        body.insert(position, body.substr(position));
        break;
    }
}

/// Up to seven changes.
inline rc::Gen<std::vector<mutation>> any_mutations()
{
    return rc::gen::mapcat(rc::gen::inRange(0, 8),
                           [](int count) {
                               return rc::gen::container<std::vector<mutation>>(
                                   count, any_mutation());
                           });
}

} // namespace auburnlb

#endif
